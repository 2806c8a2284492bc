use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;

/// Approximate size of an entry without its command, in bytes, for the limits on batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Index in the log; the first entry has index 1.
    pub index: u64,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No content; a new leader appends such an entry to commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on. It takes effect as soon as it is appended.
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
