use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::hedging::first_success;
use crate::hedging::ArrivingResponses;
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

    /// Sends the request to every known replica at most once, until one executes it. A replica that
    /// another one names as leader is tried next.
    async fn try_replicas(&self, request: &ControlRequest) -> ControlResult {
        let untried = Mutex::new(VecDeque::from(self.addresses.control_addresses()));
        let lock = || untried.lock().expect("no thread panics while it holds the lock");
        let try_next = |(_, address): (String, SocketAddr)| async move {
            match self.try_replica(address, request).await {
                Err(ControlFailure::NotLeader { leader }) => {
                    move_to_front(&mut lock(), leader.as_deref());
                    Err(ControlFailure::NoMajority)
                }
                Err(ControlFailure::OutcomeUnknown) => Err(ControlFailure::OutcomeUnknown),
                Err(ControlFailure::NoMajority) => Err(ControlFailure::NoMajority),
                result => Ok(result),
            }
        };
        // Responses of the log are small, so none is on its way for long.
        let arriving = ArrivingResponses::default();
        match first_success(|| lock().pop_front(), &arriving, try_next).await {
            Ok(result) => result,
            Err(failures) if failures.contains(&ControlFailure::OutcomeUnknown) => {
                Err(ControlFailure::OutcomeUnknown)
            }
            Err(_) => Err(ControlFailure::NoMajority),
        }
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
    /// Tries the replicas, preferring the one that another names as leader. Sending a request to
    /// several replicas, or again, is safe because the state machine gives a repeated command the
    /// same response as the first time.
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

fn move_to_front(replicas: &mut VecDeque<(String, SocketAddr)>, name: Option<&str>) {
    let position = replicas.iter().position(|(other, _)| Some(other.as_str()) == name);
    if let Some(replica) = position.and_then(|position| replicas.remove(position)) {
        replicas.push_front(replica);
    }
}
