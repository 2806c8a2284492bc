use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::catalogue::Catalogue;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlRequest;
use crate::control::ControlResult;
use crate::replica::ReplicaAddresses;

/// Path of control requests between nodes.
pub const CONTROL_REQUEST_PATH: &str = "/v1/control";

/// Time limit for one replica, in ms. It covers a synced write on a majority across data centres.
const REPLICA_TIMEOUT_MS: u64 = 2_000;

/// Time after which a request is no longer retried, in ms. It covers two elections.
const REQUEST_TIMEOUT_MS: u64 = 6_000;

/// Delay before the next round if no known replica has executed the request, in ms.
const ROUND_DELAY_MS: u64 = 150;

/// Access to the replicated log over the control API of the replicas. It works on any node.
pub struct RemoteLog {
    addresses: ReplicaAddresses,
    client: ControlClient,
    key: DeploymentKey,
}

impl RemoteLog {
    /// Creates access through the replicas at these addresses.
    pub fn new(addresses: ReplicaAddresses, key: DeploymentKey) -> Self {
        Self { addresses, client: ControlClient::new(None, REPLICA_TIMEOUT_MS), key }
    }

    /// Sends the request to every known replica at most once. A replica that another one names as
    /// leader is tried next.
    async fn try_replicas(&self, request: &ControlRequest) -> ControlResult {
        let mut replicas = self.addresses.control_addresses();
        let mut failure = ControlFailure::NoMajority;
        let mut next = 0;
        while next < replicas.len() {
            let address = replicas[next].1;
            next += 1;
            match self.try_replica(address, request).await {
                Err(ControlFailure::NotLeader { leader }) => {
                    let leader = leader.as_deref();
                    let offset =
                        replicas[next..].iter().position(|(name, _)| Some(name.as_str()) == leader);
                    if let Some(offset) = offset {
                        replicas.swap(next, next + offset);
                    }
                }
                Err(ControlFailure::OutcomeUnknown) => failure = ControlFailure::OutcomeUnknown,
                Err(ControlFailure::NoMajority) => {}
                result => return result,
            }
        }
        Err(failure)
    }

    async fn try_replica(&self, address: SocketAddr, request: &ControlRequest) -> ControlResult {
        let body = encode_authenticated(&self.key, MessageChannel::Replica, request);
        let body = body.map_err(|_| ControlFailure::Malformed)?;
        let sent = self.client.send(address, Method::POST, CONTROL_REQUEST_PATH, Bytes::from(body));
        match sent.await {
            Ok(response) if response.status.is_success() => decode_authenticated::<ControlResult>(
                &self.key,
                MessageChannel::Replica,
                &response.body,
            )
            .unwrap_or(Err(ControlFailure::OutcomeUnknown)),
            Ok(response) => {
                debug!("note: replica at {address} responded with HTTP status {}", response.status);
                Err(ControlFailure::NotLeader { leader: None })
            }
            Err(report) if report.current_context().is_unsent() => {
                Err(ControlFailure::NotLeader { leader: None })
            }
            Err(_) => Err(ControlFailure::OutcomeUnknown),
        }
    }
}

#[async_trait]
impl ControlLog for RemoteLog {
    /// Tries the replicas in turn, preferring the one that another names as leader. Retrying a
    /// request is safe because the state machine gives a repeated command the same response as the
    /// first time.
    async fn request(&self, request: &ControlRequest) -> ControlResult {
        let deadline = Instant::now() + Duration::from_millis(REQUEST_TIMEOUT_MS);
        let mut failure = ControlFailure::NoMajority;
        while Instant::now() < deadline {
            match self.try_replicas(request).await {
                Err(ControlFailure::OutcomeUnknown) => failure = ControlFailure::OutcomeUnknown,
                Err(ControlFailure::NotLeader { .. } | ControlFailure::NoMajority) => {}
                result => return result,
            }
            tokio::time::sleep(Duration::from_millis(ROUND_DELAY_MS)).await;
        }
        Err(failure)
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        None
    }
}
