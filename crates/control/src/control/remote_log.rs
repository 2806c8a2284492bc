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

/// Path of the control requests between nodes.
pub const CONTROL_REQUEST_PATH: &str = "/v1/control";

/// Time to wait for one replica, in ms. It covers a synced write on a majority across data centres.
const REPLICA_TIMEOUT_MS: u64 = 2_000;

/// Time after which a request is given up, in ms. Two elections fit into it.
const REQUEST_TIMEOUT_MS: u64 = 6_000;

/// Pause after every known replica was asked in vain, in ms.
const ROUND_PAUSE_MS: u64 = 150;

/// The replicated log as any node reaches it: over the control API of the replicas.
pub struct RemoteLog {
    addresses: ReplicaAddresses,
    client: ControlClient,
    key: DeploymentKey,
}

impl RemoteLog {
    /// Creates access by way of the known replicas.
    pub fn new(addresses: ReplicaAddresses, key: DeploymentKey) -> Self {
        Self { addresses, client: ControlClient::new(None, REPLICA_TIMEOUT_MS), key }
    }

    /// Asks every known replica once, one that another names as leader next.
    async fn ask_round(&self, request: &ControlRequest) -> ControlResult {
        let mut replicas = self.addresses.control_addresses();
        let mut failure = ControlFailure::NoMajority;
        let mut next = 0;
        while next < replicas.len() {
            let address = replicas[next].1;
            next += 1;
            match self.ask(address, request).await {
                Err(ControlFailure::NotLeader { leader }) => {
                    let leader = leader.as_deref();
                    let at =
                        replicas[next..].iter().position(|(name, _)| Some(name.as_str()) == leader);
                    if let Some(at) = at {
                        replicas.swap(next, next + at);
                    }
                }
                Err(ControlFailure::OutcomeUnknown) => failure = ControlFailure::OutcomeUnknown,
                Err(ControlFailure::NoMajority) => {}
                reply => return reply,
            }
        }
        Err(failure)
    }

    async fn ask(&self, address: SocketAddr, request: &ControlRequest) -> ControlResult {
        let body = encode_authenticated(&self.key, MessageChannel::Replica, request);
        let body = body.map_err(|_| ControlFailure::Malformed)?;
        let sent = self.client.send(address, Method::POST, CONTROL_REQUEST_PATH, Bytes::from(body));
        match sent.await {
            Ok(reply) if reply.status.is_success() => decode_authenticated::<ControlResult>(
                &self.key,
                MessageChannel::Replica,
                &reply.body,
            )
            .unwrap_or(Err(ControlFailure::OutcomeUnknown)),
            Ok(reply) => {
                debug!("note: replica at {address} answered {}", reply.status);
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
    /// Asks the replicas in turn, the one that another names as leader first. Repeating a request
    /// is safe because the state machine answers a repeated command as it did the first.
    async fn request(&self, request: &ControlRequest) -> ControlResult {
        let deadline = Instant::now() + Duration::from_millis(REQUEST_TIMEOUT_MS);
        let mut failure = ControlFailure::NoMajority;
        while Instant::now() < deadline {
            match self.ask_round(request).await {
                Err(ControlFailure::OutcomeUnknown) => failure = ControlFailure::OutcomeUnknown,
                Err(ControlFailure::NotLeader { .. } | ControlFailure::NoMajority) => {}
                reply => return reply,
            }
            tokio::time::sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
        }
        Err(failure)
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        None
    }
}
