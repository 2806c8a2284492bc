//! Linearizable reads, confirmed by a heartbeat round to a majority (section 6.4 of Ongaro's
//! dissertation; see the crate documentation).

use crate::protocol::ReplicaId;
use crate::raft::leader_state::PendingRead;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;

impl Replica {
    /// Starts a heartbeat round. The read is ready once a majority has acknowledged the round.
    pub(super) fn read(&mut self, request: RequestNumber) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return self.reject_not_leader(request);
        };
        leader_state.heartbeat_round += 1;
        let round = leader_state.heartbeat_round;
        leader_state.pending_reads.push(PendingRead { request, round });
        self.send_heartbeats();
    }

    /// Completes the reads whose heartbeat round a majority has acknowledged.
    ///
    /// All entries known to be committed are applied at this point, which includes everything that
    /// was committed when the read arrived. A new leader waits until an entry of its own term is
    /// committed, because its commit index may be behind until then.
    pub(super) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        if leader_state.pending_reads.is_empty() || self.commit_index < leader_state.first_own_index
        {
            return;
        }
        let is_confirmation_skipped = self.settings.injected_faults.skip_read_confirmation;
        let own_id = self.own_member_id();
        let has_acknowledged = |id: &ReplicaId, round: u64| match leader_state.progress.get(id) {
            Some(progress) => progress.acknowledged_round >= round,
            None => *id == own_id,
        };
        let is_confirmed = |read: &PendingRead| {
            is_confirmation_skipped
                || self.is_quorum(self.leader_lost_voter(), |id| has_acknowledged(id, read.round))
        };
        let count = leader_state.pending_reads.iter().take_while(|read| is_confirmed(read)).count();
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let confirmed: Vec<PendingRead> = leader_state.pending_reads.drain(..count).collect();
        let index = self.applied_index;
        for read in confirmed {
            self.complete_request(read.request, RequestOutcome::ReadReady { index });
        }
    }
}
