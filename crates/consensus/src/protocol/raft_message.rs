use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;
use crate::protocol::LogEntry;
use crate::protocol::ReplicaId;

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a replica with another disk id drops the message.
    pub to: ReplicaId,
    /// The sender's log; a replica of another log drops the message.
    pub log_id: u64,
    /// Term of the sender; for a pre-vote, the term that it would start.
    pub term: u64,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether an election could be won, without starting a term (section 9.6).
    PreVote {
        /// Last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to a pre-vote. If granted, the message has the term that was asked about.
    PreVoteReply {
        /// Whether the receiver would get the vote.
        is_granted: bool,
    },
    /// Asks for a vote (section 3.4).
    Vote {
        /// Last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to a request for a vote.
    VoteReply {
        /// Whether the receiver has the vote.
        is_granted: bool,
    },
    /// Entries, or a heartbeat if there are none (section 3.5).
    Append {
        /// Entry before the first one sent.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries, in order and without gaps.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit_index: u64,
        /// Counter by which the leader confirms reads (section 6.4).
        round: u64,
    },
    /// Answer to entries; it leaves the sender after they are stored.
    AppendReply {
        /// Whether the log matches the leader's at `prev_index`.
        is_accepted: bool,
        /// `prev_index` of the message that this answers.
        prev_index: u64,
        /// If accepted, last entry known to match; otherwise the last that may match.
        match_index: u64,
        /// Round of the message that this answers.
        round: u64,
    },
    /// A part of a snapshot (section 5.3).
    SnapshotChunk {
        /// Last entry of the snapshot.
        index: u64,
        /// Term of that entry.
        entry_term: u64,
        /// Members after that entry.
        configuration: ClusterConfiguration,
        /// Place of the part in the snapshot, in bytes.
        offset: u64,
        /// Size of the whole snapshot, in bytes.
        total_bytes: u64,
        /// The part.
        data: Vec<u8>,
    },
    /// Answer to a part of a snapshot.
    SnapshotReply {
        /// Last entry of the snapshot.
        index: u64,
        /// Bytes received so far without a gap.
        received_bytes: u64,
        /// Whether the snapshot is installed and stored.
        is_installed: bool,
    },
}

impl MessageBody {
    /// Whether only a leader, or a candidate that lists the receiver as a voter, sends this. A
    /// replica without state joins the log of such a message.
    pub fn is_from_leader_or_candidate(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::SnapshotChunk { .. } | Self::Vote { .. })
    }
}
