//! Log replication and commitment (sections 3.5, 3.6 and 10.2.1).

use crate::protocol::EntryPayload;
use crate::protocol::LogEntry;
use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::leadership::Mode;
use crate::raft::leadership::Progress;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::ReplicaAction;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::raft::RequestRefusal;
use crate::raft::StopReason;

impl Replica {
    pub(super) fn propose(&mut self, request: RequestNumber, command: Vec<u8>) {
        if !matches!(self.role, Role::Leader(_)) {
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

    /// Appends an entry whose commitment answers a request.
    pub(super) fn append_request(&mut self, request: RequestNumber, payload: EntryPayload) {
        let index = self.log.last_index() + 1;
        self.append_entry(LogEntry { term: self.term, index, payload });
        if let Role::Leader(leadership) = &mut self.role {
            leadership.pending.insert(index, request);
        }
    }

    pub(super) fn heartbeat_if_due(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        if self.now_ms >= leadership.heartbeat_at_ms + self.settings.heartbeat_interval_ms {
            self.send_heartbeats();
        }
    }

    /// Sends to every member, whether or not there are entries; this also repeats what was lost.
    pub(super) fn send_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.heartbeat_at_ms = now_ms;
        for progress in leadership.progress.values_mut() {
            if let Mode::Probe { is_sent } = &mut progress.mode {
                *is_sent = false;
            }
        }
        let peers: Vec<ReplicaId> = leadership.progress.keys().cloned().collect();
        for peer in peers {
            self.send_entries(&peer, true);
        }
    }

    /// Sends entries to the followers that lack some and have room in their window.
    pub(super) fn stream_entries(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let peers: Vec<ReplicaId> = leadership.progress.keys().cloned().collect();
        for peer in peers {
            self.send_entries(&peer, false);
        }
    }

    /// Sends one message to a member: a heartbeat must leave, others only if there are entries.
    fn send_entries(&mut self, peer: &ReplicaId, is_heartbeat: bool) {
        let (last_index, base_index) = (self.log.last_index(), self.log.base_index());
        let window = self.settings.max_in_flight_entries;
        let is_responsive = self.is_responsive(peer);
        let Role::Leader(leadership) = &mut self.role else { return };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(peer) else { return };
        if progress.next_index <= base_index && !matches!(progress.mode, Mode::Snapshot { .. }) {
            return self.start_snapshot(peer);
        }
        // A member that does not answer only gets heartbeats, so that it costs little while it is
        // down.
        let is_open = match progress.mode {
            Mode::Probe { is_sent } => is_responsive && !is_sent,
            Mode::Stream => is_responsive && progress.next_index <= progress.match_index + window,
            Mode::Snapshot { .. } => {
                if is_heartbeat {
                    self.send_bare_heartbeat(peer, round);
                    self.repeat_chunk(peer);
                }
                return;
            }
        };
        if !is_heartbeat && (!is_open || progress.next_index > last_index) {
            return;
        }
        let next_index = progress.next_index;
        let entries = match is_open {
            true => self.log.batch(next_index, self.settings.max_batch_bytes),
            false => Vec::new(),
        };
        match &mut progress.mode {
            Mode::Probe { is_sent } => *is_sent = true,
            _ => progress.next_index += entries.len() as u64,
        }
        let prev_index = next_index - 1;
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit_index = self.commit_index;
        let body = MessageBody::Append { prev_index, prev_term, entries, commit_index, round };
        self.send_now(peer.clone(), self.term, body);
    }

    /// A heartbeat that matches any log, for a member that is being sent a snapshot.
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

    /// Whether a message of a leader is of the current term; follows that leader if so.
    pub(super) fn accept_leader(&mut self, from: &ReplicaId, term: u64) -> bool {
        if term < self.term {
            // The answer tells an outdated leader of the newer term.
            let body = MessageBody::AppendReply {
                is_accepted: false,
                prev_index: 0,
                match_index: 0,
                round: 0,
            };
            self.send_after_storage(from.clone(), self.term, body);
            return false;
        }
        if term == self.term && matches!(self.role, Role::Leader(_)) {
            return false;
        }
        if term > self.term || self.leader.as_ref() != Some(from) {
            self.become_follower(term, Some(from.clone()));
        }
        self.role = Role::Follower;
        self.leader_heard_ms = self.now_ms;
        self.draw_election_time();
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
            let last_possible = if prev_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.log.first_of_term(prev_index) - 1
            };
            let match_index = last_possible.min(prev_index - 1);
            let body =
                MessageBody::AppendReply { is_accepted: false, prev_index, match_index, round };
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
        let body = MessageBody::AppendReply { is_accepted: true, prev_index, match_index, round };
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
        let Some(member) = self.counted_as(from) else { return };
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&member) else { return };
        progress.heard_ms = now_ms;
        progress.round = progress.round.max(round);
        if is_accepted {
            progress.accept(match_index.min(last_index));
        } else {
            progress.reject(prev_index, match_index);
        }
    }

    /// Commits what a majority has stored. Entries of earlier terms are never committed by
    /// counting, only along with one of the leader's own term (section 3.6.2).
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let stored_index = self.outbox.stored_index();
        let match_of = |id: &ReplicaId| match leadership.progress.get(id) {
            Some(progress) => progress.match_index,
            None => stored_index,
        };
        let mut matches: Vec<u64> = self.configuration.voters.iter().map(match_of).collect();
        matches.sort_unstable();
        let Some(at) = matches.len().checked_sub(self.configuration.quorum()) else { return };
        let candidate = matches[at].min(self.log.last_index());
        let is_own_term = self.log.term(candidate) == Some(self.term);
        if candidate > self.commit_index
            && (is_own_term || self.settings.injected_faults.commit_entries_of_earlier_terms)
        {
            self.commit_index = candidate;
        }
    }

    /// Hands committed commands to the state machine and answers their requests.
    pub(super) fn apply(&mut self) {
        while self.applied_index < self.commit_index {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.entry(index) else { return };
            let payload = entry.payload.clone();
            self.applied_bytes += entry.size_bytes();
            self.applied_index = index;
            let request = match &mut self.role {
                Role::Leader(leadership) => leadership.pending.remove(&index),
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
    }
}

impl Progress {
    fn accept(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match self.mode {
            Mode::Snapshot { index, .. } if self.match_index < index => {}
            // An accepted bare heartbeat says nothing about where the logs match.
            Mode::Probe { .. } if self.match_index + 1 < self.next_index => {
                self.mode = Mode::Probe { is_sent: false };
            }
            _ => self.mode = Mode::Stream,
        }
    }

    fn reject(&mut self, prev_index: u64, last_possible: u64) {
        let is_stale = prev_index <= self.match_index;
        let is_other_probe =
            matches!(self.mode, Mode::Probe { .. }) && prev_index + 1 != self.next_index;
        if is_stale || is_other_probe || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next_index = last_possible.min(prev_index - 1).max(self.match_index) + 1;
        self.mode = Mode::Probe { is_sent: false };
    }
}
