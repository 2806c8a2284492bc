use std::fmt;

use crate::raft::Refusal;

/// Why a request to the log has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// Nothing was logged; the named replica is the leader.
    NotLeader {
        /// Configured name of the leader.
        hint: String,
    },
    /// Nothing was logged; no leader is known, or this replica has stopped.
    NoMajority,
    /// The entry may be committed later, or never. Sending the command again is safe only if the
    /// state machine recognises it.
    OutcomeUnknown,
    /// Nothing was logged; the request cannot be accepted as it is, or not yet.
    Refused(Refusal),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { hint } => write!(f, "the leader is {hint}"),
            Self::NoMajority => f.write_str("no majority of control replicas can be reached"),
            Self::OutcomeUnknown => f.write_str("the outcome is unknown"),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
        }
    }
}

impl std::error::Error for ProposeError {}
