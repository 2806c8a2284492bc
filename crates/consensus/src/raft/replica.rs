use std::collections::BTreeSet;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::HardState;
use crate::protocol::LogEntry;
use crate::protocol::MessageBody;
use crate::protocol::RaftMessage;
use crate::protocol::ReplicaId;
use crate::protocol::Snapshot;
use crate::raft::leadership::Leadership;
use crate::raft::log::Log;
use crate::raft::outbox::Outbox;
use crate::raft::snapshots::IncomingSnapshot;
use crate::raft::PersistRequest;
use crate::raft::RaftSettings;
use crate::raft::ReplicaAction;
use crate::raft::ReplicaEvent;
use crate::raft::ReplicaRole;
use crate::raft::ReplicaStatus;
use crate::raft::RequestNumber;
use crate::raft::RequestOutcome;
use crate::raft::StopReason;

/// What storage found at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot. The shell restores its state machine from it before the first event.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId>, vote_sequence: u64 },
    Leader(Box<Leadership>),
}

/// One replica of the log: a state machine without I/O, clock or randomness of its own.
///
/// Messages that speak of stored state leave only after [`ReplicaEvent::Stored`]; see
/// [`ReplicaAction::Persist`].
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: RaftSettings,
    rng: Pcg64Mcg,
    pub(super) now_ms: u64,
    pub(super) term: u64,
    pub(super) voted_for: Option<ReplicaId>,
    /// Keeps the replica from taking entries of another log, which a host that was bootstrapped
    /// by mistake would offer: entries of two logs may agree in index and term.
    pub(super) log_id: u64,
    pub(super) log: Log,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) role: Role,
    stopped: Option<StopReason>,
    pub(super) leader: Option<ReplicaId>,
    pub(super) leader_heard_ms: u64,
    started_ms: u64,
    pub(super) election_at_ms: u64,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    /// Bytes of entries applied since the latest snapshot.
    pub(super) applied_bytes: usize,
    pub(super) configuration: ClusterConfiguration,
    pub(super) configuration_index: u64,
    pub(super) outbox: Outbox,
    /// Messages of this step that leave after storage.
    after_storage: Vec<RaftMessage>,
    pub(super) unsaved: Unsaved,
    pub(super) actions: Vec<ReplicaAction>,
}

/// Changes of this step that are to be stored.
#[derive(Debug, Default)]
pub(super) struct Unsaved {
    pub(super) is_hard_state_new: bool,
    pub(super) entries_from: Option<u64>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) is_log_replaced: bool,
}

impl Replica {
    /// Creates a replica from what storage found. The seed spreads the election timeouts; give
    /// every start of every replica another one.
    pub fn new(
        id: ReplicaId,
        settings: RaftSettings,
        recovered: RecoveredState,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let RecoveredState { hard_state, snapshot, entries } = recovered;
        let log = Log::recovered(snapshot.as_deref(), entries);
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        let (configuration, configuration_index) = log.configuration_at(u64::MAX);
        let outbox = Outbox::recovered(log.last_index());
        let mut replica = Self {
            id,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms,
            term: hard_state.term,
            voted_for: hard_state.voted_for,
            log_id: hard_state.log_id,
            log,
            snapshot,
            incoming: None,
            role: Role::Follower,
            stopped: None,
            leader: None,
            leader_heard_ms: now_ms,
            started_ms: now_ms,
            election_at_ms: 0,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            applied_bytes: 0,
            configuration,
            configuration_index,
            outbox,
            after_storage: Vec::new(),
            unsaved: Unsaved::default(),
            actions: Vec::new(),
        };
        replica.draw_election_time();
        replica
    }

    /// Takes one event at a monotonic time and returns the actions, to be carried out in order.
    pub fn step(&mut self, event: ReplicaEvent, now_ms: u64) -> Vec<ReplicaAction> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.stopped.is_some() {
            self.refuse_stopped(&event);
            return std::mem::take(&mut self.actions);
        }
        match event {
            ReplicaEvent::Tick => self.tick(),
            ReplicaEvent::Receive(message) => self.receive(message),
            ReplicaEvent::Propose { request, command } => self.propose(request, command),
            ReplicaEvent::Read { request } => self.read(request),
            ReplicaEvent::ChangeMembers { request, change } => self.change_members(request, change),
            ReplicaEvent::Bootstrap(voters) => self.bootstrap(voters),
            ReplicaEvent::Stored(sequence) => self.outbox.stored(sequence),
            ReplicaEvent::StorageFailed => self.stop(StopReason::Storage),
            ReplicaEvent::SnapshotTaken { data } => self.take_snapshot(data),
        }
        if self.stopped.is_none() {
            self.finish_step();
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether the state machine should be asked for a snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        let entries = self.applied_index - self.snapshot_index();
        let is_long = entries >= self.settings.snapshot_interval_entries
            || self.applied_bytes >= self.settings.snapshot_interval_bytes;
        self.stopped.is_none() && entries > 0 && is_long
    }

