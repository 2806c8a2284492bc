use serde::Deserialize;
use serde::Serialize;

/// What operators have last ordered about the drain of a node's backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorDrain {
    /// Whether the server gets no requests until operators end the drain.
    pub is_draining: bool,
    /// Time of the order, in ms since 1970; 0 without one. Each order of a node has a later one than
    /// the order before, so the latest one is in force.
    pub changed_at_ms: u64,
}
