//! Snapshots, log compaction and snapshot transfer in bounded chunks (sections 5.1 to 5.3 of
//! Ongaro's dissertation; see the crate documentation).

use std::sync::Arc;

use crate::protocol::MessageBody;
use crate::protocol::ReplicaId;
use crate::protocol::Snapshot;
use crate::raft::leader_state::ReplicationMode;
use crate::raft::replica::Replica;
use crate::raft::replica::RoleState;
use crate::raft::RaftSettings;
use crate::raft::ReplicaAction;

/// Heartbeat intervals without a response after which a chunk of a snapshot is resent.
const CHUNK_RESEND_HEARTBEATS: u64 = 4;

/// A snapshot of which some chunks have arrived.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: ReplicaId,
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Records the state of the state machine as the latest snapshot and compacts the log.
    pub(super) fn record_snapshot(&mut self, data: Vec<u8>) {
        let index = self.applied_index;
        let Some(term) = self.log.term(index) else { return };
        if index <= self.snapshot_index() {
            return;
        }
        let (configuration, _) = self.log.configuration_at(index);
        let snapshot = Arc::new(Snapshot { index, term, configuration, data });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.unsaved.snapshot = Some(snapshot);
        self.applied_bytes = 0;
        let RaftSettings { max_retained_entries, max_retained_bytes, .. } = self.settings;
        self.log.compact(self.log.retained_base(index, max_retained_entries, max_retained_bytes));
    }

    /// Starts sending the snapshot to a member whose next entry is compacted.
    pub(super) fn start_snapshot_transfer(&mut self, peer: &ReplicaId) {
        let index = self.snapshot_index();
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.progress.get_mut(peer) else { return };
        progress.mode = ReplicationMode::Snapshot { index, offset: 0, sent_ms: 0 };
        self.send_chunk(peer);
    }

    fn send_chunk(&mut self, peer: &ReplicaId) {
        let now_ms = self.now_ms;
        let Some(snapshot) = self.snapshot.clone() else { return };
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.progress.get_mut(peer) else { return };
        let ReplicationMode::Snapshot { index, offset, sent_ms } = &mut progress.mode else {
            return;
        };
        if *index != snapshot.index {
            // A newer snapshot has replaced the one that was being sent.
            (*index, *offset) = (snapshot.index, 0);
        }
        *sent_ms = now_ms;
        let start = usize::try_from(*offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = (start + self.settings.snapshot_chunk_bytes.max(1)).min(snapshot.data.len());
        let body = MessageBody::SnapshotChunk {
            index: snapshot.index,
            entry_term: snapshot.term,
            configuration: snapshot.configuration.clone(),
            offset: start as u64,
            total_bytes: snapshot.data.len() as u64,
            data: snapshot.data[start..end].to_vec(),
        };
        self.send_now(peer.clone(), self.term, body);
    }

    /// Resends the current chunk if its response is overdue and the member responds to heartbeats.
    pub(super) fn resend_overdue_chunk(&mut self, peer: &ReplicaId) {
        let RoleState::Leader(leader_state) = &self.role else { return };
        let Some(progress) = leader_state.progress.get(peer) else { return };
        let ReplicationMode::Snapshot { sent_ms, .. } = progress.mode else { return };
        let overdue_ms = sent_ms + CHUNK_RESEND_HEARTBEATS * self.settings.heartbeat_interval_ms;
        if self.now_ms >= overdue_ms && self.is_responsive(peer) {
            self.send_chunk(peer);
        }
    }

    /// Handles a chunk of a snapshot. All chunks of a snapshot must come from the same leader,
    /// because two leaders may encode the same state differently.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        offset: u64,
        total_bytes: u64,
    ) {
        let index = chunk.index;
        if index <= self.commit_index {
            return self.send_snapshot_reply(from, index, total_bytes, true);
        }
        if total_bytes > self.settings.max_snapshot_bytes {
            return;
        }
        let is_same_transfer = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|i| i.from == from && i.index == index && i.term == chunk.term);
        if !is_same_transfer {
            let (from, term, data) = (from.clone(), chunk.term, Vec::new());
            self.incoming_snapshot = Some(IncomingSnapshot { from, index, term, data });
        }
        let incoming_snapshot =
            self.incoming_snapshot.as_mut().expect("the transfer was started above");
        if offset == incoming_snapshot.data.len() as u64 {
            incoming_snapshot.data.extend_from_slice(&chunk.data);
        }
        let received_bytes = incoming_snapshot.data.len() as u64;
        if received_bytes < total_bytes {
            return self.send_snapshot_reply(from, index, received_bytes, false);
        }
        let data = std::mem::take(&mut incoming_snapshot.data);
        self.incoming_snapshot = None;
        self.install_snapshot(Snapshot { data, ..chunk });
        self.send_snapshot_reply(from, index, total_bytes, true);
    }

    fn send_snapshot_reply(
        &mut self,
        to: ReplicaId,
        index: u64,
        received_bytes: u64,
        is_installed: bool,
    ) {
        let body = MessageBody::SnapshotReply { index, received_bytes, is_installed };
        self.send_after_storage(to, self.term, body);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            self.outbox.mark_truncated(0);
            self.log.reset_to(&snapshot);
            self.unsaved.is_log_replaced = true;
            self.unsaved.first_entry_index = None;
        }
        (self.configuration, self.configuration_index) = self.log.latest_configuration();
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.applied_bytes = 0;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.unsaved.snapshot = Some(Arc::clone(&snapshot));
        self.actions.push(ReplicaAction::InstallSnapshot(snapshot));
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: &ReplicaId,
        index: u64,
        received_bytes: u64,
        is_installed: bool,
    ) {
        let now_ms = self.now_ms;
        let member = self.counted_id(from);
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        let Some(progress) = leader_state.progress.get_mut(&member) else { return };
        progress.last_response_ms = now_ms;
        let ReplicationMode::Snapshot { index: sent_index, offset, .. } = &mut progress.mode else {
            return;
        };
        if index != *sent_index {
            return;
        }
        if is_installed {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.match_index + 1;
            progress.mode = ReplicationMode::Probe { is_in_flight: false };
        } else if *offset != received_bytes {
            *offset = received_bytes;
            self.send_chunk(&member);
        }
    }
}
