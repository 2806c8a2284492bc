use std::sync::Mutex;
use std::sync::MutexGuard;

use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::headers;
use tarragon_policy::quarantine::CrashLedger;
use tarragon_policy::quarantine::CrashRecord;
use tarragon_policy::quarantine::QuarantineSettings;
use tarragon_policy::quarantine::RequestFingerprint;
use tarragon_policy::quarantine::Suspicion;
use tracing::debug;
use tracing::info;

use crate::datapath::Clock;

/// Maximum number of records in one message, about 2 KB.
const MAX_TOLD_RECORDS: usize = 64;

/// Time for which a change is told with every message, in µs. Later it is told with heartbeats only,
/// which each new connection begins with.
const NEWS_US: u64 = 10_000_000;

/// Ledger of crashes that the entry, the gate and the peer connections of a node share.
pub(crate) struct SharedLedger {
    ledger: Mutex<CrashLedger>,
    clock: Clock,
}

impl SharedLedger {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { ledger: Mutex::new(CrashLedger::new(QuarantineSettings::default())), clock }
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no thread panics while it holds the lock")
    }

    /// How likely the request is to crash its server.
    pub(crate) fn suspicion(&self, fingerprint: RequestFingerprint) -> Suspicion {
        self.lock().suspicion(fingerprint)
    }

    /// Adds to the headers of a message to another node what is new, and what is known of the request
    /// of the message.
    pub(crate) fn write_news(&self, map: &mut HeaderMap, about: Option<RequestFingerprint>) {
        let ledger = self.lock();
        if ledger.is_empty() {
            return;
        }
        let since_us = self.clock.now_us().saturating_sub(NEWS_US);
        let known = about.and_then(|fingerprint| ledger.record(fingerprint));
        let news = ledger.records(MAX_TOLD_RECORDS, since_us);
        let news = news.into_iter().filter(|record| Some(record.fingerprint) != about);
        write_records(map, known.into_iter().chain(news));
    }

    /// Adds all that is known to the headers of a message, for nodes that have started since.
    pub(crate) fn write_all(&self, map: &mut HeaderMap) {
        write_records(map, self.lock().records(MAX_TOLD_RECORDS, 0).into_iter());
    }

    /// Takes over what the headers of a message from another node tell.
    pub(crate) fn read(&self, map: &HeaderMap) {
        let Some(text) = map.get(headers::CRASHES).and_then(|value| value.to_str().ok()) else {
            return;
        };
        let now_us = self.clock.now_us();
        let mut ledger = self.lock();
        for record in text.split(',') {
            match record.parse() {
                Ok(record) => ledger.merge(&record, now_us),
                Err(()) => debug!("gate: ignoring a malformed crash record: {record}"),
            }
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
        let suspects = self.lock().record_crash(crash, running, self.clock.now_us());
        for suspect in &suspects {
            let count = self.lock().record(*suspect).map_or(0, |record| record.crash_count());
            info!(
                crash,
                fingerprint = %suspect,
                crash_count = count,
                running = running.len(),
                suspects = suspects.len(),
                "gate: the backend server crashed while it ran the request"
            );
        }
    }

    /// Records that a backend server answered the request.
    pub(crate) fn record_answer(&self, fingerprint: RequestFingerprint) {
        let mut ledger = self.lock();
        if !ledger.is_empty() {
            ledger.record_answer(fingerprint, self.clock.now_us());
        }
    }
}

fn write_records<'a>(map: &mut HeaderMap, records: impl Iterator<Item = &'a CrashRecord>) {
    let records: Vec<_> = records.map(ToString::to_string).collect();
    if !records.is_empty() {
        let value = HeaderValue::from_str(&records.join(","));
        map.insert(headers::CRASHES, value.expect("records are visible ASCII"));
    }
}
