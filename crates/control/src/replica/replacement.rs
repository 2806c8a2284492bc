//! Decides on membership changes of the log, so that its voters match the running replicas without
//! commands of an operator.
//!
//! Changes are made one at a time. Each must be committed before the next, as the log requires.
//! See `docs/design.md`, sections 5.2 and 5.2.1.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;

/// Number of voters with which a majority is left after `tolerated_losses` lost disks.
///
/// One more would slow down every write, and would not go on without the power of half of them. A
/// deployment that tolerates no loss has three, so that it goes on while a process restarts.
pub fn target_voters(tolerated_losses: usize) -> usize {
    2 * tolerated_losses.max(1) + 1
}

/// The leader's view of the replicas, from which it decides on the next change.
#[derive(Debug, Clone, Default)]
pub struct ReplicaObservation {
    /// The current members of the log.
    pub configuration: ClusterConfiguration,
    /// The leader.
    pub leader: Option<ReplicaId>,
    /// Members that respond to the leader, including the leader itself.
    pub reachable: BTreeSet<ReplicaId>,
    /// Members that have stored all committed entries, including the leader.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Members that have been unreachable for long enough to be replaced.
    pub failed: BTreeSet<ReplicaId>,
    /// Members whose hosts are about to stop.
    pub leaving: BTreeSet<ReplicaId>,
    /// Members that have certainly lost their disks.
    pub lost: BTreeSet<ReplicaId>,
    /// Replicas that are running, whether they are members or not.
    pub running: BTreeSet<ReplicaId>,
    /// Data centres of the hosts, by name, as far as they are known.
    pub data_centres: BTreeMap<String, String>,
    /// Number of voters that the log should have, see [`target_voters`].
    pub target_voters: usize,
}

/// Returns the next change that makes the members match the running replicas, if one is needed.
///
/// A voter that is lost, has failed or is about to leave gives its vote to a learner in one change,
/// so the number of voters never falls below the target. Nothing announces that a host is removed
/// without a signal; so the successor of a host takes over its vote as soon as it has caught up, and
/// no other vote. The successor is the learner of the same data centre that joined later. The host
/// that it replaces gets no vote again, because its removal would not count as a loss.
pub fn next_member_change(observation: &ReplicaObservation) -> Option<MemberChange> {
    let ReplicaObservation { configuration, lost, .. } = observation;
    let ClusterConfiguration { voters, learners, .. } = configuration;
    if let Some(learner) = learners.iter().find(|id| lost.contains(*id)) {
        return Some(MemberChange::Remove(learner.clone()));
    }
    observation
        .replace_predecessor_of_same_name()
        .or_else(|| observation.replace_predecessor_in_data_centre())
        .or_else(|| observation.replace_or_remove_lost_voter())
        .or_else(|| observation.promote_while_below_target())
        .or_else(|| observation.replace_voter(|id| observation.leaving.contains(id)))
        .or_else(|| observation.replace_voter(|id| observation.has_failed(id)))
        .or_else(|| observation.spread_voters())
        .or_else(|| (voters.len() > observation.target_voters).then(|| observation.drop_voter())?)
        .or_else(|| observation.remove_superseded_learner())
        .or_else(|| observation.add_learner())
}

impl ReplicaObservation {
    fn has_failed(&self, id: &ReplicaId) -> bool {
        self.failed.contains(id) && !self.reachable.contains(id)
    }

    fn data_centre(&self, id: &ReplicaId) -> Option<&str> {
        self.data_centres.get(&id.name).map(String::as_str)
    }

    fn voters_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a ReplicaId> {
        let voters = self.configuration.voters.iter();
        voters.filter(move |voter| self.data_centre(voter) == Some(data_centre))
    }

    /// Learners that could vote.
    fn candidates(&self) -> impl Iterator<Item = &ReplicaId> {
        let is_ready = |id: &&ReplicaId| {
            self.caught_up.contains(*id)
                && self.reachable.contains(*id)
                && !self.leaving.contains(*id)
        };
        self.configuration.learners.iter().filter(is_ready)
    }

    /// Whether a later member is in the same data centre.
    fn is_superseded(&self, id: &ReplicaId) -> bool {
        let joined = |id: &ReplicaId| self.configuration.joined_index(id);
        let Some(data_centre) = self.data_centre(id) else { return false };
        self.configuration
            .members()
            .any(|other| self.data_centre(other) == Some(data_centre) && joined(other) > joined(id))
    }

    /// Learners that could take a vote of any data centre.
    fn substitutes(&self) -> impl Iterator<Item = &ReplicaId> {
        self.candidates().filter(|id| !self.is_superseded(id))
    }

    fn has_voter_named(&self, name: &str) -> bool {
        self.configuration.voters.iter().any(|voter| voter.name == name)
    }

    /// The best learner to vote in place of a voter.
    fn substitute(&self, voter: &ReplicaId) -> Option<&ReplicaId> {
        let may_vote = |id: &&ReplicaId| id.name == voter.name || !self.has_voter_named(&id.name);
        let rank = |id: &&ReplicaId| {
            let is_same_host = id.name == voter.name;
            let data_centre = self.data_centre(id);
            let is_same_data_centre =
                data_centre.is_some() && data_centre == self.data_centre(voter);
            (is_same_host, is_same_data_centre, self.spread_rank(id))
        };
        self.substitutes().filter(may_vote).max_by_key(rank)
    }

