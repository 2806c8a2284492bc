//! Log replication and commitment (sections 3.5, 3.6 and 10.2.1 of Ongaro's dissertation; see the
//! crate documentation).

use crate::protocol::EntryPayload;
use crate::protocol::LogEntry;
use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::leader_state::FollowerProgress;
use crate::raft::leader_state::ReplicationMode;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::ReplicaAction;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::raft::RequestRefusal;
use crate::raft::StopReason;

impl Replica {
    pub(super) fn propose(&mut self, request: RequestNumber, command: Vec<u8>) {
        if !matches!(self.role, RoleState::Leader(_)) {
            return self.reject_not_leader(request);
        }
        if command.len() > self.settings.max_command_bytes {
            return self.complete_request(
                request,
                RequestOutcome::Refused(RequestRefusal::CommandTooLong),
            );
        }
        self.append_request(request, EntryPayload::Command(command));
    }

    /// Appends an entry. Committing it completes the request.
    pub(super) fn append_request(&mut self, request: RequestNumber, payload: EntryPayload) {
        let index = self.log.last_index() + 1;
        self.append_entry(LogEntry { term: self.term, index, payload });
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.pending_requests.insert(index, request);
        }
    }

    pub(super) fn send_heartbeats_if_due(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        if self.now_ms >= leader_state.last_heartbeat_ms + self.settings.heartbeat_interval_ms {
            self.send_heartbeats();
        }
    }

    /// Sends a message to every member, with or without entries; it also retransmits lost entries.
    pub(super) fn send_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        leader_state.last_heartbeat_ms = now_ms;
        for progress in leader_state.progress.values_mut() {
            if let ReplicationMode::Probe { is_in_flight } = &mut progress.mode {
                *is_in_flight = false;
            }
        }
        let peers: Vec<ReplicaId> = leader_state.progress.keys().cloned().collect();
        for peer in peers {
            self.send_entries(&peer, true);
        }
    }

    /// Sends entries to the followers that lack some and are below the limit of entries in flight.
    pub(super) fn replicate_entries(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        let peers: Vec<ReplicaId> = leader_state.progress.keys().cloned().collect();
        for peer in peers {
            self.send_entries(&peer, false);
        }
    }

    /// Sends one message to a member. Without entries, only a heartbeat is sent.
    fn send_entries(&mut self, peer: &ReplicaId, is_heartbeat: bool) {
        let (last_index, base_index) = (self.log.last_index(), self.log.base_index());
        let max_in_flight_entries = self.settings.max_in_flight_entries;
        let is_responsive = self.is_responsive(peer);
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let round = leader_state.heartbeat_round;
        let Some(progress) = leader_state.progress.get_mut(peer) else { return };
        if progress.next_index <= base_index
            && !matches!(progress.mode, ReplicationMode::Snapshot { .. })
        {
            return self.start_snapshot_transfer(peer);
        }
        // A member that does not respond only gets heartbeats, to save bandwidth while it is down.
        let may_send_entries = match progress.mode {
            ReplicationMode::Probe { is_in_flight } => is_responsive && !is_in_flight,
            ReplicationMode::Pipeline => {
                is_responsive && progress.next_index <= progress.match_index + max_in_flight_entries
            }
            ReplicationMode::Snapshot { .. } => {
                if is_heartbeat {
                    self.send_bare_heartbeat(peer, round);
                    self.resend_overdue_chunk(peer);
                }
                return;
            }
        };
        if !is_heartbeat && (!may_send_entries || progress.next_index > last_index) {
            return;
        }
        let next_index = progress.next_index;
        let entries = match may_send_entries {
            true => self.log.batch(next_index, self.settings.max_batch_bytes),
            false => Vec::new(),
        };
        match &mut progress.mode {
            ReplicationMode::Probe { is_in_flight } => *is_in_flight = true,
            _ => progress.next_index += entries.len() as u64,
        }
        let prev_index = next_index - 1;
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit_index = self.commit_index;
        let body = MessageBody::Append { prev_index, prev_term, entries, commit_index, round };
        self.send_now(peer.clone(), self.term, body);
    }

    /// Sends a heartbeat that matches any log to a member that is receiving a snapshot.
    fn send_bare_heartbeat(&mut self, peer: &ReplicaId, round: u64) {
        let body = MessageBody::Append {
            prev_index: 0,
            prev_term: 0,
            entries: Vec::new(),
            commit_index: 0,
            round,
        };
        self.send_now(peer.clone(), self.term, body);
    }

    /// Whether to process a message from a leader. If so, this replica becomes its follower.
    pub(super) fn accept_leader(&mut self, from: &ReplicaId, term: u64) -> bool {
        if term < self.term {
            // The reply informs an outdated leader of the newer term.
            let body = MessageBody::AppendReply {
                is_accepted: false,
                prev_index: 0,
                match_index: 0,
                round: 0,
                is_leaving: self.is_leaving,
            };
            self.send_after_storage(from.clone(), self.term, body);
            return false;
        }
        if term == self.term && matches!(self.role, RoleState::Leader(_)) {
            return false;
        }
        if term > self.term || self.leader.as_ref() != Some(from) {
            self.become_follower(term, Some(from.clone()));
        }
        self.role = RoleState::Follower;
        self.last_leader_contact_ms = self.now_ms;
        self.reset_election_timer();
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<LogEntry>,
        commit_index: u64,
        round: u64,
    ) {
        let base_index = self.log.base_index();
        let is_match = prev_index < base_index || self.log.term(prev_index) == Some(prev_term);
        if !is_match {
            let last_possible_match = if prev_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.log.first_index_of_term(prev_index) - 1
            };
            let match_index = last_possible_match.min(prev_index - 1);
            let body = MessageBody::AppendReply {
                is_accepted: false,
                prev_index,
                match_index,
                round,
                is_leaving: self.is_leaving,
            };
            return self.send_after_storage(from, self.term, body);
        }
        let match_index = prev_index + entries.len() as u64;
        for entry in entries.into_iter().filter(|e| e.index > base_index) {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit_index => {
                    return self.stop(StopReason::CommittedConflict);
                }
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
        self.commit_index = self.commit_index.max(commit_index.min(match_index));
        let is_leaving = self.is_leaving;
        let body = MessageBody::AppendReply {
            is_accepted: true,
            prev_index,
            match_index,
            round,
            is_leaving,
        };
        self.send_after_storage(from, self.term, body);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        is_accepted: bool,
        prev_index: u64,
        match_index: u64,
        round: u64,
    ) {
        let now_ms = self.now_ms;
        let last_index = self.log.last_index();
        let member = self.counted_id(from);
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.progress.get_mut(&member) else { return };
        progress.last_response_ms = now_ms;
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        if is_accepted {
            progress.on_accepted(match_index.min(last_index));
        } else {
            progress.on_rejected(prev_index, match_index);
        }
    }

    /// Commits the entries that a quorum has stored. Entries of earlier terms are not committed
    /// by counting replicas, only together with an entry of the leader's term (section 3.6.2 of the
    /// dissertation).
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        let stored_index = self.outbox.stored_index();
        let own_id = self.own_member_id();
        let match_index_of = |id: &ReplicaId| match leader_state.progress.get(id) {
            Some(progress) => progress.match_index,
            None if *id == own_id => stored_index,
            None => 0,
        };
        let lost_voter = leader_state.lost_voter.as_ref();
        let configurations = self.quorum_configurations(lost_voter);
        let quorum_indices = configurations
            .iter()
            .map(|configuration| configuration.quorum_index(lost_voter, match_index_of));
        let Some(Some(majority_index)) = quorum_indices.min() else { return };
        let majority_index =
            self.limit_by_copies(majority_index, match_index_of).min(self.log.last_index());
        let is_own_term = self.log.term(majority_index) == Some(self.term);
        if majority_index > self.commit_index
            && (is_own_term || self.settings.injected_faults.commit_entries_of_earlier_terms)
        {
            self.commit_index = majority_index;
        }
    }

    /// The largest index up to `majority_index` that enough voters have stored for the losses that
    /// the deployment tolerates, see [`crate::raft::RaftSettings::min_copies`].
    ///
    /// A membership change needs a majority only: it is how a log with too few voters gets more.
    fn limit_by_copies(
        &self,
        majority_index: u64,
        match_index_of: impl Fn(&ReplicaId) -> u64,
    ) -> u64 {
        if self.leader_lost_voter().is_some() {
            return majority_index;
        }
        let is_lost = |id: &ReplicaId| self.lost_members.contains(id);
        let copies = self.settings.min_copies;
        let copies_index = self.configuration.copies_index(copies, is_lost, match_index_of);
        let is_change_stored = self.configuration_index <= majority_index;
        let change_index = if is_change_stored { self.configuration_index } else { 0 };
        copies_index.map_or(majority_index, |index| index.max(change_index).min(majority_index))
    }

    /// Passes committed commands to the state machine and completes committed membership changes.
    ///
    /// A leader announces a committed membership change at once: until the members know of it, an
    /// election may need former voters, which may be gone (see `docs/design.md`, section 5.2.1).
    pub(super) fn apply_committed(&mut self) {
        let mut is_change_committed = false;
        while self.applied_index < self.commit_index {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.entry(index) else { return };
            let payload = entry.payload.clone();
            is_change_committed |= matches!(payload, EntryPayload::Members(_));
            self.applied_bytes += entry.size_bytes();
            self.applied_index = index;
            let request = match &mut self.role {
                RoleState::Leader(leader_state) => leader_state.pending_requests.remove(&index),
                _ => None,
            };
            match (payload, request) {
                (EntryPayload::Command(command), request) => {
                    self.actions.push(ReplicaAction::Apply { index, command, request });
                }
                (EntryPayload::Members(_), Some(request)) => {
                    self.complete_request(request, RequestOutcome::MembersChanged);
                }
                _ => {}
            }
        }
        if is_change_committed {
            self.send_heartbeats();
        }
    }
}

impl FollowerProgress {
    fn on_accepted(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match self.mode {
            ReplicationMode::Snapshot { index, .. } if self.match_index < index => {}
            // An accepted heartbeat without entries does not show how far the logs match.
            ReplicationMode::Probe { .. } if self.match_index + 1 < self.next_index => {
                self.mode = ReplicationMode::Probe { is_in_flight: false };
            }
            _ => self.mode = ReplicationMode::Pipeline,
        }
    }

    fn on_rejected(&mut self, prev_index: u64, last_possible_match: u64) {
        let is_stale = prev_index <= self.match_index;
        let is_other_probe =
            matches!(self.mode, ReplicationMode::Probe { .. }) && prev_index + 1 != self.next_index;
        if is_stale || is_other_probe || matches!(self.mode, ReplicationMode::Snapshot { .. }) {
            return;
        }
        self.next_index = last_possible_match.min(prev_index - 1).max(self.match_index) + 1;
        self.mode = ReplicationMode::Probe { is_in_flight: false };
    }
}
