use std::collections::BTreeMap;

use crate::protocol::ReplicaId;
use crate::raft::RequestNumber;

/// What a leader knows, for the length of its term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// Progress of every other member.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Requests whose entries are not committed, by index.
    pub(super) pending: BTreeMap<u64, RequestNumber>,
    /// Reads that are not confirmed.
    pub(super) reads: Vec<PendingRead>,
    /// Latest heartbeat round.
    pub(super) round: u64,
    /// When heartbeats were last sent, in ms.
    pub(super) heartbeat_at_ms: u64,
    /// When the term began, in ms.
    pub(super) since_ms: u64,
    /// The leader's own first entry; once it is committed, the commit index is current.
    pub(super) first_index: u64,
}

/// A read that waits for its round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) request: RequestNumber,
    pub(super) round: u64,
}

/// How far a follower is.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry that the follower has stored and that matches.
    pub(super) match_index: u64,
    /// Next entry to send.
    pub(super) next_index: u64,
    pub(super) mode: Mode,
    /// When the follower last answered, in ms.
    pub(super) heard_ms: u64,
    /// Latest round that the follower answered.
    pub(super) round: u64,
}

/// How entries are sent to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// One message at a time, until the place is found where the logs match.
    Probe {
        /// Whether a message is under way.
        is_sent: bool,
    },
    /// Messages follow each other without waiting.
    Stream,
    /// The entries that the follower lacks are compacted; it gets the snapshot.
    Snapshot {
        /// Last entry of the snapshot.
        index: u64,
        /// Bytes that the follower has.
        offset: u64,
        /// When the latest chunk was sent, in ms.
        sent_ms: u64,
    },
}

impl Progress {
    pub(super) fn new(next_index: u64, now_ms: u64) -> Self {
        let mode = Mode::Probe { is_sent: false };
        Self { match_index: 0, next_index, mode, heard_ms: now_ms, round: 0 }
    }
}