    /// Prefers data centres with few voters, then the latest host.
    fn spread_rank(&self, id: &ReplicaId) -> (Reverse<usize>, u64) {
        let voters = self.data_centre(id).map_or(0, |at| self.voters_in(at).count());
        (Reverse(voters), self.configuration.joined_index(id))
    }

    fn replace_voter(&self, is_replaced: impl Fn(&ReplicaId) -> bool) -> Option<MemberChange> {
        let replaced = self.configuration.voters.iter().filter(|id| is_replaced(id));
        let mut pairs = replaced.filter_map(|voter| Some((voter, self.substitute(voter)?)));
        pairs.next().map(|(voter, learner)| replace(voter, learner))
    }

    fn replace_or_remove_lost_voter(&self) -> Option<MemberChange> {
        let voters = &self.configuration.voters;
        if voters.len() > self.target_voters {
            let lost = voters.iter().find(|id| self.lost.contains(*id));
            return lost.cloned().map(MemberChange::Remove);
        }
        self.replace_voter(|id| self.lost.contains(id))
    }

    /// A replica that runs shows that the earlier one of the same host is gone.
    fn replace_predecessor_of_same_name(&self) -> Option<MemberChange> {
        self.candidates().find_map(|learner| {
            let mut voters = self.configuration.voters.iter();
            voters.find(|voter| voter.name == learner.name).map(|voter| replace(voter, learner))
        })
    }

    fn promote_while_below_target(&self) -> Option<MemberChange> {
        if self.configuration.voters.len() >= self.target_voters {
            return None;
        }
        let rank = |id: &&ReplicaId| (!self.is_superseded(id), self.spread_rank(id));
        let learner = self.candidates().max_by_key(rank)?;
        Some(MemberChange::Promote(learner.clone()))
    }

    /// The latest host of a data centre takes over from the earliest one that votes there.
    fn replace_predecessor_in_data_centre(&self) -> Option<MemberChange> {
        let joined = |id: &ReplicaId| self.configuration.joined_index(id);
        self.candidates().find_map(|learner| {
            let earlier = self
                .voters_in(self.data_centre(learner)?)
                .filter(|id| joined(id) < joined(learner));
            // Replacing the leader costs a hand-over.
            let voter = earlier.min_by_key(|id| (joined(id), self.leader.as_ref() == Some(id)))?;
            Some(replace(voter, learner))
        })
    }

    /// Moves a vote to a data centre without one from a data centre with several, so that the loss of
    /// a data centre takes as few voters as possible.
    fn spread_voters(&self) -> Option<MemberChange> {
        let learner = self
            .substitutes()
            .filter(|id| self.data_centre(id).is_some_and(|at| self.voters_in(at).count() == 0))
            .max_by_key(|id| self.spread_rank(id))?;
        let voters = self.configuration.voters.iter();
        let voters_beside = |id: &ReplicaId| {
            self.data_centre(id).map_or(0, |data_centre| self.voters_in(data_centre).count())
        };
        let voter = voters
            .filter(|id| voters_beside(id) > 1)
            .max_by_key(|id| (voters_beside(id), self.leader.as_ref() != Some(id)))?;
        Some(replace(voter, learner))
    }

    /// Removes a failed voter beyond the target, or makes a running one a learner.
    fn drop_voter(&self) -> Option<MemberChange> {
        let voters = &self.configuration.voters;
        if let Some(failed) = voters.iter().find(|id| self.has_failed(id)) {
            return Some(MemberChange::Remove(failed.clone()));
        }
        let rank = |id: &&ReplicaId| {
            let is_leader = self.leader.as_ref() == Some(*id);
            let is_leaving = self.leaving.contains(*id);
            (Reverse(is_leaving), is_leader, Reverse(self.spread_rank(id).0), (*id).clone())
        };
        let surplus = voters.iter().filter(|id| self.reachable.contains(*id)).min_by_key(rank)?;
        Some(MemberChange::Demote(surplus.clone()))
    }

    fn remove_superseded_learner(&self) -> Option<MemberChange> {
        let is_superseded = |id: &&ReplicaId| {
            let is_other = |other: &ReplicaId| other.name == id.name && other != *id;
            self.failed.contains(*id) && self.running.iter().any(is_other)
        };
        let learner = self.configuration.learners.iter().find(is_superseded)?;
        Some(MemberChange::Remove(learner.clone()))
    }

    fn add_learner(&self) -> Option<MemberChange> {
        let is_new = |id: &&ReplicaId| !self.configuration.has_member(id);
        self.running.iter().find(is_new).cloned().map(MemberChange::AddLearner)
    }
}

fn replace(voter: &ReplicaId, learner: &ReplicaId) -> MemberChange {
    MemberChange::Replace { voter: voter.clone(), learner: learner.clone() }
}

#[cfg(test)]
mod tests;
