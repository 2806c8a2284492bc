//! Membership changes with learners (sections 4.1 to 4.3 of Ongaro's dissertation; see the crate
//! documentation).
//!
//! A change takes effect when it is appended, and the next one may start only after it is
//! committed. Until then, quorums may need the members before the change as well: two voters may be
//! exchanged at once, and half of an even number of voters may suffice after a loss (see
//! `docs/design.md`, section 5.2.1).
//! A leader must first commit an entry of its own term; otherwise two leaders could each change one
//! member of the same configuration, and the two results would differ in two members.

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::ReplicaId;
use crate::raft::leader_state::FollowerProgress;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::FollowerStatus;
use crate::raft::MemberChange;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::raft::RequestRefusal;

impl Replica {
    pub(super) fn change_members(&mut self, request: RequestNumber, change: MemberChange) {
        let RoleState::Leader(leader_state) = &self.role else {
            return self.reject_not_leader(request);
        };
        let is_new_leader = self.commit_index < leader_state.first_own_index
            && !self.settings.injected_faults.early_membership_change;
        if is_new_leader || self.configuration_index > self.commit_index {
            return self.complete_request(request, RequestOutcome::Refused(RequestRefusal::Busy));
        }
        match self.configuration_after(&change) {
            Err(refusal) => self.complete_request(request, RequestOutcome::Refused(refusal)),
            Ok(next) if next.has_same_members(&self.configuration) => {
                self.complete_request(request, RequestOutcome::MembersChanged)
            }
            Ok(next) => {
                self.append_request(request, EntryPayload::Members(next));
                self.update_progress();
            }
        }
    }

    fn configuration_after(
        &self,
        change: &MemberChange,
    ) -> Result<ClusterConfiguration, RequestRefusal> {
        let index = self.log.last_index() + 1;
        let next = change.apply_to(&self.configuration, &self.lost_members, index)?;
        if next.voters == self.configuration.voters {
            return Ok(next);
        }
        if next.voters.difference(&self.configuration.voters).any(|id| !self.is_caught_up(id)) {
            return Err(RequestRefusal::NotCaughtUp);
        }
        let lost_voter = self.leader_lost_voter();
        let is_previous_needed = next.needs_previous(&self.configuration, lost_voter);
        let responds = |configuration: &ClusterConfiguration| {
            configuration.is_quorum(lost_voter, |id| self.is_responsive(id))
        };
        if responds(&next) && (!is_previous_needed || responds(&self.configuration)) {
            Ok(next)
        } else {
            Err(RequestRefusal::WouldLoseMajority)
        }
    }

    /// Whether a learner responds and has stored all committed entries (section 4.2.1 of the
    /// dissertation).
    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let RoleState::Leader(leader_state) = &self.role else { return false };
        let progress = leader_state.progress.get(id);
        progress.is_some_and(|p| p.match_index >= self.commit_index) && self.is_responsive(id)
    }

    /// Status of the other members; empty unless this replica is the leader.
    pub(super) fn follower_statuses(&self) -> Vec<FollowerStatus> {
        let RoleState::Leader(leader_state) = &self.role else { return Vec::new() };
        let status = |(id, progress): (&ReplicaId, &FollowerProgress)| FollowerStatus {
            id: id.clone(),
            match_index: progress.match_index,
            is_responsive: self.is_responsive(id),
            is_caught_up: self.is_caught_up(id),
            is_leaving: progress.is_leaving,
        };
        leader_state.progress.iter().map(status).collect()
    }

    /// Starts tracking new members.
    fn update_progress(&mut self) {
        let (now_ms, next_index) = (self.now_ms, self.log.last_index());
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        for id in self.configuration.members().filter(|id| **id != self.id) {
            leader_state
                .progress
                .entry(id.clone())
                .or_insert_with(|| FollowerProgress::new(next_index, now_ms));
        }
    }

    /// Stops tracking members once their removal is committed.
    pub(super) fn prune_members(&mut self) {
        self.prune_lost_members();
        let RoleState::Leader(leader_state) = &self.role else { return };
        let is_committed = self.configuration_index <= self.commit_index;
        let is_member = |id: &ReplicaId| self.configuration.has_member(id);
        if !is_committed || leader_state.progress.keys().all(is_member) {
            return;
        }
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        leader_state.progress.retain(|id, _| self.configuration.has_member(id));
    }

    /// A leader that gave its vote away hands over and steps down once the change is committed
    /// (section 4.2.2 of the dissertation).
    pub(super) fn step_down_if_removed(&mut self) {
        let is_leader = matches!(self.role, RoleState::Leader(_));
        let is_committed = self.configuration_index <= self.commit_index;
        if is_leader && is_committed && !self.is_voter() {
            self.transfer_lead();
            self.become_follower(self.term, None);
        }
    }
}
