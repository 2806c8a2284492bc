use std::fmt;
use std::sync::Arc;

use crate::protocol::HardState;
use crate::protocol::LogEntry;
use crate::protocol::RaftMessage;
use crate::protocol::ReplicaId;
use crate::protocol::Snapshot;
use crate::raft::MemberChange;

/// Number that the caller assigns to a request, to match its outcome.
pub type RequestNumber = u64;

/// Input of a replica.
#[derive(Debug, Clone)]
pub enum ReplicaEvent {
    /// Timer tick, which drives heartbeats and elections.
    Tick,
    /// A message from another replica arrived.
    Receive(RaftMessage),
    /// Appends a command to the log.
    Propose {
        /// Number of the request.
        request: RequestNumber,
        /// Command for the state machine.
        command: Vec<u8>,
    },
    /// Requests an outcome after which a local read is linearizable.
    Read {
        /// Number of the request.
        request: RequestNumber,
    },
    /// Changes the members.
    ChangeMembers {
        /// Number of the request.
        request: RequestNumber,
        /// The change.
        change: MemberChange,
    },
    /// The host of the replica is about to stop: the leader should give its vote to another member.
    Leave,
    /// Makes the leader hand over to another voter.
    TransferLead,
    /// Starts a new log with these voters. A replica that has state or is not listed ignores it.
    Bootstrap(Vec<ReplicaId>),
    /// All persist requests up to and including this [`PersistRequest::sequence`] are synced.
    Stored(u64),
    /// Storage failed. The replica stops permanently.
    StorageFailed,
    /// State of the state machine after the latest `Apply` or `InstallSnapshot` action.
    SnapshotTaken {
        /// Encoded state.
        data: Vec<u8>,
    },
}

/// Output of a replica. The caller executes the actions in order.
#[derive(Debug, Clone)]
pub enum ReplicaAction {
    /// Send a message; it may be lost.
    Send(RaftMessage),
    /// Store and sync, then report [`ReplicaEvent::Stored`]. Requests must take effect in order.
    Persist(PersistRequest),
    /// Apply a committed command. If a request is given, the result completes it.
    Apply {
        /// Index in the log.
        index: u64,
        /// Command for the state machine.
        command: Vec<u8>,
        /// Request that proposed the command on this replica.
        request: Option<RequestNumber>,
    },
    /// Complete a request.
    CompleteRequest {
        /// Number of the request.
        request: RequestNumber,
        /// Its outcome.
        outcome: RequestOutcome,
    },
    /// Replace the state of the state machine.
    InstallSnapshot(Arc<Snapshot>),
}

/// State to store. The fields take effect in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Number to report in [`ReplicaEvent::Stored`].
    pub sequence: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the snapshot replaces the whole log, rather than only the entries up to it.
    pub is_log_replaced: bool,
    /// New entries. They replace stored entries of the same and higher indices.
    pub entries: Vec<LogEntry>,
}

/// Outcome of a request that no `Apply` action completes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// This replica is not the leader; nothing was logged.
    NotLeader {
        /// The leader, if one is known.
        leader: Option<ReplicaId>,
    },
    /// The replica ceased to be leader before the entry was committed; the entry may be committed
    /// later, or never.
    Unknown,
    /// The request was refused; nothing was logged.
    Refused(RequestRefusal),
    /// The state machine of this replica contains everything committed before the request.
    ReadReady {
        /// Last applied entry.
        index: u64,
    },
    /// The requested membership is committed.
    MembersChanged,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The command is longer than [`crate::raft::RaftSettings::max_command_bytes`].
    CommandTooLong,
    /// Another membership change is not committed yet, or the leader has not committed an entry of
    /// its own term; retry later.
    Busy,
    /// The replica is not a learner.
    NotLearner,
    /// The learner has not caught up or does not respond.
    NotCaughtUp,
    /// A voter with the same name and another disk must be removed first.
    NameInUse,
    /// After the change, no majority of the voters would respond.
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
