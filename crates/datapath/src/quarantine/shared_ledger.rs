use std::sync::Mutex;
use std::sync::MutexGuard;

use tarragon_policy::quarantine::CrashLedger;
use tarragon_policy::quarantine::QuarantineSettings;
use tarragon_policy::quarantine::RequestFingerprint;
use tracing::info;

use crate::datapath::Clock;

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
