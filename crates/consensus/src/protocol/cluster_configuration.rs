use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ReplicaId;

/// Minimum number of voters of which half may decide. Of two, one would decide alone, and every change
/// from two voters to three would need both of them until all know that it is committed.
const MIN_VOTERS_FOR_HALF: usize = 4;

/// The replicas that are members of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterConfiguration {
    /// Replicas that vote and whose acknowledgements count towards a majority.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeSet<ReplicaId>,
    /// Index of the entry that first added a replica of each host, by the name of its node; founders
    /// have 0, or are missing before the first change. It tells the successor of a host from the host
    /// that it replaces, also after that one has lost its disk or was removed.
    pub joined: BTreeMap<String, u64>,
}

impl ClusterConfiguration {
    /// Creates a configuration without learners.
    pub fn from_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), ..Self::default() }
    }

    /// Identity of the log that is bootstrapped with these voters: an FNV-1a hash of their random
    /// disk ids. It is never 0.
    pub fn log_id(&self) -> u64 {
        let bytes = self.voters.iter().flat_map(|id| id.disk.0.to_le_bytes());
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        bytes.fold(0xcbf2_9ce4_8422_2325, mix).max(1)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether the replica is a voter or a learner.
    pub fn has_member(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Index of the entry that first added a replica of this host; 0 for a founder.
    pub fn joined_index(&self, id: &ReplicaId) -> u64 {
        self.joined.get(&id.name).copied().unwrap_or(0)
    }

    /// Whether both configurations have the same voters and learners.
    pub fn has_same_members(&self, other: &Self) -> bool {
        self.voters == other.voters && self.learners == other.learners
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `is_counted` holds are a majority; false without voters.
    pub fn is_majority(&self, is_counted: impl Fn(&ReplicaId) -> bool) -> bool {
        self.voters.iter().filter(|id| is_counted(id)).count() >= self.quorum()
    }

    /// Whether the voters for which `is_counted` holds are a quorum.
    ///
    /// Of an even number of voters, one of which is lost, half suffices: the others are an odd
    /// number, of which every majority of all voters contains half. See `docs/design.md`, section
    /// 5.2.1.
    pub fn is_quorum(
        &self,
        lost_voter: Option<&ReplicaId>,
        is_counted: impl Fn(&ReplicaId) -> bool,
    ) -> bool {
        let Some(lost_voter) = self.counted_loss(lost_voter) else {
            return self.is_majority(is_counted);
        };
        let count = self.voters.iter().filter(|id| *id != lost_voter && is_counted(id)).count();
        count >= self.voters.len() / 2
    }

    /// The largest index that a quorum has reached, given the index of each voter; `None` without
    /// voters.
    pub fn quorum_index(
        &self,
        lost_voter: Option<&ReplicaId>,
        index_of: impl Fn(&ReplicaId) -> u64,
    ) -> Option<u64> {
        let lost_voter = self.counted_loss(lost_voter);
        let counted = self.voters.iter().filter(|id| Some(*id) != lost_voter);
        let mut indices: Vec<u64> = counted.map(index_of).collect();
        indices.sort_unstable();
        let quorum = if lost_voter.is_some() { self.voters.len() / 2 } else { self.quorum() };
        indices.len().checked_sub(quorum).map(|position| indices[position])
    }

    /// The largest index that at least `copies` of the voters have reached, or all of them if there
    /// are fewer. Voters for which `is_lost` holds cannot reach any index and are not counted.
    pub fn copies_index(
        &self,
        copies: usize,
        is_lost: impl Fn(&ReplicaId) -> bool,
        index_of: impl Fn(&ReplicaId) -> u64,
    ) -> Option<u64> {
        let counted = self.voters.iter().filter(|id| !is_lost(id));
        let mut indices: Vec<u64> = counted.map(index_of).collect();
        indices.sort_unstable();
        let copies = copies.min(indices.len());
        indices.len().checked_sub(copies).and_then(|position| indices.get(position)).copied()
    }

    /// Whether a decision also needs a quorum of the `previous` configuration as long as this one is
    /// not known to be committed.
    ///
    /// Majorities of two configurations that differ by one voter meet; with more differences, or where
    /// half of the voters may decide, they might not. See `docs/design.md`, section 5.2.1.
    pub fn needs_previous(&self, previous: &Self, lost_voter: Option<&ReplicaId>) -> bool {
        let differences = self.voters.symmetric_difference(&previous.voters).count();
        differences > 1 || self.counted_loss(lost_voter).is_some() || previous.may_decide_by_half()
    }

    /// Whether half of the voters may decide without a lost one.
    pub fn may_decide_by_half(&self) -> bool {
        self.voters.len() >= MIN_VOTERS_FOR_HALF && self.voters.len().is_multiple_of(2)
    }

    /// The lost voter, if it makes a quorum smaller.
    pub fn counted_loss<'a>(&self, lost_voter: Option<&'a ReplicaId>) -> Option<&'a ReplicaId> {
        lost_voter.filter(|id| self.may_decide_by_half() && self.voters.contains(*id))
    }
}
