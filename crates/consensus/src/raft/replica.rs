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
use crate::raft::in_memory_log::InMemoryLog;
use crate::raft::leader_state::LeaderState;
use crate::raft::outbox::Outbox;
use crate::raft::quorum::GrantedVotes;
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

/// State that storage recovered at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot. The caller restores its state machine from it before the first event.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate {
        granted_by: GrantedVotes,
    },
    Candidate {
        granted_by: GrantedVotes,
        /// Number of the persist request that stores this candidate's vote for itself.
        vote_sequence: u64,
    },
    Leader(Box<LeaderState>),
}

/// One replica of the log: a deterministic state machine without I/O. The caller provides the time
/// and the random seed.
///
/// Messages that depend on stored state are sent only after [`ReplicaEvent::Stored`]; see
/// [`ReplicaAction::Persist`].
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: RaftSettings,
    /// Whether the host of this replica is about to stop.
    pub(super) is_leaving: bool,
    rng: Pcg64Mcg,
    pub(super) now_ms: u64,
    pub(super) term: u64,
    pub(super) voted_for: Option<ReplicaId>,
    /// Identity of the log; 0 until the replica joins one. Messages of another log are dropped: a
    /// host that was bootstrapped by mistake would send entries that may agree in index and term
    /// with those of this log.
    pub(super) log_id: u64,
    /// Entry of the latest configuration that is known to be committed, as far as it was stored.
    pub(super) committed_configuration_index: u64,
    /// Members whose successors on the same host have reported the loss of the disk.
    pub(super) lost_members: BTreeSet<ReplicaId>,
    pub(super) log: InMemoryLog,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) role: RoleState,
    stop_reason: Option<StopReason>,
    pub(super) leader: Option<ReplicaId>,
    pub(super) last_leader_contact_ms: u64,
    started_ms: u64,
    pub(super) election_due_ms: u64,
    pub(super) commit_index: u64,
    pub(super) applied_index: u64,
    /// Bytes of entries applied since the latest snapshot.
    pub(super) applied_bytes: usize,
    /// Latest configuration in the log, committed or not.
    pub(super) configuration: ClusterConfiguration,
    /// Index of the entry that set the configuration; it may be 0 if that entry is compacted.
    pub(super) configuration_index: u64,
    pub(super) outbox: Outbox,
    /// Messages of this step that are sent once its changes are stored.
    messages_after_storage: Vec<RaftMessage>,
    pub(super) unsaved: UnsavedChanges,
    pub(super) actions: Vec<ReplicaAction>,
}

/// Changes of this step that must be stored.
#[derive(Debug, Default)]
pub(super) struct UnsavedChanges {
    pub(super) is_hard_state_changed: bool,
    pub(super) first_entry_index: Option<u64>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) is_log_replaced: bool,
}

