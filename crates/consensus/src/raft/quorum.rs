//! Quorums for elections, commits and reads, and what is known about lost disks.
//!
//! An even number of voters, one of which has certainly lost its disk, may decide by half of them.
//! As long as a membership change to or from such a number, or one that exchanges a voter, is not
//! committed, a quorum needs the members before it as well. See `docs/design.md`, section 5.2.1.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::protocol::ClusterConfiguration;
use crate::protocol::CommittedConfiguration;
use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;

/// Voters that granted their votes, each with the lost members that it was told of before.
pub(super) type GrantedVotes = BTreeMap<ReplicaId, BTreeSet<ReplicaId>>;

impl Replica {
    /// The configurations in which a quorum is needed: the latest one and, until it is committed, the
    /// one before if [`ClusterConfiguration::needs_previous`] says so.
    pub(super) fn quorum_configurations(
        &self,
        lost_voter: Option<&ReplicaId>,
    ) -> Vec<ClusterConfiguration> {
        let mut configurations = vec![self.configuration.clone()];
        let previous = self.previous_configuration();
        configurations.extend(
            previous.filter(|previous| self.configuration.needs_previous(previous, lost_voter)),
        );
        configurations
    }

    /// The configuration before the latest one, if that is not known to be committed.
    pub(super) fn previous_configuration(&self) -> Option<ClusterConfiguration> {
        let is_skipped = self.settings.injected_faults.skip_previous_majority;
        if self.configuration_index <= self.commit_index || is_skipped {
            return None;
        }
        let (previous, _) = self.log.configuration_at(self.configuration_index - 1);
        // The first configuration of a log has none before it.
        (!previous.voters.is_empty()).then_some(previous)
    }

    /// Whether the voters for which `is_counted` holds are a quorum, by half of an even number if
    /// `lost_voter` is one of them.
    pub(super) fn is_quorum(
        &self,
        lost_voter: Option<&ReplicaId>,
        is_counted: impl Fn(&ReplicaId) -> bool,
    ) -> bool {
        self.quorum_configurations(lost_voter)
            .iter()
            .all(|configuration| configuration.is_quorum(lost_voter, &is_counted))
    }

    /// The members, and those before an uncommitted change: a removed voter is needed for the
    /// majority that commits its removal.
    pub(super) fn tracked_members(&self) -> Vec<ReplicaId> {
        let mut configurations = vec![self.configuration.clone()];
        configurations.extend(self.previous_configuration());
        let mut members: Vec<ReplicaId> =
            configurations.iter().flat_map(ClusterConfiguration::members).cloned().collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Lost voter without which this leader was elected by half of an even number of voters.
    pub(super) fn leader_lost_voter(&self) -> Option<&ReplicaId> {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.lost_voter.as_ref(),
            _ => None,
        }
    }

    /// Tells the sender of a message to an earlier disk of this host that the disk is lost.
    ///
    /// This is certain, because a new id is drawn only for an empty data directory.
    pub(super) fn report_lost_disk(&mut self, to: ReplicaId, lost: ReplicaId) {
        self.send_now(to, self.term, MessageBody::LossReport { lost });
    }

    /// Records that a member has lost its disk.
    pub(super) fn on_loss_report(&mut self, from: &ReplicaId, lost: ReplicaId) {
        let is_successor = from.name == lost.name && from.disk != lost.disk;
        if is_successor && self.tracked_members().contains(&lost) {
            self.lost_members.insert(lost);
        }
    }

    /// Takes over the losses that another voter knows of: the host that reported them may be gone.
    pub(super) fn learn_losses(&mut self, lost: &BTreeSet<ReplicaId>) {
        let members = self.tracked_members();
        self.lost_members.extend(lost.iter().filter(|id| members.contains(id)).cloned());
    }

    /// Forgets the losses of replicas that are no members any more.
    pub(super) fn prune_lost_members(&mut self) {
        if self.lost_members.is_empty() {
            return;
        }
        let members = self.tracked_members();
        self.lost_members.retain(|id| members.contains(id));
    }

    /// The member with this id, if any. With the injected fault `ignore_disk_ids`, a member with
    /// the same name suffices.
    pub(super) fn matching_member(&self, id: &ReplicaId) -> Option<ReplicaId> {
        if self.configuration.has_member(id) {
            return Some(id.clone());
        }
        if self.settings.injected_faults.ignore_disk_ids {
            return self.configuration.members().find(|member| member.name == id.name).cloned();
        }
        None
    }

    /// The identity under which the votes and acknowledgements of a replica count. Those of one that
    /// is no voter are not counted, see [`ClusterConfiguration::is_quorum`].
    pub(super) fn counted_id(&self, id: &ReplicaId) -> ReplicaId {
        self.matching_member(id).unwrap_or_else(|| id.clone())
    }

    /// The latest configuration, if this replica knows that it is committed.
    pub(super) fn known_committed_configuration(&self) -> CommittedConfiguration {
        let index = self.configuration_index;
        match self.log.term(index) {
            Some(term) if index <= self.commit_index => CommittedConfiguration { index, term },
            _ => CommittedConfiguration::default(),
        }
    }

    /// Takes over that a configuration is committed from a replica that may not vote any more. It may
    /// refuse its vote, because it has further entries of its own, while the others would need the
    /// vote under the members before.
    pub(super) fn learn_committed_configuration(&mut self, committed: CommittedConfiguration) {
        let CommittedConfiguration { index, term } = committed;
        let is_asking = matches!(self.role, RoleState::PreCandidate { .. });
        if is_asking && index > self.commit_index && self.log.term(index) == Some(term) {
            self.commit_index = index;
        }
    }

    /// Requests storage of the fact that the configuration is committed.
    pub(super) fn store_committed_configuration(&mut self) {
        let index = self.configuration_index;
        if index > self.committed_configuration_index && index <= self.commit_index {
            self.committed_configuration_index = index;
            self.unsaved.is_hard_state_changed = true;
            self.persist();
        }
    }
}
