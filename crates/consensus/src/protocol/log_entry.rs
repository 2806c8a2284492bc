use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;

/// Bytes that an entry takes beside its command, for limits on batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A place of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Place in the log, from 1.
    pub index: u64,
    /// Content.
    pub payload: EntryPayload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; a new leader appends it to commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from here on; in force as soon as it is appended.
    Members(ClusterConfiguration),
}

impl LogEntry {
    /// Approximate size in memory and on the wire, in bytes.
    pub fn size_bytes(&self) -> usize {
        let payload_bytes = match &self.payload {
            EntryPayload::Empty => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Members(members) => {
                members.members().map(|id| id.name.len() + ENTRY_OVERHEAD_BYTES).sum()
            }
        };
        payload_bytes + ENTRY_OVERHEAD_BYTES
    }
}
