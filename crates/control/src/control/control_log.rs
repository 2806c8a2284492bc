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
    /// Proposes a command to the log.
    Propose(ControlCommand),
    /// Reads state that a majority has confirmed as current.
    Read(ControlQuery),
    /// Changes the set of control replicas.
    ChangeReplicas(ReplicaChange),
}

/// A change to the set of control replicas. Repeating a change that has taken effect does nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// Replicates the log to a replica, and makes the replica a voter once it has caught up.
    Add(ReplicaId),
    /// Removes the replica of the node with this name, regardless of its disk id.
    Remove(String),
}

/// Reason why a control request failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlFailure {
    /// The replica is not the leader.
    NotLeader {
        /// Node name of the presumed leader, if one is known.
        leader: Option<String>,
    },
    /// No majority of the control replicas can be reached; nothing was changed.
    NoMajority,
    /// The change may or may not take effect.
    OutcomeUnknown,
    /// The request could not be encoded or decoded.
    Malformed,
    /// The log refused a change of its members for this reason. That change had no effect.
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

/// Result of a control request.
pub type ControlResult = Result<ControlResponse, ControlFailure>;

/// Access to the replicated log.
#[async_trait]
pub trait ControlLog: Send + Sync {
    /// Sends a request and waits for its result.
    async fn request(&self, request: &ControlRequest) -> ControlResult;

    /// The catalogue of the local replica; `None` if the log is accessed through other nodes.
    fn catalogue(&self) -> Option<watch::Receiver<Arc<Catalogue>>>;
}
