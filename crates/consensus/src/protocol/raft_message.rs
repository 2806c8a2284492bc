use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;
use crate::protocol::LogEntry;
use crate::protocol::ReplicaId;

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// Sending replica.
    pub from: ReplicaId,
    /// Receiving replica; one with another disk id drops the message.
    pub to: ReplicaId,
    /// Identity of the sender's log; a replica of another log drops the message.
    pub log_id: u64,
    /// Term of the sender; for a pre-vote, the term that it would start.
    pub term: u64,
    /// Content of the message.
    pub body: MessageBody,
}

/// Entry of a configuration that is committed; index 0 if none is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Index of the entry.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
}

/// Content of a message. Sections are those of Ongaro's dissertation; see the crate documentation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a pre-vote, which does not start a term (section 9.6).
    PreVote {
        /// Last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Members whose disks the candidate knows to be lost.
        lost_members: BTreeSet<ReplicaId>,
    },
    /// Reply to a pre-vote request. If it is granted, the message has the requested term.
    PreVoteReply {
        /// Whether the sender would vote for the receiver.
        is_granted: bool,
        /// Lost members that the request named or the sender knew of before.
        lost_members: BTreeSet<ReplicaId>,
        /// Latest configuration that the sender knows to be committed.
        committed_configuration: CommittedConfiguration,
    },
    /// Requests a vote (section 3.4).
    Vote {
        /// Whether the leader told the candidate to stand for election, so that contact with that
        /// leader does not speak against it (section 3.10).
        is_transfer: bool,
        /// Last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Members whose disks the candidate knows to be lost.
        lost_members: BTreeSet<ReplicaId>,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the sender votes for the receiver.
        is_granted: bool,
        /// Lost members that the request named or the sender knew of before.
        lost_members: BTreeSet<ReplicaId>,
    },
    /// Entries to append, or a heartbeat if there are none (section 3.5).
    Append {
        /// Index of the entry before the first one sent.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries, in order and without gaps.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Heartbeat round, with which the leader confirms reads (section 6.4).
        round: u64,
    },
    /// Reply to `Append`; it is sent after the entries are stored.
    AppendReply {
        /// Whether the log matches the leader's at `prev_index`.
        is_accepted: bool,
        /// `prev_index` of the message that this is a reply to.
        prev_index: u64,
        /// If accepted, the last entry known to match; otherwise the last entry that may match.
        match_index: u64,
        /// Heartbeat round of the message that this is a reply to.
        round: u64,
        /// Whether the host of the sender is about to stop.
        is_leaving: bool,
    },
    /// Tells a voter to stand for election at once, because the leader hands over (section 3.10).
    TimeoutNow,
    /// A chunk of a snapshot (section 5.3).
    SnapshotChunk {
        /// Last entry of the snapshot.
        index: u64,
        /// Term of that entry.
        entry_term: u64,
        /// Members after that entry.
        configuration: ClusterConfiguration,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total_bytes: u64,
        /// Bytes of the chunk.
        data: Vec<u8>,
    },
    /// Reply to a chunk of a snapshot.
    SnapshotReply {
        /// Last entry of the snapshot.
        index: u64,
        /// Bytes received so far without a gap.
        received_bytes: u64,
        /// Whether the snapshot is installed and stored.
        is_installed: bool,
    },
    /// Reply of a replica with an empty disk to a message for an earlier disk of its host.
    LossReport {
        /// Identity to which the message was addressed. It cannot take part any more.
        lost: ReplicaId,
    },
}

impl MessageBody {
    /// Whether only a leader, or a candidate whose configuration lists the receiver as a voter,
    /// sends such a message. A replica without state joins the log of the sender.
    pub fn is_from_leader_or_candidate(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::SnapshotChunk { .. } | Self::Vote { .. })
    }
}
