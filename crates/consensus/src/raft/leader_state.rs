use std::collections::BTreeMap;

use crate::protocol::ReplicaId;
use crate::raft::RequestNumber;

/// State of a leader for the duration of its term.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    /// Replication progress of every other member.
    pub(super) progress: BTreeMap<ReplicaId, FollowerProgress>,
    /// Requests whose entries are not yet committed, by index.
    pub(super) pending_requests: BTreeMap<u64, RequestNumber>,
    /// Reads that are not yet confirmed.
    pub(super) pending_reads: Vec<PendingRead>,
    /// Latest heartbeat round.
    pub(super) heartbeat_round: u64,
    /// When heartbeats were last sent, in ms.
    pub(super) last_heartbeat_ms: u64,
    /// When the replica became leader, in ms.
    pub(super) elected_at_ms: u64,
    /// Lost voter without which the leader was elected by half of an even number of voters.
    pub(super) lost_voter: Option<ReplicaId>,
    /// First entry of the leader's own term; once it is committed, the commit index is current.
    pub(super) first_own_index: u64,
}

/// A read that waits until a majority acknowledges its heartbeat round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) request: RequestNumber,
    pub(super) round: u64,
}

/// Replication progress of a follower.
#[derive(Debug)]
pub(super) struct FollowerProgress {
    /// Last stored entry of the follower that is known to match the leader's log.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) mode: ReplicationMode,
    /// When the follower last responded, in ms.
    pub(super) last_response_ms: u64,
    /// Latest heartbeat round that the follower acknowledged.
    pub(super) acknowledged_round: u64,
    /// Whether the host of the follower is about to stop, as its latest response said.
    pub(super) is_leaving: bool,
}

/// How entries are sent to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplicationMode {
    /// One message at a time, until the last index at which both logs match is found.
    Probe {
        /// Whether a message is in flight.
        is_in_flight: bool,
    },
    /// Messages are sent without waiting for acknowledgements.
    Pipeline,
    /// The entries that the follower lacks are compacted, so the snapshot is sent.
    Snapshot {
        /// Last entry of the snapshot.
        index: u64,
        /// Bytes that the follower has received.
        offset: u64,
        /// When the latest chunk was sent, in ms.
        sent_ms: u64,
    },
}

impl FollowerProgress {
    pub(super) fn new(next_index: u64, now_ms: u64) -> Self {
        let mode = ReplicationMode::Probe { is_in_flight: false };
        Self {
            match_index: 0,
            next_index,
            mode,
            last_response_ms: now_ms,
            acknowledged_round: 0,
            is_leaving: false,
        }
    }
}
