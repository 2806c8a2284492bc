use std::collections::BTreeSet;

use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;
use crate::raft::RequestRefusal;

/// Number of hosts of which the log remembers when they joined, several times the number of members.
const MAX_KNOWN_HOSTS: usize = 64;

/// A change of the members. Repeating a change that has taken effect has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Add a replica that receives the log but does not vote.
    AddLearner(ReplicaId),
    /// Make a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Make a learner that has caught up a voter in place of another one, which becomes a learner.
    /// The number of voters stays the same, see `docs/design.md`, section 5.2.1.
    Replace {
        /// Voter that gives its vote away.
        voter: ReplicaId,
        /// Learner that takes its place.
        learner: ReplicaId,
    },
    /// Make a voter a learner.
    Demote(ReplicaId),
    /// Remove a voter or a learner.
    Remove(ReplicaId),
}

impl MemberChange {
    /// The configuration after this change, as set by the entry at `index`.
    ///
    /// # Errors
    /// The change does not apply to this configuration.
    pub fn apply_to(
        &self,
        configuration: &ClusterConfiguration,
        lost_members: &BTreeSet<ReplicaId>,
        index: u64,
    ) -> Result<ClusterConfiguration, RequestRefusal> {
        let mut next = configuration.clone();
        // Founders, and members that earlier versions have added, have no index yet.
        for member in configuration.members() {
            next.joined.entry(member.name.clone()).or_insert(0);
        }
        match self {
            Self::AddLearner(id) => {
                if !next.has_member(id) {
                    next.learners.insert(id.clone());
                    next.joined.entry(id.name.clone()).or_insert(index);
                }
            }
            Self::Promote(id) => add_voter(&mut next, id)?,
            Self::Replace { voter, learner } => {
                let is_removed = next.voters.remove(voter);
                add_voter(&mut next, learner)?;
                // A host has one replica, so the earlier one of the same name is gone.
                if is_removed && voter.name != learner.name && !lost_members.contains(voter) {
                    next.learners.insert(voter.clone());
                }
            }
            Self::Demote(id) => {
                if next.voters.remove(id) {
                    next.learners.insert(id.clone());
                }
            }
            Self::Remove(id) => {
                next.voters.remove(id);
                next.learners.remove(id);
            }
        }
        forget_earliest_hosts(&mut next);
        Ok(next)
    }
}

/// Bounds the memory of hosts that are members no more.
fn forget_earliest_hosts(configuration: &mut ClusterConfiguration) {
    let ClusterConfiguration { voters, learners, joined } = configuration;
    while joined.len() > MAX_KNOWN_HOSTS {
        let is_member = |name: &str| voters.iter().chain(&*learners).any(|id| id.name == name);
        let former = joined.iter().filter(|(name, _)| !is_member(name));
        let Some((earliest, _)) = former.min_by_key(|(_, index)| **index) else { return };
        let earliest = earliest.clone();
        joined.remove(&earliest);
    }
}

fn add_voter(next: &mut ClusterConfiguration, id: &ReplicaId) -> Result<(), RequestRefusal> {
    if next.voters.contains(id) {
        return Ok(());
    }
    if !next.learners.remove(id) {
        return Err(RequestRefusal::NotLearner);
    }
    if next.voters.iter().any(|voter| voter.name == id.name) {
        return Err(RequestRefusal::NameInUse);
    }
    next.voters.insert(id.clone());
    Ok(())
}
