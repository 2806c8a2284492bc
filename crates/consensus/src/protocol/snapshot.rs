use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;

/// Term, vote, log identity and what quorums depend on, which must survive a restart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that the replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
    /// Identity of the log that the replica belongs to; 0 if it belongs to none.
    pub log_id: u64,
    /// Entry of the latest configuration that is known to be committed; 0 if none is. Without it, a
    /// replica that starts again would need the voters before that configuration as well.
    pub committed_configuration_index: u64,
}

/// State of the state machine after the entry at `index`, with the term and members that the log
/// needs to continue from there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members after that entry.
    pub configuration: ClusterConfiguration,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}
