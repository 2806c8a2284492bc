use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::quarantine::CrashRecord;
use crate::quarantine::RequestFingerprint;
use crate::quarantine::ToldRecord;
use crate::quarantine::MAX_CRASHES;

/// Settings of a [`CrashLedger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Maximum number of requests with a record.
    pub max_records: usize,
    /// Time for which a record is kept after the latest crash, in ms. After it the request is tried
    /// again, since the servers may have been repaired.
    pub retention_ms: u64,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self { max_records: 4_096, retention_ms: 900_000 }
    }
}

/// How likely a request is to crash the server that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// At most one server has crashed under the request.
    Low,
    /// One more crash puts the request in quarantine. A gate runs one such request at a time, so
    /// that a crash tells which of them is the cause.
    High,
    /// The request must not run.
    Quarantined,
}

/// Number of times that a node tells a change to others. With 2,200 nodes that choose their peers at
/// random, ln(2,200) = 8 times reach almost all; calls prefer some peers, so there are more.
const MAX_TIMES_TOLD: u32 = 32;

#[derive(Debug)]
struct LedgerEntry {
    record: CrashRecord,
    changed_us: u64,
    /// Number of times that this node has told the record as it is now.
    times_told: u32,
}

impl LedgerEntry {
    fn told(&self, now_us: u64) -> ToldRecord {
        ToldRecord {
            // Rounded up, so that a record does not become younger each time it is told.
            age_ms: now_us.saturating_sub(self.changed_us).div_ceil(1_000),
            record: self.record.clone(),
        }
    }
}

