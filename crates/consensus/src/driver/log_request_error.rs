use std::fmt;

use crate::raft::RequestRefusal;

/// Reason why a request to the log has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRequestError {
    /// This replica is not the leader; nothing was logged.
    NotLeader {
        /// Configured name of the leader.
        leader: String,
    },
    /// No leader is known, or this replica has stopped; nothing was logged.
    NoMajority,
    /// The entry may be committed later, or never. Retrying the command is safe only if the state
    /// machine detects duplicates.
    OutcomeUnknown,
    /// The request is invalid or cannot be accepted yet; nothing was logged.
    Refused(RequestRefusal),
}

impl fmt::Display for LogRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader } => {
                write!(f, "this replica is not the leader; the leader is {leader}")
            }
            Self::NoMajority => f.write_str("no majority of control replicas can be reached"),
            Self::OutcomeUnknown => f.write_str("the outcome is unknown"),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
        }
    }
}

impl std::error::Error for LogRequestError {}
