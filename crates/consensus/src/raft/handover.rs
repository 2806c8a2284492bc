//! Hand-over of the lead before a host stops (section 3.10 of Ongaro's dissertation; see the crate
//! documentation).

use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;

impl Replica {
    /// Tells the voter with the longest log to stand for election at once. The leader stays leader
    /// until it hears of the new term, and for good if that voter fails.
    pub(super) fn transfer_lead(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        let candidates = leader_state.progress.iter().filter(|(id, progress)| {
            self.configuration.voters.contains(*id)
                && progress.match_index >= self.commit_index
                && !progress.is_leaving
                && self.is_responsive(id)
        });
        let Some((successor, _)) = candidates.max_by_key(|(_, progress)| progress.match_index)
        else {
            return;
        };
        self.send_now(successor.clone(), self.term, MessageBody::TimeoutNow);
    }

    /// Stands for election, if the leader of the current term asks for it.
    pub(super) fn on_timeout_now(&mut self, from: &ReplicaId, term: u64) {
        let is_from_leader = term == self.term && self.leader.as_ref() == Some(from);
        if is_from_leader && self.may_campaign() {
            self.start_election(true);
        }
    }

    /// Records whether the host of a follower is about to stop.
    pub(super) fn record_leaving(&mut self, from: &ReplicaId, is_leaving: bool) {
        let member = self.counted_id(from);
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        if let Some(progress) = leader_state.progress.get_mut(&member) {
            progress.is_leaving = is_leaving;
        }
    }
}
