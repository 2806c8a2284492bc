use std::collections::VecDeque;

use crate::protocol::RaftMessage;

/// Maximum number of messages that wait for storage. A replica whose disk hangs drops further
/// messages, which is equivalent to losing them on the network.
const MAX_HELD_MESSAGES: usize = 4_096;

/// Holds messages back until the state that they report is stored, and tracks what is stored.
///
/// To the other replicas, this is indistinguishable from storing synchronously and having a slow
/// network, so the argument of section 3.8 of Ongaro's dissertation (store before responding) still
/// applies.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    last_issued: u64,
    last_stored: u64,
    /// Held messages, each with the number of the persist request that must be stored before.
    held_messages: VecDeque<(u64, RaftMessage)>,
    pending_persists: VecDeque<PendingPersist>,
    stored_index: u64,
}

#[derive(Debug)]
struct PendingPersist {
    sequence: u64,
    last_index: u64,
}

impl Outbox {
    pub(super) fn recovered(last_index: u64) -> Self {
        Self { stored_index: last_index, ..Self::default() }
    }

    /// Assigns the number of the next persist request, after which the log ends at `last_index`.
    pub(super) fn issue_sequence(&mut self, last_index: u64) -> u64 {
        self.last_issued += 1;
        self.pending_persists.push_back(PendingPersist { sequence: self.last_issued, last_index });
        self.last_issued
    }

    /// Number of the latest persist request.
    pub(super) fn last_issued(&self) -> u64 {
        self.last_issued
    }

    /// Whether a persist request is stored.
    pub(super) fn is_stored(&self, sequence: u64) -> bool {
        self.last_stored >= sequence
    }

    /// Last entry that is stored together with all entries before it.
    pub(super) fn stored_index(&self) -> u64 {
        self.stored_index
    }

    /// Records that the entries from `index` on were removed from the log, so that stored copies of
    /// them do not count.
    pub(super) fn mark_truncated(&mut self, index: u64) {
        let last = index.saturating_sub(1);
        self.stored_index = self.stored_index.min(last);
        for pending in &mut self.pending_persists {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Holds a message until all persist requests issued so far are stored.
    pub(super) fn hold(&mut self, message: RaftMessage) {
        if self.held_messages.len() < MAX_HELD_MESSAGES {
            self.held_messages.push_back((self.last_issued, message));
        }
    }

    /// Records that all persist requests up to `sequence` are stored.
    pub(super) fn mark_stored(&mut self, sequence: u64) {
        self.last_stored = self.last_stored.max(sequence.min(self.last_issued));
        while self.pending_persists.front().is_some_and(|p| p.sequence <= self.last_stored) {
            let stored = self
                .pending_persists
                .pop_front()
                .expect("the loop condition checked the front element");
            self.stored_index = self.stored_index.max(stored.last_index);
        }
    }

    /// Removes and returns the messages that may be sent now.
    pub(super) fn take_released(&mut self) -> Vec<RaftMessage> {
        let mut released = Vec::new();
        while self.held_messages.front().is_some_and(|(sequence, _)| *sequence <= self.last_stored)
        {
            released.extend(self.held_messages.pop_front().map(|(_, message)| message));
        }
        released
    }
}
