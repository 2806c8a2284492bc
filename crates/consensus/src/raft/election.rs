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
use crate::raft::quorum::GrantedVotes;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::RequestOutcome;

/// How the votes that a candidate received decide its election.
enum VoteQuorum {
    /// A majority of the voters voted for it.
    Majority,
    /// Half of an even number of voters did, all of which were told that this voter is lost.
    WithoutLostVoter(ReplicaId),
}

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
    pub(super) fn may_campaign(&self) -> bool {
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
            return self.start_election(false);
        }
        let own_vote = (self.own_member_id(), self.lost_members.clone());
        self.role = RoleState::PreCandidate { granted_by: GrantedVotes::from([own_vote]) };
        if self.has_vote_quorum() {
            return self.start_election(false);
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            let lost_members = self.lost_members.clone();
            let body = MessageBody::PreVote { last_index, last_term, lost_members };
            self.send_now(voter, self.term + 1, body);
        }
    }

    /// Starts a term and requests votes. This replica's vote counts once it is stored.
    pub(super) fn start_election(&mut self, is_transfer: bool) {
        self.set_term(self.term + 1, Some(self.id.clone()));
        // `persist` issues this number at the end of the step.
        let vote_sequence = self.outbox.last_issued() + 1;
        self.role = RoleState::Candidate { granted_by: GrantedVotes::new(), vote_sequence };
        self.reset_election_timer();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_voters() {
            let lost_members = self.lost_members.clone();
            let body = MessageBody::Vote { is_transfer, last_index, last_term, lost_members };
            self.send_after_storage(voter, self.term, body);
        }
    }

    /// Identity under which this replica is listed in the configuration.
    pub(super) fn own_member_id(&self) -> ReplicaId {
        self.counted_id(&self.id)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let own_id = self.own_member_id();
        let previous = self.previous_configuration();
        let configurations = [Some(&self.configuration), previous.as_ref()];
        let voters = configurations.into_iter().flatten().flat_map(|members| &members.voters);
        let others: BTreeSet<&ReplicaId> = voters.filter(|id| **id != own_id).collect();
        others.into_iter().cloned().collect()
    }

    /// The quorum of the votes received so far, if there is one.
    fn vote_quorum(&self) -> Option<VoteQuorum> {
        let (RoleState::PreCandidate { granted_by } | RoleState::Candidate { granted_by, .. }) =
            &self.role
        else {
            return None;
        };
        if self.is_quorum(None, |id| granted_by.contains_key(id)) {
            return Some(VoteQuorum::Majority);
        }
        // A voter that was told of a loss votes after it. Otherwise two candidates might each win by
        // the vote of a voter that the other one takes for lost.
        let knows_loss = |id: &ReplicaId, lost: &ReplicaId| {
            let is_known = |known: &BTreeSet<ReplicaId>| {
                known.contains(lost) || self.settings.injected_faults.count_votes_before_loss
            };
            granted_by.get(id).is_some_and(is_known)
        };
        let decides = |lost: &&ReplicaId| self.is_quorum(Some(*lost), |id| knows_loss(id, lost));
        let lost = self.lost_members.iter().find(decides)?;
        Some(VoteQuorum::WithoutLostVoter(lost.clone()))
    }

    fn has_vote_quorum(&self) -> bool {
        self.vote_quorum().is_some()
    }

    fn become_leader_with_quorum(&mut self) {
        match self.vote_quorum() {
            Some(VoteQuorum::Majority) => self.become_leader(None),
            Some(VoteQuorum::WithoutLostVoter(lost)) => self.become_leader(Some(lost)),
            None => {}
        }
    }

    /// Counts this replica's vote once it is stored, and becomes leader with a quorum.
    pub(super) fn count_own_vote(&mut self) {
        let own_id = self.own_member_id();
        let RoleState::Candidate { granted_by, vote_sequence } = &mut self.role else { return };
        if self.outbox.is_stored(*vote_sequence) {
            granted_by.insert(own_id, self.lost_members.clone());
            self.become_leader_with_quorum();
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

    /// Whether a candidate's log, given the term and index of its last entry, is at least as up to
    /// date as this replica's log (section 3.6.1 of the dissertation).
    fn is_up_to_date(&self, last_entry: (u64, u64)) -> bool {
        last_entry >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_entry: (u64, u64),
        lost_members: BTreeSet<ReplicaId>,
    ) {
        let is_granted =
            term > self.term && !self.has_recent_leader() && self.is_up_to_date(last_entry);
        let reply_term = if is_granted { term } else { self.term };
        let lost_members = &lost_members | &self.lost_members;
        let committed_configuration = self.known_committed_configuration();
        let body = MessageBody::PreVoteReply { is_granted, lost_members, committed_configuration };
        self.send_after_storage(from, reply_term, body);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: &ReplicaId,
        term: u64,
        is_granted: bool,
        lost_members: BTreeSet<ReplicaId>,
    ) {
        self.learn_losses(&lost_members);
        if !is_granted {
            if term > self.term {
                self.become_follower(term, None);
            }
            return;
        }
        let voter = self.counted_id(from);
        if term != self.term + 1 {
            return;
        }
        if let RoleState::PreCandidate { granted_by } = &mut self.role {
            granted_by.insert(voter, lost_members);
            if self.has_vote_quorum() {
                self.start_election(false);
            }
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last_entry: (u64, u64),
        lost_members: BTreeSet<ReplicaId>,
        is_transfer: bool,
    ) {
        // A removed or isolated replica must not depose a leader that a majority follows.
        let follows_leader = self.has_recent_leader()
            && !is_transfer
            && !self.settings.injected_faults.skip_pre_vote;
        if follows_leader && term > self.term {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let may_vote_for_candidate = self.voted_for.as_ref().is_none_or(|v| *v == from);
        let is_granted =
            term == self.term && may_vote_for_candidate && self.is_up_to_date(last_entry);
        if is_granted {
            if self.voted_for.is_none() {
                self.set_term(term, Some(from.clone()));
            }
            self.reset_election_timer();
        }
        let lost_members = &lost_members | &self.lost_members;
        let body = MessageBody::VoteReply { is_granted, lost_members };
        self.send_after_storage(from, self.term, body);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: &ReplicaId,
        is_granted: bool,
        lost_members: BTreeSet<ReplicaId>,
    ) {
        self.learn_losses(&lost_members);
        let voter = self.counted_id(from);
        if let RoleState::Candidate { granted_by, .. } = &mut self.role {
            if is_granted {
                granted_by.insert(voter, lost_members);
            }
            self.become_leader_with_quorum();
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

    /// Becomes leader; `lost_voter` is given if half of an even number of voters decided without it.
    fn become_leader(&mut self, lost_voter: Option<ReplicaId>) {
        let index = self.log.last_index() + 1;
        let own_id = self.own_member_id();
        let others = self.tracked_members().into_iter().filter(|id| *id != own_id);
        let progress = others.map(|id| (id, FollowerProgress::new(index, self.now_ms))).collect();
        let leader_state = LeaderState {
            progress,
            elected_at_ms: self.now_ms,
            first_own_index: index,
            lost_voter,
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
        let has_quorum = self.is_quorum(self.leader_lost_voter(), |id| self.is_responsive(id));
        if is_check_due && !has_quorum {
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
