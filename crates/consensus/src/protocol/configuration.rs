use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ReplicaId;

/// The members of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Replicas that vote and whose acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that only receive the log.
    pub learners: BTreeSet<ReplicaId>,
}

impl Configuration {
    /// A configuration of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether the replica is a voter or a learner.
    pub fn has_member(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `is_counted` holds are a majority. No voters are none.
    pub fn is_majority(&self, is_counted: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters.iter().filter(|id| is_counted(id)).count() >= self.quorum()
    }
}
