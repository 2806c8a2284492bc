//! Elections with pre-vote and check-quorum (sections 3.4, 4.2.3, 6.2 and 9.6).

use std::collections::BTreeSet;

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::LogEntry;
use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::raft::leadership::Leadership;
use crate::raft::leadership::Progress;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::RequestOutcome;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.check_quorum();
            self.heartbeat_if_due();
        } else if self.now_ms >= self.election_at_ms {
            self.draw_election_time();
            if self.may_stand() {
                self.campaign();
            }
        }
    }

    /// Starts a new log (only once, on a replica without state).
    ///
    /// Listing all initial voters on one of them suffices. Different lists on two replicas would
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
        self.election_at_ms = self.now_ms;
    }

    /// Whether this replica may stand for election.
    ///
    /// A voter whose removal is not committed still may, without counting its own vote (section
    /// 4.2.2): its log may be the only one that is complete enough to win.
    fn may_stand(&self) -> bool {
        let is_removal_open = self.configuration_index > self.commit_index;
        let before = self.configuration_index.saturating_sub(1);
        self.is_voter()
            || (is_removal_open && self.log.configuration_at(before).0.voters.contains(&self.id))
    }

    /// Asks for pre-votes, so that a replica that cannot win does not raise the term.
    fn campaign(&mut self) {
        self.leader = None;
        if self.settings.injected_faults.skip_pre_vote {
            return self.stand();
        }
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.own_voter_id()]) };
        if self.has_won() {
            return self.stand();
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send_now(voter, self.term + 1, MessageBody::PreVote { last_index, last_term });
        }
    }

    /// Starts a term and asks for votes. The own vote counts once it is stored.
    fn stand(&mut self) {
        self.set_term(self.term + 1, Some(self.id.clone()));
        let vote_sequence = self.outbox.issued() + 1;
        self.role = Role::Candidate { granted: BTreeSet::new(), vote_sequence };
        self.draw_election_time();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            self.send_after_storage(voter, self.term, MessageBody::Vote { last_index, last_term });
        }
    }

    /// Identity under which the own vote counts.
    fn own_voter_id(&self) -> ReplicaId {
        self.counted_as(&self.id).unwrap_or_else(|| self.id.clone())
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.own_voter_id();
        self.configuration.voters.iter().filter(|id| **id != own).cloned().collect()
    }

    /// Whether the votes so far are a majority.
    fn has_won(&self) -> bool {
        match &self.role {
            Role::PreCandidate { granted } | Role::Candidate { granted, .. } => {
                self.configuration.is_majority(|id| granted.contains(id))
            }
            _ => false,
        }
    }

    /// Counts the own vote once it is stored.
    pub(super) fn count_own_vote(&mut self) {
        let own = self.own_voter_id();
        let Role::Candidate { granted, vote_sequence } = &mut self.role else { return };
        if self.outbox.is_stored(*vote_sequence) {
            granted.insert(own);
            if self.has_won() {
                self.become_leader();
            }
        }
    }

    /// Whether a leader was heard from so recently that no election is wanted (section 4.2.3).
    fn has_leader(&self) -> bool {
        match self.role {
            Role::Leader(_) => true,
            _ => {
                self.leader.is_some()
                    && self.now_ms < self.leader_heard_ms + self.settings.election_timeout_ms
            }
        }
    }

    /// Whether a candidate's log is at least as complete as the own one (section 3.6.1).
    fn is_complete(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let is_granted =
            term > self.term && !self.has_leader() && self.is_complete(last_index, last_term);
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
        let Some(voter) = self.counted_as(from) else { return };
        if term != self.term + 1 {
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(voter);
            if self.has_won() {
                self.stand();
            }
        }
    }

    pub(super) fn on_vote(&mut self, from: ReplicaId, term: u64, last_index: u64, last_term: u64) {
        // A removed or isolated replica must not depose a leader that a majority follows.
        let is_disruptive = self.has_leader() && !self.settings.injected_faults.skip_pre_vote;
        if is_disruptive && term > self.term {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let is_free = self.voted_for.as_ref().is_none_or(|v| *v == from);
        let is_granted = term == self.term && is_free && self.is_complete(last_index, last_term);
        if is_granted {
            if self.voted_for.is_none() {
                self.set_term(term, Some(from.clone()));
            }
            self.draw_election_time();
        }
        self.send_after_storage(from, self.term, MessageBody::VoteReply { is_granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: &ReplicaId, is_granted: bool) {
        let Some(voter) = self.counted_as(from) else { return };
        if let Role::Candidate { granted, .. } = &mut self.role {
            if is_granted {
                granted.insert(voter);
            }
            if self.has_won() {
                self.become_leader();
            }
        }
    }

    /// Follows `leader`, or nobody yet, in `term`.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        self.abandon_requests();
        if term > self.term {
            self.set_term(term, None);
            self.incoming = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.draw_election_time();
    }

    /// Answers all requests whose fate is no longer in this replica's hands.
    pub(super) fn abandon_requests(&mut self) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let pending = std::mem::take(&mut leadership.pending);
        let reads = std::mem::take(&mut leadership.reads);
        for request in pending.into_values() {
            self.complete_request(request, RequestOutcome::Unknown);
        }
        for read in reads {
            self.complete_request(read.request, RequestOutcome::NotLeader { leader: None });
        }
    }

    fn become_leader(&mut self) {
        let index = self.log.last_index() + 1;
        let own = self.own_voter_id();
        let others = self.configuration.members().filter(|id| **id != own).cloned();
        let progress = others.map(|id| (id, Progress::new(index, self.now_ms))).collect();
        let leadership = Leadership {
            progress,
            since_ms: self.now_ms,
            first_index: index,
            ..Leadership::default()
        };
        self.role = Role::Leader(Box::new(leadership));
        self.leader = Some(self.id.clone());
        // Entries of earlier terms are committed along with this one (section 3.6.2).
        self.append_entry(LogEntry { term: self.term, index, payload: EntryPayload::Empty });
        self.send_heartbeats();
    }

    /// A leader that does not hear from a majority for an election timeout steps down, so that its
    /// callers learn that nothing is accepted (section 6.2).
    fn check_quorum(&mut self) {
        if self.settings.injected_faults.skip_check_quorum {
            return;
        }
        let Role::Leader(leadership) = &self.role else { return };
        let is_settled = self.now_ms >= leadership.since_ms + self.settings.election_timeout_ms;
        if is_settled && !self.configuration.is_majority(|id| self.is_responsive(id)) {
            self.become_follower(self.term, None);
        }
    }

    /// Whether a member answered within the election timeout.
    pub(super) fn is_responsive(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        if *id == self.own_voter_id() {
            return true;
        }
        let progress = leadership.progress.get(id);
        progress.is_some_and(|p| self.now_ms < p.heard_ms + self.settings.election_timeout_ms)
    }
}
