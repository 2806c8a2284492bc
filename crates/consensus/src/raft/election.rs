//! Elections with pre-vote and check-quorum (sections 3.4, 4.2.3, 6.2 and 9.6 of Ongaro's
//! dissertation; see the crate documentation).

use std::collections::BTreeSet;

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::LogEntry;
use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::leader_state::FollowerProgress;
use crate::raft::leader_state::LeaderState;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::RequestOutcome;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.role, RoleState::Leader(_)) {
            self.check_quorum();
            self.send_heartbeats_if_due();
        } else if self.now_ms >= self.election_due_ms {
            self.reset_election_timer();
            if self.may_campaign() {
                self.start_pre_vote();
            }
        }
    }

    /// Starts a new log, if this replica has no state and is one of the voters.
    ///
    /// Bootstrapping one of the initial voters suffices. Different lists on two replicas would
    /// start two different logs.
    pub(super) fn bootstrap(&mut self, voters: Vec<ReplicaId>) {
        let is_new = self.log.is_empty() && self.term == 0 && self.log_id == 0;
        if !is_new || !voters.contains(&self.id) {
            return;
        }
        let members = ClusterConfiguration::from_voters(voters);
        self.log_id = members.log_id();
        let payload = EntryPayload::Members(members);
        self.set_term(1, None);
        self.append_entry(LogEntry { term: 1, index: 1, payload });
        self.election_due_ms = self.now_ms;
    }

    /// Whether this replica may stand for election.
    ///
    /// A voter whose removal is not committed may do so without counting its own vote (section
    /// 4.2.2 of the dissertation), because its log may be the only one that is up to date enough to
    /// win.
    fn may_campaign(&self) -> bool {
        let has_uncommitted_change = self.configuration_index > self.commit_index;
        let before = self.configuration_index.saturating_sub(1);
        self.is_voter()
            || (has_uncommitted_change
                && self.log.configuration_at(before).0.voters.contains(&self.id))
    }

    /// Requests pre-votes, so that a replica that cannot win does not increase the term.
    fn start_pre_vote(&mut self) {
        self.leader = None;
        if self.settings.injected_faults.skip_pre_vote {
            return self.start_election();
        }
        self.role = RoleState::PreCandidate { granted_by: BTreeSet::from([self.own_member_id()]) };
        if self.has_vote_majority() {
            return self.start_election();
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send_now(voter, self.term + 1, MessageBody::PreVote { last_index, last_term });
        }
    }

    /// Starts a term and requests votes. This replica's vote counts once it is stored.
    fn start_election(&mut self) {
        self.set_term(self.term + 1, Some(self.id.clone()));
        // `persist` issues this number at the end of the step.
        let vote_sequence = self.outbox.last_issued() + 1;
        self.role = RoleState::Candidate { granted_by: BTreeSet::new(), vote_sequence };
        self.reset_election_timer();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send_after_storage(voter, self.term, MessageBody::Vote { last_index, last_term });
        }
    }

    /// Identity under which this replica is listed in the configuration.
    fn own_member_id(&self) -> ReplicaId {
        self.matching_member(&self.id).unwrap_or_else(|| self.id.clone())
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let own_id = self.own_member_id();
        self.configuration.voters.iter().filter(|id| **id != own_id).cloned().collect()
    }

    /// Whether the votes received so far are a majority.
    fn has_vote_majority(&self) -> bool {
        match &self.role {
            RoleState::PreCandidate { granted_by } | RoleState::Candidate { granted_by, .. } => {
                self.configuration.is_majority(|id| granted_by.contains(id))
            }
            _ => false,
        }
    }

    /// Counts this replica's vote once it is stored, and becomes leader with a majority.
    pub(super) fn count_own_vote(&mut self) {
        let own_id = self.own_member_id();
        let RoleState::Candidate { granted_by, vote_sequence } = &mut self.role else { return };
        if self.outbox.is_stored(*vote_sequence) {
            granted_by.insert(own_id);
            if self.has_vote_majority() {
                self.become_leader();
            }
        }
    }

    /// Whether a leader was in contact within the election timeout. If so, the replica grants no
    /// votes to candidates of a new term (section 4.2.3 of the dissertation).
    fn has_recent_leader(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => {
                self.leader.is_some()
                    && self.now_ms < self.last_leader_contact_ms + self.settings.election_timeout_ms
            }
        }
    }

    /// Whether a candidate's log is at least as up to date as this replica's log (section 3.6.1 of
    /// the dissertation).
    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let is_granted = term > self.term
            && !self.has_recent_leader()
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if is_granted { term } else { self.term };
        self.send_after_storage(from, reply_term, MessageBody::PreVoteReply { is_granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: &ReplicaId, term: u64, is_granted: bool) {
        if !is_granted {
            if term > self.term {
                self.become_follower(term, None);
            }
            return;
        }
        let Some(voter) = self.matching_member(from) else { return };
        if term != self.term + 1 {
            return;
        }
        if let RoleState::PreCandidate { granted_by } = &mut self.role {
            granted_by.insert(voter);
            if self.has_vote_majority() {
                self.start_election();
            }
        }
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, term: u64, last_index: u64, last_term: u64) {
        // A removed or isolated replica must not depose a leader that a majority follows.
        let follows_leader =
            self.has_recent_leader() && !self.settings.injected_faults.skip_pre_vote;
        if follows_leader && term > self.term {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let may_vote_for_candidate = self.voted_for.as_ref().is_none_or(|v| *v == from);
        let is_granted = term == self.term
            && may_vote_for_candidate
            && self.is_up_to_date(last_index, last_term);
        if is_granted {
            if self.voted_for.is_none() {
                self.set_term(term, Some(from.clone()));
            }
            self.reset_election_timer();
        }
        self.send_after_storage(from, self.term, MessageBody::VoteReply { is_granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: &ReplicaId, is_granted: bool) {
        let Some(voter) = self.matching_member(from) else { return };
        if let RoleState::Candidate { granted_by, .. } = &mut self.role {
            if is_granted {
                granted_by.insert(voter);
            }
            if self.has_vote_majority() {
                self.become_leader();
            }
        }
    }

    /// Becomes a follower of `leader` in `term`; `None` if the leader is not known yet.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        self.fail_pending_requests();
        if term > self.term {
            self.set_term(term, None);
            self.incoming_snapshot = None;
        }
        self.role = RoleState::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Fails all pending requests, because this replica can no longer determine their outcome.
    pub(super) fn fail_pending_requests(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let pending = std::mem::take(&mut leader_state.pending_requests);
        let reads = std::mem::take(&mut leader_state.pending_reads);
        for request in pending.into_values() {
            self.complete_request(request, RequestOutcome::Unknown);
        }
        for read in reads {
            self.complete_request(read.request, RequestOutcome::NotLeader { leader: None });
        }
    }

    fn become_leader(&mut self) {
        let index = self.log.last_index() + 1;
        let own_id = self.own_member_id();
        let others = self.configuration.members().filter(|id| **id != own_id).cloned();
        let progress = others.map(|id| (id, FollowerProgress::new(index, self.now_ms))).collect();
        let leader_state = LeaderState {
            progress,
            elected_at_ms: self.now_ms,
            first_own_index: index,
            ..LeaderState::default()
        };
        self.role = RoleState::Leader(Box::new(leader_state));
        self.leader = Some(self.id.clone());
        // Entries of earlier terms are committed together with this one (section 3.6.2 of the
        // dissertation).
        self.append_entry(LogEntry { term: self.term, index, payload: EntryPayload::Empty });
        self.send_heartbeats();
    }

    /// A leader steps down if no majority responded within an election timeout, so that its callers
    /// get an error instead of waiting (section 6.2 of the dissertation).
    fn check_quorum(&mut self) {
        if self.settings.injected_faults.skip_check_quorum {
            return;
        }
        let RoleState::Leader(leader_state) = &self.role else { return };
        let is_check_due =
            self.now_ms >= leader_state.elected_at_ms + self.settings.election_timeout_ms;
        if is_check_due && !self.configuration.is_majority(|id| self.is_responsive(id)) {
            self.become_follower(self.term, None);
        }
    }

    /// Whether a member responded within the election timeout.
    pub(super) fn is_responsive(&self, id: &ReplicaId) -> bool {
        let RoleState::Leader(leader_state) = &self.role else { return false };
        if *id == self.own_member_id() {
            return true;
        }
        let progress = leader_state.progress.get(id);
        progress
            .is_some_and(|p| self.now_ms < p.last_response_ms + self.settings.election_timeout_ms)
    }
}
