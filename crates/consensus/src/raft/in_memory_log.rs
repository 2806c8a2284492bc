use std::collections::VecDeque;

use crate::protocol::ClusterConfiguration;
use crate::protocol::EntryPayload;
use crate::protocol::LogEntry;
use crate::protocol::Snapshot;

/// Log entries in memory. They follow a base entry, which compaction moves forward.
#[derive(Debug, Default)]
pub(super) struct InMemoryLog {
    base_index: u64,
    base_term: u64,
    base_configuration: ClusterConfiguration,
    entries: VecDeque<LogEntry>,
}

impl InMemoryLog {
    /// Restores the log after a restart.
    pub(super) fn recovered(snapshot: Option<&Snapshot>, entries: Vec<LogEntry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset_to(snapshot);
        }
        log.entries = entries.into_iter().filter(|e| e.index > log.base_index).collect();
        log
    }

    /// Index before the first entry in memory.
    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }

    pub(super) fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Term of an entry; `None` below the base and beyond the last entry.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Entries from `index` on, up to a total size; at least one entry if there is any.
    pub(super) fn batch(&self, index: u64, max_bytes: usize) -> Vec<LogEntry> {
        let Some(position) = self.position(index) else { return Vec::new() };
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(position) {
            bytes += entry.size_bytes();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// All entries from `index` on.
    pub(super) fn entries_from(&self, index: u64) -> Vec<LogEntry> {
        self.batch(index, usize::MAX)
    }

    /// Configuration in force at an entry, and the index of the entry that set it (0 for the base).
    pub(super) fn configuration_at(&self, index: u64) -> (ClusterConfiguration, u64) {
        let found = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Members(members) if entry.index <= index => {
                Some((members.clone(), entry.index))
            }
            _ => None,
        });
        found.unwrap_or_else(|| (self.base_configuration.clone(), 0))
    }

    /// Configuration in force at the last entry, and the index of the entry that set it (0 for the
    /// base).
    pub(super) fn latest_configuration(&self) -> (ClusterConfiguration, u64) {
        self.configuration_at(u64::MAX)
    }

    /// First index above the base of the consecutive entries that have the term of `index`.
    pub(super) fn first_index_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else { return index };
        let mut first = index;
        while first > self.base_index + 1 && self.term(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Index to compact up to, so that the latest entries up to `index` are retained within a limit
    /// on their number and total size.
    pub(super) fn retained_base(&self, index: u64, max_entries: u64, max_bytes: usize) -> u64 {
        let mut base = index;
        let mut bytes = 0;
        while base > self.base_index && index - base < max_entries {
            bytes += self.entry(base).map_or(0, LogEntry::size_bytes);
            if bytes > max_bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Removes the entries up to `index`, which must be in the log.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let (configuration, _) = self.configuration_at(index);
        while self.entries.front().is_some_and(|e| e.index <= index) {
            self.entries.pop_front();
        }
        self.base_index = index;
        self.base_term = term;
        self.base_configuration = configuration;
    }

    /// Replaces the whole log with a snapshot.
    pub(super) fn reset_to(&mut self, snapshot: &Snapshot) {
        self.entries.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.base_configuration = snapshot.configuration.clone();
    }
}
