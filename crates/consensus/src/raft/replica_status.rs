use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;

/// Role of a replica, for status and tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads its term.
    Leader,
    /// Takes part no more until it is restarted or replaced.
    Stopped(StopReason),
}

/// Why a replica stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A write or sync failed. A failed sync is never tried again, because the kernel may have
    /// dropped the unwritten pages and report success the second time.
    Storage,
    /// A leader sent entries that contradict committed ones; going on would spread the damage.
    CommittedConflict,
}

/// What a replica knows, for operators and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: ReplicaRole,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Last entry known to be committed; all up to here are applied.
    pub commit_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last entry of the latest snapshot.
    pub snapshot_index: u64,
    /// The members.
    pub configuration: ClusterConfiguration,
    /// On the leader, the other members; a learner can be promoted once it has caught up.
    pub followers: Vec<FollowerStatus>,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The member.
    pub id: ReplicaId,
    /// Last entry that it has stored.
    pub match_index: u64,
    /// Whether it answered within the election timeout.
    pub is_responsive: bool,
    /// Whether it has stored all that is committed.
    pub is_caught_up: bool,
}
