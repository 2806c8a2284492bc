use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;

use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::headers;
use tarragon_policy::quarantine::CrashLedger;
use tarragon_policy::quarantine::QuarantineSettings;
use tarragon_policy::quarantine::RequestFingerprint;
use tarragon_policy::quarantine::Suspicion;
use tarragon_policy::quarantine::ToldRecord;
use tarragon_policy::quarantine::MAX_CRASHES;
use tokio::sync::Notify;
use tracing::debug;
use tracing::info;

use crate::datapath::Clock;
use crate::transport::LogRateLimiter;

/// Maximum number of new records in a message, about 3 KB.
const MAX_NEWS_RECORDS: usize = 64;

/// Maximum number of records in the first heartbeat on a connection, about 3 KB.
const MAX_SUSPECT_RECORDS: usize = 64;

/// Maximum number of requests that wait to be archived. Most of them only ran beside the request that
/// crashed the server, and never get into quarantine.
const MAX_UNARCHIVED: usize = 1_024;

/// Maximum average rate of log lines about requests that ran at a crash, and about those that are
/// sent after one, in lines per second each.
const MAX_CRASH_LOG_LINES_PER_S: u32 = 10;

/// What a node has to tell others about crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpreadState {
    /// There is nothing that others must know.
    Nothing,
    /// Nothing has changed lately, but nodes that were cut off may not know the suspects.
    Suspects,
    /// There are changes that have been told a few times only.
    Changes,
}

/// Ledger of crashes that the entry, the gate and the peer connections of a node share.
pub(crate) struct SharedLedger {
    ledger: Mutex<CrashLedger>,
    clock: Clock,
    /// Notified when there are changes to tell others.
    changed: Notify,
    /// Requests that this node has to archive once they are in quarantine, or cleared after that.
    unarchived: Mutex<BTreeSet<RequestFingerprint>>,
    /// Notified when some of these may have to be archived.
    archivable: Notify,
    crash_log: LogRateLimiter,
    sending_log: LogRateLimiter,
}

