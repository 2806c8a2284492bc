use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::catalogue::Catalogue;
use tarragon_wire::open;
use tarragon_wire::seal;
use tarragon_wire::Channel;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tracing::debug;

use crate::conf::ControlReplica;
use crate::control::ControlFailure;
use crate::control::ControlLog;
use crate::control::ControlReply;
use crate::control::ControlRequest;

/// Path of the control requests between nodes.
pub const CONTROL_REQUEST_PATH: &str = "/v1/control";

/// Time to wait for one replica, in ms. It covers a synced write on a majority across data centres.
const REPLICA_TIMEOUT_MS: u64 = 2_000;

/// Rounds over the replicas before a request is given up; an election ends within one round.
const MAX_ROUNDS: usize = 3;

/// The replicated log as a node without a replica reaches it: over the control API of the replicas.
pub struct RemoteLog {
    replicas: Vec<ControlReplica>,
    client: ControlClient,
    key: DeploymentKey,
}

impl RemoteLog {
    /// Creates access by way of the given replicas.
    pub fn new(replicas: Vec<ControlReplica>, key: DeploymentKey) -> Self {
        Self { replicas, client: ControlClient::new(None, REPLICA_TIMEOUT_MS), key }
    }

    async fn ask(&self, replica: &ControlReplica, request: &ControlRequest) -> ControlReply {
        let body = seal(&self.key, Channel::Replica, request);
        let body = body.map_err(|_| ControlFailure::Malformed)?;
        let address = replica.control_address;
        let sent = self.client.send(address, Method::POST, CONTROL_REQUEST_PATH, Bytes::from(body));
        match sent.await {
            Ok(reply) if reply.status.is_success() => {
                open::<ControlReply>(&self.key, Channel::Replica, &reply.body)
                    .unwrap_or(Err(ControlFailure::OutcomeUnknown))
            }
            Ok(reply) => {
                debug!("note: replica {} answered {}", replica.node_name, reply.status);
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
    async fn request(&self, request: &ControlRequest) -> ControlReply {
        let mut worst = ControlFailure::NoMajority;
        let mut next = 0;
        for _ in 0..self.replicas.len() * MAX_ROUNDS {
            let replica = &self.replicas[next % self.replicas.len()];
            next += 1;
            match self.ask(replica, request).await {
                Err(ControlFailure::NotLeader { leader }) => {
                    let named = |r: &ControlReplica| Some(&r.node_name) == leader.as_ref();
                    next = self.replicas.iter().position(named).unwrap_or(next);
                }
                Err(ControlFailure::OutcomeUnknown) => worst = ControlFailure::OutcomeUnknown,
                Err(ControlFailure::NoMajority) => {}
                reply => return reply,
            }
        }
        Err(worst)
    }

    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>> {
        None
    }
}
