//! Decides how the voters of the log follow the hosts that hold replicas, without an operator.
//!
//! One change is made at a time, and each must be committed before the next, as the log requires.
//! See `docs/design.md`, section 5.2.

use std::collections::BTreeSet;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;

/// Fewest voters that a removal may leave: with three, the loss of one disk loses nothing.
const MIN_VOTERS: usize = 3;

/// Most voters; more would slow down every write without letting more hosts fail together.
const MAX_VOTERS: usize = 5;

/// What the leader knows when it decides.
#[derive(Debug, Default)]
pub struct ReplicaObservation {
    /// The members of the log.
    pub configuration: ClusterConfiguration,
    /// Members that answer the leader, itself included.
    pub reachable: BTreeSet<ReplicaId>,
    /// Members that have stored all that is committed, the leader included.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Members that have not answered for long enough to be replaced.
    pub failed: BTreeSet<ReplicaId>,
    /// Replicas that answered a question just now, members or not.
    pub running: BTreeSet<ReplicaId>,
}

/// The change that brings the members closer to the running replicas, if any.
///
/// A replica whose disk was lost counts as a new one. Its former self is removed once the new one
/// has caught up, since two replicas of one name cannot both vote. A voter that does not answer is
/// removed only while enough others vote, so that replacing never costs what the deployment may
/// lose at once.
pub fn next_member_change(seen: &ReplicaObservation) -> Option<MemberChange> {
    let ReplicaObservation { configuration, reachable, caught_up, failed, running } = seen;
    let (voters, learners) = (&configuration.voters, &configuration.learners);
    let is_ready = |id: &&ReplicaId| caught_up.contains(*id) && reachable.contains(*id);
    for learner in learners.iter().filter(is_ready) {
        if let Some(former) = voters.iter().find(|voter| voter.name == learner.name) {
            return Some(MemberChange::Remove(former.clone()));
        }
        let can_replace = voters.iter().any(|voter| failed.contains(voter));
        if voters.len() < MAX_VOTERS || can_replace {
            return Some(MemberChange::Promote(learner.clone()));
        }
    }
    let lost_voter =
        voters.iter().find(|voter| failed.contains(*voter) && !reachable.contains(*voter));
    if let Some(voter) = lost_voter.filter(|_| voters.len() > MIN_VOTERS) {
        return Some(MemberChange::Remove(voter.clone()));
    }
    let superseded = |id: &&ReplicaId| {
        failed.contains(*id) && running.iter().any(|other| other.name == id.name && other != *id)
    };
    if let Some(learner) = learners.iter().find(superseded) {
        return Some(MemberChange::Remove(learner.clone()));
    }
    let is_new = |id: &&ReplicaId| !configuration.has_member(id);
    running.iter().find(is_new).cloned().map(MemberChange::AddLearner)
}

#[cfg(test)]
mod tests;