/// Crashes of backend servers, by the requests that ran at the time.
///
/// A crash is held against every request that ran, since nothing tells which of them caused it. The
/// one that causes all the crashes is always among them, while most others ran at one of the crashes
/// only, and are cleared when they are answered elsewhere.
#[derive(Debug)]
pub struct CrashLedger {
    settings: QuarantineSettings,
    entries: HashMap<RequestFingerprint, LedgerEntry>,
    /// Requests whose records this node still tells others.
    changes: HashSet<RequestFingerprint>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, entries: HashMap::new(), changes: HashSet::new() }
    }

    /// Whether there is no record, as is usual.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.entries.get(&fingerprint).map_or(0, |entry| entry.record.crash_count())
    }

    /// How likely the request is to crash its server.
    pub fn suspicion(&self, fingerprint: RequestFingerprint) -> Suspicion {
        match self.crash_count(fingerprint) {
            count if count >= MAX_CRASHES => Suspicion::Quarantined,
            count if count + 1 == MAX_CRASHES => Suspicion::High,
            _ => Suspicion::Low,
        }
    }

    /// Records a crash of a server that ran these requests. Returns those that the crash is held
    /// against.
    pub fn record_crash(
        &mut self,
        crash: u32,
        running: &[RequestFingerprint],
        now_us: u64,
    ) -> Vec<RequestFingerprint> {
        let suspects: BTreeSet<_> = running.iter().copied().collect();
        for fingerprint in &suspects {
            let clearings = self.entries.get(fingerprint).map_or(0, |entry| entry.record.clearings);
            let record = CrashRecord::of_crash(*fingerprint, clearings, crash);
            self.merge(&record, now_us, now_us);
        }
        suspects.into_iter().collect()
    }

    /// Records that a server has answered the request, so that it did not cause the crashes so far.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint, now_us: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            if entry.record.clear() {
                entry.changed_us = now_us;
                entry.times_told = 0;
                self.changes.insert(fingerprint);
            }
        }
    }

    /// Adds what another node tells.
    pub fn merge_told(&mut self, told: &ToldRecord, now_us: u64) {
        let changed_us = now_us.saturating_sub(told.age_ms.saturating_mul(1_000));
        self.merge(&told.record, changed_us, now_us);
    }

    fn merge(&mut self, record: &CrashRecord, changed_us: u64, now_us: u64) {
        if let Some(entry) = self.entries.get_mut(&record.fingerprint) {
            if entry.record.merge(record) {
                entry.changed_us = entry.changed_us.max(changed_us);
                entry.times_told = 0;
                self.changes.insert(record.fingerprint);
            }
            return;
        }
        if self.entries.len() >= self.settings.max_records {
            self.expire(now_us);
            self.evict_bystander();
        }
        if self.entries.len() < self.settings.max_records {
            let entry = LedgerEntry { record: record.clone(), changed_us, times_told: 0 };
            self.entries.insert(record.fingerprint, entry);
            self.changes.insert(record.fingerprint);
        }
    }

    /// Whether there are changes that this node still tells others.
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Whether several servers have crashed under some request.
    pub fn has_suspects(&self) -> bool {
        self.entries.values().any(|entry| entry.record.crash_count() > 1)
    }

    /// Time since the record of a request changed, in ms.
    pub fn age_ms(&self, fingerprint: RequestFingerprint, now_us: u64) -> Option<u64> {
        let entry = self.entries.get(&fingerprint)?;
        Some(now_us.saturating_sub(entry.changed_us) / 1_000)
    }

    /// What is known of a request.
    pub fn record(&self, fingerprint: RequestFingerprint) -> Option<&CrashRecord> {
        self.entries.get(&fingerprint).map(|entry| &entry.record)
    }

    /// Records to tell another node with a message: what is known of the request that the message is
    /// about, and changes that have been told the fewest times, at most `max_records`.
    ///
    /// As in the dissemination component of SWIM (Das, Gupta, Motivala, 2002), a change is told a
    /// limited number of times by each node that hears of it, however late it does.
    pub fn news(
        &mut self,
        about: Option<RequestFingerprint>,
        max_records: usize,
        now_us: u64,
    ) -> Vec<ToldRecord> {
        let about = about.filter(|fingerprint| self.entries.contains_key(fingerprint));
        let changes = self.changes.iter().filter(|fingerprint| Some(**fingerprint) != about);
        let changes = changes.filter_map(|fingerprint| {
            let entry = self.entries.get(fingerprint)?;
            let count = entry.record.crash_count();
            Some((Reverse(count), entry.times_told, Reverse(entry.changed_us), *fingerprint))
        });
        let mut changes: Vec<_> = changes.collect();
        let left = max_records.saturating_sub(usize::from(about.is_some()));
        if left < changes.len() {
            changes.select_nth_unstable(left);
            changes.truncate(left);
        }
        let changes = changes.into_iter().map(|(.., fingerprint)| fingerprint);
        about.into_iter().chain(changes).filter_map(|f| self.tell(f, now_us)).collect()
    }

    /// Returns a record to tell, and counts that it was told.
    fn tell(&mut self, fingerprint: RequestFingerprint, now_us: u64) -> Option<ToldRecord> {
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.times_told = entry.times_told.saturating_add(1);
        if entry.times_told >= MAX_TIMES_TOLD {
            self.changes.remove(&fingerprint);
        }
        Some(entry.told(now_us))
    }

    /// Records to tell nodes that have started since: those of requests under which several servers
    /// have crashed, those with the most crashes first and then the newest, at most `max_records`.
    pub fn suspects(&self, max_records: usize, now_us: u64) -> Vec<ToldRecord> {
        let suspects = self.entries.values().filter(|entry| entry.record.crash_count() > 1);
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_unstable_by_key(|entry| {
            let count = entry.record.crash_count();
            (Reverse(count), Reverse(entry.changed_us), entry.record.fingerprint)
        });
        suspects.into_iter().take(max_records).map(|entry| entry.told(now_us)).collect()
    }

    /// Drops the record of a request that is hardly suspected, if the ledger is full: the oldest of the
    /// cleared ones, or else the oldest with a single crash.
    fn evict_bystander(&mut self) {
        if self.entries.len() < self.settings.max_records {
            return;
        }
        let bystanders = self.entries.iter().filter(|(_, entry)| entry.record.crash_count() <= 1);
        let oldest = bystanders.min_by_key(|(fingerprint, entry)| {
            (entry.record.crash_count(), entry.changed_us, **fingerprint)
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
            self.changes.remove(&fingerprint);
        }
    }

    /// Drops the records that are no longer kept.
    pub fn expire(&mut self, now_us: u64) {
        let retention_us = self.settings.retention_ms * 1_000;
        self.entries.retain(|_, entry| now_us.saturating_sub(entry.changed_us) < retention_us);
        self.changes.retain(|fingerprint| self.entries.contains_key(fingerprint));
    }
}

#[cfg(test)]
mod tests;
