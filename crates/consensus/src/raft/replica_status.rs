use std::collections::BTreeSet;

use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;

/// Role of a replica, for the status API and tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leader of its term.
    Leader,
    /// Does not participate until it is restarted or replaced.
    Stopped(StopReason),
}

/// Why a replica stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A write or sync failed. A failed sync is never retried, because the kernel may have dropped
    /// the unwritten pages and report success the second time.
    Storage,
    /// A leader sent entries that conflict with committed ones; continuing would spread the damage.
    CommittedConflict,
}

/// Status of a replica, for operators and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Current role.
    pub role: ReplicaRole,
    /// Current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Last entry known to be committed; all entries up to it are applied.
    pub commit_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last entry of the latest snapshot.
    pub snapshot_index: u64,
    /// Latest configuration, committed or not.
    pub configuration: ClusterConfiguration,
    /// Configuration before the latest one, until that is known to be committed. A quorum needs its
    /// voters as well.
    pub previous_configuration: Option<ClusterConfiguration>,
    /// Members whose disks are known to be lost.
    pub lost_members: BTreeSet<ReplicaId>,
    /// Whether the host of this replica is about to stop, so that its vote should move elsewhere.
    pub is_leaving: bool,
    /// On the leader, the other members; a learner can be promoted once it has caught up.
    pub followers: Vec<FollowerStatus>,
}

/// Status of another member, as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Identity of the member.
    pub id: ReplicaId,
    /// Last entry that the member is known to have stored.
    pub match_index: u64,
    /// Whether the member responded within the election timeout.
    pub is_responsive: bool,
    /// Whether the member responds and has stored all committed entries.
    pub is_caught_up: bool,
    /// Whether the host of the member is about to stop.
    pub is_leaving: bool,
}
