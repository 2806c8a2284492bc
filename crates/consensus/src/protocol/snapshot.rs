use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;

/// The term, vote and log that must survive a restart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that it voted for in that term.
    pub voted_for: Option<ReplicaId>,
    /// The log that the replica belongs to; 0 as long as it belongs to none.
    pub log_id: u64,
}

/// The state machine's state after the entry at `index`, with what the log needs to go on there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members after that entry.
    pub configuration: ClusterConfiguration,
    /// The state machine's encoded state.
    pub data: Vec<u8>,
}