impl SharedLedger {
    pub(crate) fn new(clock: Clock) -> Self {
        let ledger = Mutex::new(CrashLedger::new(QuarantineSettings::default()));
        let limiter = || LogRateLimiter::new(clock, MAX_CRASH_LOG_LINES_PER_S);
        Self {
            ledger,
            clock,
            changed: Notify::new(),
            unarchived: Mutex::default(),
            archivable: Notify::new(),
            crash_log: limiter(),
            sending_log: limiter(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no thread panics while it holds the lock")
    }

    /// How likely the request is to crash its server.
    pub(crate) fn suspicion(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.lock().suspicion(fingerprint)
    }

    /// Whether a server has crashed while it ran the request, and no answer has cleared it since.
    pub(crate) fn has_crashed(&self, fingerprint: RequestFingerprint) -> bool {
        self.lock().record(fingerprint).is_some_and(|record| record.crash_count() > 0)
    }

    /// Adds to the headers of a message to another node what is new, and what is known of the request
    /// of the message.
    pub(crate) fn write_news(&self, map: &mut HeaderMap, about: Option<RequestFingerprint>) {
        let mut ledger = self.lock();
        if !ledger.is_empty() {
            let now_us = self.clock.now_us();
            write_records(map, &ledger.news(about, MAX_NEWS_RECORDS, now_us));
        }
    }

    /// Adds to the headers of the first heartbeat on a connection, or of its response, what a node that
    /// has just started must know. The header is present even if that is nothing, which asks the peer
    /// for what it knows.
    pub(crate) fn write_suspects(&self, map: &mut HeaderMap) {
        map.insert(headers::CRASHES, HeaderValue::from_static(""));
        write_records(map, &self.lock().suspects(MAX_SUSPECT_RECORDS, self.clock.now_us()));
    }

    /// Takes over what the headers of a message from another node tell.
    pub(crate) fn read(&self, map: &HeaderMap) {
        let Some(text) = map.get(headers::CRASHES).and_then(|value| value.to_str().ok()) else {
            return;
        };
        let now_us = self.clock.now_us();
        let mut ledger = self.lock();
        for record in text.split_terminator(',') {
            match record.parse() {
                Ok(told) => ledger.merge_told(&told, now_us),
                Err(()) => debug!("gate: ignoring a malformed crash record: {record}"),
            }
        }
        self.notify_changes(&ledger);
        drop(ledger);
        self.notify_archivable();
    }

    fn lock_unarchived(&self) -> MutexGuard<'_, BTreeSet<RequestFingerprint>> {
        self.unarchived.lock().expect("no thread panics while it holds the lock")
    }

    /// Has the archiver look at the records that this node has to archive, if there are any.
    pub(crate) fn notify_archivable(&self) {
        if !self.lock_unarchived().is_empty() {
            self.archivable.notify_one();
        }
    }

    /// Waits until records may have to be archived.
    pub(crate) async fn wait_for_archivable(&self) {
        self.archivable.notified().await;
    }

    /// Records to archive now: requests in quarantine, and those that were cleared.
    pub(crate) fn archivable(&self) -> Vec<ToldRecord> {
        let (unarchived, ledger) = (self.lock_unarchived(), self.lock());
        let now_us = self.clock.now_us();
        let told = |fingerprint: &RequestFingerprint| {
            let record = ledger.record(*fingerprint)?.clone();
            let is_final = record.crash_count() >= MAX_CRASHES || record.crash_count() == 0;
            let age_ms = ledger.age_ms(*fingerprint, now_us)?;
            is_final.then_some(ToldRecord { age_ms, record })
        };
        unarchived.iter().filter_map(told).take(MAX_NEWS_RECORDS).collect()
    }

    /// Records that these records are archived.
    pub(crate) fn mark_archived(&self, records: &[ToldRecord]) {
        let mut unarchived = self.lock_unarchived();
        for told in records {
            unarchived.remove(&told.record.fingerprint);
        }
    }

    /// Takes over the records of the archive.
    pub(crate) fn merge_archived(&self, records: &[ToldRecord]) {
        let now_us = self.clock.now_us();
        let mut ledger = self.lock();
        for told in records {
            ledger.merge_told(told, now_us);
        }
        ledger.expire(now_us);
        self.notify_changes(&ledger);
    }

    /// Remembers to archive the records of these requests.
    fn archive_later(&self, fingerprints: impl IntoIterator<Item = RequestFingerprint>) {
        let mut unarchived = self.lock_unarchived();
        for fingerprint in fingerprints {
            if unarchived.len() >= MAX_UNARCHIVED {
                unarchived.pop_first();
            }
            unarchived.insert(fingerprint);
        }
        drop(unarchived);
        self.notify_archivable();
    }

    fn notify_changes(&self, ledger: &CrashLedger) {
        if ledger.has_changes() {
            self.changed.notify_one();
        }
    }

    /// What this node has to tell others that it may not call.
    pub(crate) fn spread_state(&self) -> SpreadState {
        let ledger = self.lock();
        match (ledger.has_changes(), ledger.has_suspects()) {
            (true, _) => SpreadState::Changes,
            (false, true) => SpreadState::Suspects,
            (false, false) => SpreadState::Nothing,
        }
    }

    /// Waits for changes to tell others.
    pub(crate) async fn wait_for_changes(&self) {
        self.changed.notified().await;
    }

    /// Logs that a request under which servers have crashed is sent to the backend server. The age
    /// tells how old the knowledge is that let it pass.
    pub(crate) fn log_sending(&self, fingerprint: RequestFingerprint, request: &str) {
        let (crash_count, age_ms) = {
            let ledger = self.lock();
            let record = ledger.record(fingerprint).filter(|record| record.crash_count() > 0);
            let Some(record) = record else { return };
            (record.crash_count(), ledger.age_ms(fingerprint, self.clock.now_us()))
        };
        if let Some(unlogged) = self.sending_log.admit() {
            info!(
                request,
                fingerprint = %fingerprint,
                crash_count,
                age_ms,
                unlogged,
                "gate: a request under which servers crashed is sent to the backend server"
            );
        }
    }

    /// Drops the records that are no longer kept.
    pub(crate) fn expire(&self) {
        let mut ledger = self.lock();
        if !ledger.is_empty() {
            ledger.expire(self.clock.now_us());
        }
    }

    /// Records that the backend server crashed while it ran these requests.
    pub(crate) fn record_crash(&self, running: &[RequestFingerprint]) {
        let crash = rand::random();
        let suspects = {
            let mut ledger = self.lock();
            let suspects = ledger.record_crash(crash, running, self.clock.now_us());
            self.notify_changes(&ledger);
            suspects
        };
        self.archive_later(suspects.iter().copied());
        if suspects.is_empty() {
            info!(crash, "gate: the backend server crashed and no request is charged");
        }
        for suspect in &suspects {
            let Some(unlogged) = self.crash_log.admit() else { continue };
            let count = self.lock().record(*suspect).map_or(0, |record| record.crash_count());
            info!(
                crash,
                fingerprint = %suspect,
                crash_count = count,
                running = running.len(),
                suspects = suspects.len(),
                unlogged,
                "gate: the backend server crashed while it ran the request"
            );
        }
    }

    /// Records that a backend server answered the request.
    pub(crate) fn record_answer(&self, fingerprint: RequestFingerprint) {
        let mut ledger = self.lock();
        if ledger.is_empty() {
            return;
        }
        let is_quarantined = ledger.suspicion(fingerprint) == Suspicion::Quarantined;
        ledger.record_answer(fingerprint, self.clock.now_us());
        self.notify_changes(&ledger);
        drop(ledger);
        if is_quarantined {
            self.archive_later([fingerprint]);
        }
    }
}

fn write_records(map: &mut HeaderMap, records: &[ToldRecord]) {
    if !records.is_empty() {
        let texts: Vec<_> = records.iter().map(ToString::to_string).collect();
        let value = HeaderValue::from_str(&texts.join(","));
        map.insert(headers::CRASHES, value.expect("records are visible ASCII"));
    }
}
