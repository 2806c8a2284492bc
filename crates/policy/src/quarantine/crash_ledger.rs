use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

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

#[derive(Debug)]
struct LedgerEntry {
    record: CrashRecord,
    changed_us: u64,
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
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, entries: HashMap::new() }
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
        let running: BTreeSet<_> = running.iter().copied().collect();
        let is_cleared = |fingerprint: &RequestFingerprint| {
            self.entries.get(fingerprint).is_some_and(|entry| entry.record.is_answered)
        };
        let suspects: Vec<_> =
            running.into_iter().filter(|fingerprint| !is_cleared(fingerprint)).collect();
        for fingerprint in &suspects {
            let crashes = BTreeSet::from([crash]);
            let record = CrashRecord { fingerprint: *fingerprint, crashes, is_answered: false };
            self.merge(&record, now_us, now_us);
        }
        suspects
    }

    /// Records that a server has answered the request.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint, now_us: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            if !entry.record.is_answered {
                entry.record.is_answered = true;
                entry.changed_us = now_us;
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
            }
            return;
        }
        if self.entries.len() >= self.settings.max_records {
            self.expire(now_us);
            self.evict_bystander();
        }
        if self.entries.len() < self.settings.max_records {
            let entry = LedgerEntry { record: record.clone(), changed_us };
            self.entries.insert(record.fingerprint, entry);
        }
    }

    /// What is known of a request.
    pub fn record(&self, fingerprint: RequestFingerprint) -> Option<&CrashRecord> {
        self.entries.get(&fingerprint).map(|entry| &entry.record)
    }

    /// Records to tell other nodes with a message about a request: what is known of it and what has
    /// changed within `max_age_ms`, at most `max_records`.
    pub fn news(
        &self,
        about: Option<RequestFingerprint>,
        max_age_ms: u64,
        max_records: usize,
        now_us: u64,
    ) -> Vec<ToldRecord> {
        let since_us = now_us.saturating_sub(max_age_ms * 1_000);
        self.select(max_records, now_us, |entry| {
            entry.changed_us >= since_us || Some(entry.record.fingerprint) == about
        })
    }

    /// Records to tell nodes that have started since: those of requests under which several servers
    /// have crashed, at most `max_records`.
    pub fn suspects(&self, max_records: usize, now_us: u64) -> Vec<ToldRecord> {
        self.select(max_records, now_us, |entry| entry.record.crash_count() > 1)
    }

    /// Selects records, those with the most crashes first and then the newest.
    fn select(
        &self,
        max_records: usize,
        now_us: u64,
        is_selected: impl Fn(&LedgerEntry) -> bool,
    ) -> Vec<ToldRecord> {
        let mut entries: Vec<_> =
            self.entries.values().filter(|entry| is_selected(entry)).collect();
        entries.sort_unstable_by_key(|entry| {
            let count = entry.record.crash_count();
            (Reverse(count), Reverse(entry.changed_us), entry.record.fingerprint)
        });
        let told = entries.into_iter().take(max_records).map(|entry| ToldRecord {
            // Rounded up, so that a record does not become younger each time it is told.
            age_ms: now_us.saturating_sub(entry.changed_us).div_ceil(1_000),
            record: entry.record.clone(),
        });
        told.collect()
    }

    /// Drops the oldest record of a request that is hardly suspected, if the ledger is full.
    fn evict_bystander(&mut self) {
        if self.entries.len() < self.settings.max_records {
            return;
        }
        let bystanders = self.entries.iter().filter(|(_, entry)| entry.record.crash_count() <= 1);
        let oldest =
            bystanders.min_by_key(|(fingerprint, entry)| (entry.changed_us, **fingerprint));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Drops the records that are no longer kept.
    pub fn expire(&mut self, now_us: u64) {
        let retention_us = self.settings.retention_ms * 1_000;
        self.entries.retain(|_, entry| now_us.saturating_sub(entry.changed_us) < retention_us);
    }
}

#[cfg(test)]
mod tests;
