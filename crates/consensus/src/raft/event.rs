use std::fmt;
use std::sync::Arc;

use crate::protocol::HardState;
use crate::protocol::LogEntry;
use crate::protocol::RaftMessage;
use crate::protocol::ReplicaId;
use crate::protocol::Snapshot;
use crate::raft::MemberChange;

/// Number that the caller gives to a request, to find its answer.
pub type RequestNumber = u64;

/// Input of a replica.
#[derive(Debug, Clone)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message came in.
    Receive(RaftMessage),
    /// A command to be logged.
    Propose {
        /// Number for the answer.
        request: RequestNumber,
        /// Command for the state machine.
        command: Vec<u8>,
    },
    /// Asks for a point from which a local read is current.
    Read {
        /// Number for the answer.
        request: RequestNumber,
    },
    /// Changes the members.
    ChangeMembers {
        /// Number for the answer.
        request: RequestNumber,
        /// The change.
        change: MemberChange,
    },
    /// Starts a new log with these voters; ignored by a replica that has state or is not listed.
    Bootstrap(Vec<ReplicaId>),
    /// Everything up to and including this [`PersistRequest::sequence`] is stored and synced.
    Stored(u64),
    /// Storage failed. The replica stops for good.
    StorageFailed,
    /// The state machine's state after the last `Apply` or `InstallSnapshot` of the replica.
    SnapshotTaken {
        /// Encoded state.
        data: Vec<u8>,
    },
}

/// Output of a replica. Actions are to be carried out in order.
#[derive(Debug, Clone)]
pub enum ReplicaAction {
    /// Send a message; it may be lost.
    Send(RaftMessage),
    /// Store and sync, then report [`ReplicaEvent::Stored`]. Requests must take effect in order.
    Persist(PersistRequest),
    /// Apply a committed command; if a request is named, its answer is the result.
    Apply {
        /// Place in the log.
        index: u64,
        /// The command.
        command: Vec<u8>,
        /// Request that proposed it on this replica.
        request: Option<RequestNumber>,
    },
    /// Answer a request.
    CompleteRequest {
        /// Number of the request.
        request: RequestNumber,
        /// The answer.
        outcome: RequestOutcome,
    },
    /// Replace the state machine's state.
    InstallSnapshot(Arc<Snapshot>),
}

/// State to be stored. The parts take effect in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Number for [`ReplicaEvent::Stored`].
    pub sequence: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the snapshot replaces the whole log, rather than only its part up to the snapshot.
    pub is_log_replaced: bool,
    /// New entries. They replace stored entries of the same and of higher index.
    pub entries: Vec<LogEntry>,
}

/// Answer to a request that no `Apply` answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// This replica is not the leader; nothing was logged.
    NotLeader {
        /// The leader, if one is known.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost before the entry was committed; it may be committed later, or never.
    Unknown,
    /// The request was refused; nothing was logged.
    Refused(RequestRefusal),
    /// The state machine of this replica is now current as of the time of the request.
    ReadReady {
        /// Last entry that is applied.
        index: u64,
    },
    /// The members are as asked for.
    MembersChanged,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The command is longer than [`crate::raft::RaftSettings::max_command_bytes`].
    CommandTooLong,
    /// Another membership change is not committed yet, or the leader is new; repeat it later.
    Busy,
    /// The replica is not a learner.
    NotLearner,
    /// The learner has not caught up or does not answer.
    NotCaughtUp,
    /// A voter of the same name but another disk has to be removed first.
    NameInUse,
    /// The change would leave no majority of voters that answer.
    WouldLoseMajority,
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CommandTooLong => "the command is too long",
            Self::Busy => "another membership change is in progress or the leader is new",
            Self::NotLearner => "the replica is not a learner",
            Self::NotCaughtUp => "the learner has not caught up or does not answer",
            Self::NameInUse => "a voter of this name with another disk has to be removed first",
            Self::WouldLoseMajority => "no majority of the remaining voters answers",
        })
    }
}
