//! Decides on membership changes of the log, so that its voters match the running replicas without
//! commands of an operator.
//!
//! Changes are made one at a time. Each must be committed before the next, as the log requires.
//! See `docs/design.md`, section 5.2.

use std::collections::BTreeSet;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;

/// Minimum number of voters that remain after the removal of a failed voter. With three, the loss
/// of one disk loses no data. The removal of a voter that has lost its disk may leave fewer: it can
/// never vote again, and without it half of the voters may suffice after the next loss.
const MIN_VOTERS: usize = 3;

/// Number of voters from which a learner is promoted only while one of the voters has failed, so
/// that the log may have more voters until that one is removed. A sixth voter would otherwise slow
/// down every write without tolerating the failure of another host.
const MAX_VOTERS: usize = 5;

/// The leader's view of the replicas, from which it decides on the next change.
#[derive(Debug, Default)]
pub struct ReplicaObservation {
    /// The current members of the log.
    pub configuration: ClusterConfiguration,
    /// Members that respond to the leader, including the leader itself.
    pub reachable: BTreeSet<ReplicaId>,
    /// Members that have stored all committed entries, including the leader.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Members that have been unreachable for long enough to be replaced.
    pub failed: BTreeSet<ReplicaId>,
    /// Members that have certainly lost their disks.
    pub lost: BTreeSet<ReplicaId>,
    /// Replicas that are running, whether they are members or not.
    pub running: BTreeSet<ReplicaId>,
}

/// Returns the next change that makes the members match the running replicas, if one is needed.
///
/// A replica that lost its disk counts as a new one. Its predecessor is removed as soon as the loss
/// is known, at the latest once the new one has caught up, since two replicas with the same name
/// cannot both vote. Any other failed voter is removed only while the log has more than
/// `MIN_VOTERS` voters.
pub fn next_member_change(observation: &ReplicaObservation) -> Option<MemberChange> {
    let ReplicaObservation { configuration, reachable, caught_up, failed, lost, running } =
        observation;
    let (voters, learners) = (&configuration.voters, &configuration.learners);
    if let Some(member) = configuration.members().find(|id| lost.contains(*id)) {
        return Some(MemberChange::Remove(member.clone()));
    }
    let is_ready = |id: &&ReplicaId| caught_up.contains(*id) && reachable.contains(*id);
    for learner in learners.iter().filter(is_ready) {
        // The log refuses a second voter with the same name, so the predecessor is removed before
        // the learner is promoted, and the log has one voter fewer in between.
        if let Some(predecessor) = voters.iter().find(|voter| voter.name == learner.name) {
            return Some(MemberChange::Remove(predecessor.clone()));
        }
        let can_replace = voters.iter().any(|voter| failed.contains(voter));
        if voters.len() < MAX_VOTERS || can_replace {
            return Some(MemberChange::Promote(learner.clone()));
        }
    }
    let failed_voter =
        voters.iter().find(|voter| failed.contains(*voter) && !reachable.contains(*voter));
    if let Some(voter) = failed_voter.filter(|_| voters.len() > MIN_VOTERS) {
        return Some(MemberChange::Remove(voter.clone()));
    }
    let is_superseded = |id: &&ReplicaId| {
        failed.contains(*id) && running.iter().any(|other| other.name == id.name && other != *id)
    };
    if let Some(learner) = learners.iter().find(is_superseded) {
        return Some(MemberChange::Remove(learner.clone()));
    }
    let is_new = |id: &&ReplicaId| !configuration.has_member(id);
    running.iter().find(is_new).cloned().map(MemberChange::AddLearner)
}

#[cfg(test)]
mod tests;
