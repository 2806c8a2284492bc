use std::fmt;
use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

use crate::control::ControlCommand;
use crate::control::ControlQuery;
use crate::control::ControlResponse;

/// A request to the control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A change for the log.
    Propose(ControlCommand),
    /// A question, answered from state that a majority confirmed as current.
    Read(ControlQuery),
    /// A change of the replicas themselves.
    ChangeReplicas(ReplicaChange),
}

/// A change of one replica. Repeating a change that has taken effect does nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// Send the log to a replica, and let it vote once it has caught up.
    Add(ReplicaId),
    /// Remove the replica of this name, whatever its disk.
    Remove(String),
}

/// Why a control request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlFailure {
    /// The replica does not lead; the leader may be the named one.
    NotLeader {
        /// Name of the leader's node, if it is known.
        leader: Option<String>,
    },
    /// No majority of the control replicas can be reached; nothing was changed.
    NoMajority,
    /// The change may or may not be accepted.
    OutcomeUnknown,
    /// The state machine refused the request as malformed.
    Malformed,
    /// The replicas refused the change; nothing was changed by it.
    Refused(String),
}

impl fmt::Display for ControlFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(name) } => write!(f, "the leader is {name}"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::NoMajority => f.write_str("no majority of the control replicas can be reached"),
            Self::OutcomeUnknown => f.write_str("the change may or may not be accepted"),
            Self::Malformed => f.write_str("the request is malformed"),
            Self::Refused(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for ControlFailure {}

/// Reply to a control request.
pub type ControlResult = Result<ControlResponse, ControlFailure>;

/// Access to the replicated log, from any node.
#[async_trait]
pub trait ControlLog: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn request(&self, request: &ControlRequest) -> ControlResult;

    /// The catalogue of the replica on this node; none on a node without one.
    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>>;
}