impl Replica {
    /// Creates a replica from the recovered state. The seed randomises the election timeouts and
    /// must differ for every start of every replica.
    pub fn new(
        id: ReplicaId,
        settings: RaftSettings,
        recovered: RecoveredState,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let RecoveredState { hard_state, snapshot, entries } = recovered;
        let log = InMemoryLog::recovered(snapshot.as_deref(), entries);
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        let (configuration, configuration_index) = log.latest_configuration();
        let outbox = Outbox::recovered(log.last_index());
        let mut replica = Self {
            id,
            settings,
            is_leaving: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms,
            term: hard_state.term,
            voted_for: hard_state.voted_for,
            log_id: hard_state.log_id,
            committed_configuration_index: hard_state.committed_configuration_index,
            lost_members: BTreeSet::new(),
            log,
            snapshot,
            incoming_snapshot: None,
            role: RoleState::Follower,
            stop_reason: None,
            leader: None,
            last_leader_contact_ms: now_ms,
            started_ms: now_ms,
            election_due_ms: 0,
            commit_index: snapshot_index.max(hard_state.committed_configuration_index),
            applied_index: snapshot_index,
            applied_bytes: 0,
            configuration,
            configuration_index,
            outbox,
            messages_after_storage: Vec::new(),
            unsaved: UnsavedChanges::default(),
            actions: Vec::new(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Processes an event at a monotonic time, in ms, and returns the actions to execute in order.
    pub fn step(&mut self, event: ReplicaEvent, now_ms: u64) -> Vec<ReplicaAction> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.stop_reason.is_some() {
            self.reject_request_when_stopped(&event);
            return std::mem::take(&mut self.actions);
        }
        match event {
            ReplicaEvent::Tick => self.tick(),
            ReplicaEvent::Receive(message) => self.receive(message),
            ReplicaEvent::Propose { request, command } => self.propose(request, command),
            ReplicaEvent::Read { request } => self.read(request),
            ReplicaEvent::ChangeMembers { request, change } => self.change_members(request, change),
            ReplicaEvent::Leave => self.is_leaving = true,
            ReplicaEvent::TransferLead => self.transfer_lead(),
            ReplicaEvent::Bootstrap(voters) => self.bootstrap(voters),
            ReplicaEvent::Stored(sequence) => self.outbox.mark_stored(sequence),
            ReplicaEvent::StorageFailed => self.stop(StopReason::Storage),
            ReplicaEvent::SnapshotTaken { data } => self.record_snapshot(data),
        }
        if self.stop_reason.is_none() {
            self.finish_step();
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether the caller should provide a snapshot of the state machine.
    pub fn is_snapshot_due(&self) -> bool {
        let entries = self.applied_index - self.snapshot_index();
        let is_log_long = entries >= self.settings.snapshot_interval_entries
            || self.applied_bytes >= self.settings.snapshot_interval_bytes;
        self.stop_reason.is_none() && entries > 0 && is_log_long
    }

    /// Index of the last entry that was given out to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Current status.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            id: self.id.clone(),
            role: self.public_role(),
            term: self.term,
            leader: self.leader.clone(),
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot_index(),
            configuration: self.configuration.clone(),
            previous_configuration: self.previous_configuration(),
            lost_members: self.lost_members.clone(),
            is_leaving: self.is_leaving,
            followers: self.follower_statuses(),
        }
    }

    /// Term of an entry; `None` if the entry is not in memory.
    pub fn entry_term(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    fn public_role(&self) -> ReplicaRole {
        if let Some(reason) = self.stop_reason {
            return ReplicaRole::Stopped(reason);
        }
        match self.role {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate { .. } => ReplicaRole::PreCandidate,
            RoleState::Candidate { .. } => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Sets the next election to a random time between one and two election timeouts from now.
    pub(super) fn reset_election_timer(&mut self) {
        // `last_leader_contact_ms` is the start time until a leader makes contact.
        let is_starting_without_leader = self.last_leader_contact_ms <= self.started_ms
            && self.now_ms < self.started_ms + self.settings.start_ms;
        let settings = &self.settings;
        let timeout_ms = if is_starting_without_leader {
            settings.start_election_timeout_ms
        } else {
            settings.election_timeout_ms
        };
        let timeout_ms = timeout_ms.max(1);
        self.election_due_ms =
            self.now_ms + timeout_ms + self.rng.random_range(0..timeout_ms.max(2));
    }

    fn receive(&mut self, message: RaftMessage) {
        let is_addressed_here = message.to == self.id
            || (self.settings.injected_faults.ignore_disk_ids && message.to.name == self.id.name);
        let RaftMessage { from, to, log_id, term, body } = message;
        if !is_addressed_here || from == self.id {
            if to.name == self.id.name && from.name != self.id.name {
                self.report_lost_disk(from, to);
            }
            return;
        }
        // A message with log id 0 comes from a replica that has not joined a log yet; it may reply
        // to pre-votes.
        if self.log_id != 0 && log_id != 0 && self.log_id != log_id {
            return;
        }
        if self.log_id == 0 && body.is_from_leader_or_candidate() {
            self.log_id = log_id;
            self.unsaved.is_hard_state_changed = true;
        }
        match body {
            MessageBody::PreVote { last_index, last_term, lost_members } => {
                self.on_pre_vote(from, term, (last_term, last_index), lost_members);
            }
            MessageBody::PreVoteReply { is_granted, lost_members, committed_configuration } => {
                self.learn_committed_configuration(committed_configuration);
                self.on_pre_vote_reply(&from, term, is_granted, lost_members)
            }
            MessageBody::Vote { is_transfer, last_index, last_term, lost_members } => {
                self.on_vote(from, term, (last_term, last_index), lost_members, is_transfer);
            }
            MessageBody::VoteReply { is_granted, lost_members } => {
                if self.is_current_reply(term) {
                    self.on_vote_reply(&from, is_granted, lost_members);
                }
            }
            MessageBody::Append { prev_index, prev_term, entries, commit_index, round } => {
                if self.accept_leader(&from, term) {
                    self.on_append(from, prev_index, prev_term, entries, commit_index, round);
                }
            }
            MessageBody::AppendReply {
                is_accepted,
                prev_index,
                match_index,
                round,
                is_leaving,
            } => {
                if self.is_current_reply(term) {
                    self.record_leaving(&from, is_leaving);
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
                    let chunk = Snapshot { index, term: entry_term, configuration, data };
                    self.on_snapshot_chunk(from, chunk, offset, total_bytes);
                }
            }
            MessageBody::SnapshotReply { index, received_bytes, is_installed } => {
                if self.is_current_reply(term) {
                    self.on_snapshot_reply(&from, index, received_bytes, is_installed);
                }
            }
            MessageBody::TimeoutNow => self.on_timeout_now(&from, term),
            MessageBody::LossReport { lost } => self.on_loss_report(&from, lost),
        }
    }

    /// Whether a reply belongs to the current term. A reply of a higher term makes this replica a
    /// follower in that term.
    fn is_current_reply(&mut self, term: u64) -> bool {
        if term > self.term {
            self.become_follower(term, None);
        }
        term == self.term
    }

    /// Whether this replica is a voter in the latest configuration.
    pub(super) fn is_voter(&self) -> bool {
        let own_id = self.matching_member(&self.id);
        own_id.is_some_and(|id| self.configuration.voters.contains(&id))
    }

    /// Queues a message that is sent once the changes of this step are stored.
    pub(super) fn send_after_storage(&mut self, to: ReplicaId, term: u64, body: MessageBody) {
        let message = self.message(to, term, body);
        self.messages_after_storage.push(message);
    }

    /// Sends a message that does not depend on state that is not stored yet.
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

    /// Appends an entry and marks it as to be stored.
    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        let index = entry.index;
        if let EntryPayload::Members(members) = &entry.payload {
            self.configuration = members.clone();
            self.configuration_index = index;
        }
        self.log.append(entry);
        let from = self.unsaved.first_entry_index.unwrap_or(index);
        self.unsaved.first_entry_index = Some(from.min(index));
    }

    /// Removes the entries from `index` on, which conflict with those of the leader.
    pub(super) fn truncate_log(&mut self, index: u64) {
        self.log.truncate(index);
        self.outbox.mark_truncated(index);
        if self.configuration_index >= index {
            (self.configuration, self.configuration_index) = self.log.latest_configuration();
        }
    }

    pub(super) fn set_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.term = term;
        self.voted_for = voted_for;
        self.unsaved.is_hard_state_changed = true;
    }

    pub(super) fn stop(&mut self, reason: StopReason) {
        self.fail_pending_requests();
        self.role = RoleState::Follower;
        self.leader = None;
        self.stop_reason = Some(reason);
    }

    /// Rejects a request to a stopped replica.
    fn reject_request_when_stopped(&mut self, event: &ReplicaEvent) {
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
        // Winning an election as the only voter appends an entry, which must be stored too.
        self.persist();
        for message in std::mem::take(&mut self.messages_after_storage) {
            self.outbox.hold(message);
        }
        let sendable_messages = self.outbox.take_released();
        self.actions.extend(sendable_messages.into_iter().map(ReplicaAction::Send));
        self.replicate_entries();
        self.advance_commit();
        self.apply_committed();
        self.confirm_reads();
        self.step_down_if_removed();
        self.prune_members();
        self.store_committed_configuration();
    }

    /// Requests storage of the changes of this step.
    pub(super) fn persist(&mut self) {
        let unsaved = std::mem::take(&mut self.unsaved);
        let is_changed = unsaved.is_hard_state_changed
            || unsaved.first_entry_index.is_some()
            || unsaved.snapshot.is_some();
        if !is_changed {
            return;
        }
        let hard_state = unsaved.is_hard_state_changed.then(|| HardState {
            term: self.term,
            voted_for: self.voted_for.clone(),
            log_id: self.log_id,
            committed_configuration_index: self.committed_configuration_index,
        });
        let first = unsaved.first_entry_index.map(|from| from.max(self.log.base_index() + 1));
        let entries = first.map(|from| self.log.entries_from(from)).unwrap_or_default();
        let sequence = self.outbox.issue_sequence(self.log.last_index());
        self.actions.push(ReplicaAction::Persist(PersistRequest {
            sequence,
            hard_state,
            snapshot: unsaved.snapshot,
            is_log_replaced: unsaved.is_log_replaced,
            entries,
        }));
        if self.settings.injected_faults.acknowledge_before_sync {
            self.outbox.mark_stored(sequence);
        }
    }
}
