use std::collections::VecDeque;

use crate::protocol::RaftMessage;

/// Most messages that wait for storage. A replica whose disk hangs drops further ones, which is
/// the same as losing them on the network.
const MAX_HELD: usize = 4_096;

/// Holds messages back until the state that they speak of is stored, and tracks what is stored.
///
/// To others, a replica that holds its messages back looks like one that stores at once and has a
/// slow network, so the argument of section 3.8 (store before answering) is unchanged.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    issued: u64,
    stored: u64,
    held: VecDeque<(u64, RaftMessage)>,
    pending: VecDeque<PendingStore>,
    stored_index: u64,
}

#[derive(Debug)]
struct PendingStore {
    sequence: u64,
    last_index: u64,
}

impl Outbox {
    pub(super) fn recovered(last_index: u64) -> Self {
        Self { stored_index: last_index, ..Self::default() }
    }

    /// Number of the next persist request, whose log ends at `last_index`.
    pub(super) fn issue(&mut self, last_index: u64) -> u64 {
        self.issued += 1;
        self.pending.push_back(PendingStore { sequence: self.issued, last_index });
        self.issued
    }

    /// Number of the latest persist request.
    pub(super) fn issued(&self) -> u64 {
        self.issued
    }

    /// Whether a persist request is stored.
    pub(super) fn is_stored(&self, sequence: u64) -> bool {
        self.stored >= sequence
    }

    /// Last entry that is stored along with all entries before it.
    pub(super) fn stored_index(&self) -> u64 {
        self.stored_index
    }

    /// Entries from `index` on are no longer in the log; what is stored of them does not count.
    pub(super) fn truncated(&mut self, index: u64) {
        let last = index.saturating_sub(1);
        self.stored_index = self.stored_index.min(last);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Holds a message until everything issued so far is stored.
    pub(super) fn hold(&mut self, message: RaftMessage) {
        if self.held.len() < MAX_HELD {
            self.held.push_back((self.issued, message));
        }
    }

    /// Notes that everything up to `sequence` is stored.
    pub(super) fn stored(&mut self, sequence: u64) {
        self.stored = self.stored.max(sequence.min(self.issued));
        while self.pending.front().is_some_and(|p| p.sequence <= self.stored) {
            let done = self.pending.pop_front().expect("the front was seen");
            self.stored_index = self.stored_index.max(done.last_index);
        }
    }

    /// Messages that may leave now.
    pub(super) fn release(&mut self) -> Vec<RaftMessage> {
        let mut released = Vec::new();
        while self.held.front().is_some_and(|(sequence, _)| *sequence <= self.stored) {
            released.extend(self.held.pop_front().map(|(_, message)| message));
        }
        released
    }
}