    /// What the replica knows.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            id: self.id.clone(),
            role: self.role_kind(),
            term: self.term,
            leader: self.leader.clone(),
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot_index(),
            configuration: self.configuration.clone(),
            followers: self.follower_statuses(),
        }
    }

    /// Term of an entry that is in memory.
    pub fn entry_term(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    fn role_kind(&self) -> ReplicaRole {
        if let Some(reason) = self.stopped {
            return ReplicaRole::Stopped(reason);
        }
        match self.role {
            Role::Follower => ReplicaRole::Follower,
            Role::PreCandidate { .. } => ReplicaRole::PreCandidate,
            Role::Candidate { .. } => ReplicaRole::Candidate,
            Role::Leader(_) => ReplicaRole::Leader,
        }
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    pub(super) fn draw_election_time(&mut self) {
        let is_starting = self.leader_heard_ms <= self.started_ms
            && self.now_ms < self.started_ms + self.settings.start_ms;
        let settings = &self.settings;
        let wait_ms = if is_starting {
            settings.start_election_timeout_ms
        } else {
            settings.election_timeout_ms
        };
        let election_timeout_ms = wait_ms.max(1);
        self.election_at_ms = self.now_ms
            + election_timeout_ms
            + self.rng.random_range(0..election_timeout_ms.max(2));
    }

    fn receive(&mut self, message: RaftMessage) {
        let is_mine = message.to == self.id
            || (self.settings.injected_faults.ignore_disk_ids && message.to.name == self.id.name);
        if !is_mine || message.from == self.id {
            return;
        }
        let RaftMessage { from, log_id, term, body, .. } = message;
        // A replica without a log answers pre-votes before it joins the candidate's.
        if self.log_id != 0 && log_id != 0 && self.log_id != log_id {
            return;
        }
        if self.log_id == 0 && body.is_from_leader_or_candidate() {
            self.log_id = log_id;
            self.unsaved.is_hard_state_new = true;
        }
        match body {
            MessageBody::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term);
            }
            MessageBody::PreVoteReply { is_granted } => {
                self.on_pre_vote_reply(&from, term, is_granted)
            }
            MessageBody::Vote { last_index, last_term } => {
                self.on_vote(from, term, last_index, last_term);
            }
            MessageBody::VoteReply { is_granted } => {
                if self.is_current_reply(term) {
                    self.on_vote_reply(&from, is_granted);
                }
            }
            MessageBody::Append { prev_index, prev_term, entries, commit_index, round } => {
                if self.accept_leader(&from, term) {
                    self.on_append(from, prev_index, prev_term, entries, commit_index, round);
                }
            }
            MessageBody::AppendReply { is_accepted, prev_index, match_index, round } => {
                if self.is_current_reply(term) {
                    self.on_append_reply(&from, is_accepted, prev_index, match_index, round);
                }
            }
            MessageBody::SnapshotChunk {
                index,
                entry_term,
                configuration,
                offset,
                total_bytes,
                data,
            } => {
                if self.accept_leader(&from, term) {
                    let part = Snapshot { index, term: entry_term, configuration, data };
                    self.on_snapshot_chunk(from, part, offset, total_bytes);
                }
            }
            MessageBody::SnapshotReply { index, received_bytes, is_installed } => {
                if self.is_current_reply(term) {
                    self.on_snapshot_reply(&from, index, received_bytes, is_installed);
                }
            }
        }
    }

    /// Whether a reply belongs to the current term. A higher term ends the leader's own.
    fn is_current_reply(&mut self, term: u64) -> bool {
        if term > self.term {
            self.become_follower(term, None);
        }
        term == self.term
    }

    /// The configured identity under which a message of `from` counts, if any.
    pub(super) fn counted_as(&self, from: &ReplicaId) -> Option<ReplicaId> {
        if self.configuration.has_member(from) {
            return Some(from.clone());
        }
        if self.settings.injected_faults.ignore_disk_ids {
            return self.configuration.members().find(|id| id.name == from.name).cloned();
        }
        None
    }

    /// Whether this replica is a voter of the latest configuration.
    pub(super) fn is_voter(&self) -> bool {
        let own = self.counted_as(&self.id);
        own.is_some_and(|id| self.configuration.voters.contains(&id))
    }

    /// Queues a message that leaves once this step's state is stored.
    pub(super) fn send_after_storage(&mut self, to: ReplicaId, term: u64, body: MessageBody) {
        let message = self.message(to, term, body);
        self.after_storage.push(message);
    }

    /// Sends a message that speaks of no state that is yet to be stored.
    pub(super) fn send_now(&mut self, to: ReplicaId, term: u64, body: MessageBody) {
        let message = self.message(to, term, body);
        self.actions.push(ReplicaAction::Send(message));
    }

    fn message(&self, to: ReplicaId, term: u64, body: MessageBody) -> RaftMessage {
        RaftMessage { from: self.id.clone(), to, log_id: self.log_id, term, body }
    }

    pub(super) fn complete_request(&mut self, request: RequestNumber, outcome: RequestOutcome) {
        self.actions.push(ReplicaAction::CompleteRequest { request, outcome });
    }

    pub(super) fn reject_not_leader(&mut self, request: RequestNumber) {
        let leader = self.leader.clone();
        self.complete_request(request, RequestOutcome::NotLeader { leader });
    }

    /// Appends an entry and notes that it has to be stored.
    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        let index = entry.index;
        if let EntryPayload::Members(members) = &entry.payload {
            self.configuration = members.clone();
            self.configuration_index = index;
        }
        self.log.append(entry);
        let from = self.unsaved.entries_from.unwrap_or(index);
        self.unsaved.entries_from = Some(from.min(index));
    }

    /// Removes the entries from `index` on, which contradict the leader's.
    pub(super) fn truncate_log(&mut self, index: u64) {
        self.log.truncate(index);
        self.outbox.truncated(index);
        if self.configuration_index >= index {
            (self.configuration, self.configuration_index) = self.log.configuration_at(u64::MAX);
        }
    }

    pub(super) fn set_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.term = term;
        self.voted_for = voted_for;
        self.unsaved.is_hard_state_new = true;
    }

    pub(super) fn stop(&mut self, reason: StopReason) {
        self.abandon_requests();
        self.role = Role::Follower;
        self.leader = None;
        self.stopped = Some(reason);
    }

    /// Answers a request that reaches a stopped replica.
    fn refuse_stopped(&mut self, event: &ReplicaEvent) {
        match event {
            ReplicaEvent::Propose { request, .. }
            | ReplicaEvent::Read { request }
            | ReplicaEvent::ChangeMembers { request, .. } => self.reject_not_leader(*request),
            _ => {}
        }
    }

    fn finish_step(&mut self) {
        self.persist();
        self.count_own_vote();
        // Winning a single-voter election appends an entry, which has to be stored too.
        self.persist();
        for message in std::mem::take(&mut self.after_storage) {
            self.outbox.hold(message);
        }
        let released = self.outbox.release();
        self.actions.extend(released.into_iter().map(ReplicaAction::Send));
        self.stream_entries();
        self.advance_commit();
        self.apply();
        self.confirm_reads();
        self.leave_if_removed();
    }

    /// Hands this step's changes to storage.
    fn persist(&mut self) {
        let unsaved = std::mem::take(&mut self.unsaved);
        let is_changed = unsaved.is_hard_state_new
            || unsaved.entries_from.is_some()
            || unsaved.snapshot.is_some();
        if !is_changed {
            return;
        }
        let hard_state = unsaved.is_hard_state_new.then(|| HardState {
            term: self.term,
            voted_for: self.voted_for.clone(),
            log_id: self.log_id,
        });
        let first = unsaved.entries_from.map(|from| from.max(self.log.base_index() + 1));
        let entries = first.map(|from| self.log.tail(from)).unwrap_or_default();
        let sequence = self.outbox.issue(self.log.last_index());
        self.actions.push(ReplicaAction::Persist(PersistRequest {
            sequence,
            hard_state,
            snapshot: unsaved.snapshot,
            is_log_replaced: unsaved.is_log_replaced,
            entries,
        }));
        if self.settings.injected_faults.acknowledge_before_sync {
            self.outbox.stored(sequence);
        }
    }
}
