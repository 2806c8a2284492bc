//! Single-step membership changes with learners (sections 4.1 to 4.3).
//!
//! A change takes effect when it is appended, and the next one may start only after it is
//! committed, so any two successive configurations share a voter in every pair of majorities. A
//! leader must first commit an entry of its own term; otherwise two leaders could make changes
//! that are a step away from the same configuration but two steps away from each other.

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::ReplicaId;
use crate::raft::leadership::Progress;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::FollowerStatus;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::raft::RequestRefusal;

/// A change of one member. Repeating a change that has taken effect does nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Start to send the log to a replica.
    AddLearner(ReplicaId),
    /// Let a learner that has caught up vote.
    Promote(ReplicaId),
    /// Remove a voter or learner.
    Remove(ReplicaId),
}

impl Replica {
    pub(super) fn change_members(&mut self, request: RequestNumber, change: MemberChange) {
        let Role::Leader(leadership) = &self.role else {
            return self.reject_not_leader(request);
        };
        let is_new_leader = self.commit_index < leadership.first_index
            && !self.settings.injected_faults.early_membership_change;
        if is_new_leader || self.configuration_index > self.commit_index {
            return self.complete_request(request, RequestOutcome::Refused(RequestRefusal::Busy));
        }
        match self.configuration_after(&change) {
            Err(refusal) => self.complete_request(request, RequestOutcome::Refused(refusal)),
            Ok(next) if next == self.configuration => {
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
        let mut next = self.configuration.clone();
        match change {
            MemberChange::AddLearner(id) => {
                if !next.voters.contains(id) {
                    next.learners.insert(id.clone());
                }
                return Ok(next);
            }
            MemberChange::Promote(id) => {
                if next.voters.contains(id) {
                    return Ok(next);
                }
                if !next.learners.remove(id) {
                    return Err(RequestRefusal::NotLearner);
                }
                if next.voters.iter().any(|voter| voter.name == id.name) {
                    return Err(RequestRefusal::NameInUse);
                }
                if !self.is_caught_up(id) {
                    return Err(RequestRefusal::NotCaughtUp);
                }
                next.voters.insert(id.clone());
            }
            MemberChange::Remove(id) => {
                if !next.voters.remove(id) {
                    next.learners.remove(id);
                    return Ok(next);
                }
            }
        }
        if next.is_majority(|id| self.is_responsive(id)) {
            Ok(next)
        } else {
            Err(RequestRefusal::WouldLoseMajority)
        }
    }

    /// Whether a learner answers and has stored all that is committed (section 4.2.1).
    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let progress = leadership.progress.get(id);
        progress.is_some_and(|p| p.match_index >= self.commit_index) && self.is_responsive(id)
    }

    /// The other members, as far as a leader knows.
    pub(super) fn follower_statuses(&self) -> Vec<FollowerStatus> {
        let Role::Leader(leadership) = &self.role else { return Vec::new() };
        let status = |(id, progress): (&ReplicaId, &Progress)| FollowerStatus {
            id: id.clone(),
            match_index: progress.match_index,
            is_responsive: self.is_responsive(id),
            is_caught_up: self.is_caught_up(id),
        };
        leadership.progress.iter().map(status).collect()
    }

    /// Starts to track new members and stops to track removed ones.
    fn update_progress(&mut self) {
        let (now_ms, next_index) = (self.now_ms, self.log.last_index());
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.progress.retain(|id, _| self.configuration.has_member(id));
        for id in self.configuration.members().filter(|id| **id != self.id) {
            leadership
                .progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(next_index, now_ms));
        }
    }

    /// A leader that removed itself steps down once the change is committed (section 4.2.2).
    pub(super) fn leave_if_removed(&mut self) {
        let is_leader = matches!(self.role, Role::Leader(_));
        let is_committed = self.configuration_index <= self.commit_index;
        if is_leader && is_committed && !self.is_voter() {
            self.become_follower(self.term, None);
        }
    }
}
