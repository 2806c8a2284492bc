//! Reads confirmed by a majority round (section 6.4).

use crate::protocol::ReplicaId;
use crate::raft::leadership::PendingRead;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;

impl Replica {
    /// Starts a round of heartbeats; the read is ready when a majority has answered it.
    pub(super) fn read(&mut self, request: RequestNumber) {
        let Role::Leader(leadership) = &mut self.role else {
            return self.reject_not_leader(request);
        };
        leadership.round += 1;
        let round = leadership.round;
        leadership.reads.push(PendingRead { request, round });
        self.send_heartbeats();
    }

    /// Answers the reads whose round a majority has answered.
    ///
    /// All entries known to be committed are applied by now, and that is at least what was
    /// committed when the read came in. A new leader waits until an entry of its own term is
    /// committed, because until then its commit index may be behind.
    pub(super) fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        if leadership.reads.is_empty() || self.commit_index < leadership.first_index {
            return;
        }
        let is_round_skipped = self.settings.injected_faults.skip_read_confirmation;
        let has_answered = |id: &ReplicaId, round: u64| {
            leadership.progress.get(id).is_none_or(|p| p.round >= round)
        };
        let is_confirmed = |read: &PendingRead| {
            is_round_skipped || self.configuration.is_majority(|id| has_answered(id, read.round))
        };
        let count = leadership.reads.iter().take_while(|read| is_confirmed(read)).count();
        let Role::Leader(leadership) = &mut self.role else { return };
        let confirmed: Vec<PendingRead> = leadership.reads.drain(..count).collect();
        let index = self.applied_index;
        for read in confirmed {
            self.complete_request(read.request, RequestOutcome::ReadReady { index });
        }
    }
}
