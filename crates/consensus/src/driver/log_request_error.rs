use std::fmt;

use crate::raft::RequestRefusal;

/// Why a request to the log has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRequestError {
    /// Nothing was logged; the named replica is the leader.
    NotLeader {
        /// Configured name of the leader.
        leader: String,
    },
    /// Nothing was logged; no leader is known, or this replica has stopped.
    NoMajority,
    /// The entry may be committed later, or never. Sending the command again is safe only if the
    /// state machine recognises it.
    OutcomeUnknown,
    /// Nothing was logged; the request cannot be accepted as it is, or not yet.
    Refused(RequestRefusal),
}

impl fmt::Display for LogRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader } => write!(f, "the leader is {leader}"),
            Self::NoMajority => f.write_str("no majority of control replicas can be reached"),
            Self::OutcomeUnknown => f.write_str("the outcome is unknown"),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
        }
    }
}

impl std::error::Error for LogRequestError {}
