use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_policy::quarantine::RequestFingerprint;
use tarragon_policy::quarantine::Suspicion;
use tokio::net::TcpStream;

use crate::quarantine::SharedLedger;
use crate::transport::CallFailure;

/// Time in which the backend server on the same host accepts or refuses a connection. A server that
/// does neither may only be busy.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time in which requests that lose their connections belong to the same crash. A server takes
/// longer to start.
const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time after which a caller should send a suspected request again, in ms, if another one runs.
const SUSPECT_RETRY_AFTER_MS: u64 = 700;

/// Detects crashes of the backend server, and which requests it ran at the time.
///
/// A broken connection alone is no crash. The server has ended if it then refuses connections.
pub(crate) struct CrashDetector {
    running: Mutex<RunningRequests>,
    last_crash: tokio::sync::Mutex<Option<Instant>>,
    ledger: Arc<SharedLedger>,
}

#[derive(Default)]
struct RunningRequests {
    next_run: u64,
    fingerprints: HashMap<u64, RequestFingerprint>,
}

impl CrashDetector {
    pub(crate) fn new(ledger: Arc<SharedLedger>) -> Self {
        Self { running: Mutex::default(), last_crash: tokio::sync::Mutex::default(), ledger }
    }

    fn lock(&self) -> MutexGuard<'_, RunningRequests> {
        self.running.lock().expect("no thread panics while it holds the lock")
    }

    /// Records that the server runs a request until the returned guard is dropped.
    ///
    /// # Errors
    /// `Shed` if the request may crash the server and another such request runs. Only one at a time
    /// runs, so that a crash tells which of them is the cause.
    pub(crate) fn start_run(
        &self,
        fingerprint: Option<RequestFingerprint>,
    ) -> Result<CrashDetectorRun<'_>, CallFailure> {
        let mut running = self.lock();
        let is_suspect = |fingerprint| self.ledger.suspicion(fingerprint) >= Suspicion::High;
        if fingerprint.is_some_and(is_suspect)
            && running.fingerprints.values().any(|other| is_suspect(*other))
        {
            return Err(CallFailure::retry_after(Reason::Shed, SUSPECT_RETRY_AFTER_MS));
        }
        let run = running.next_run;
        running.next_run += 1;
        if let Some(fingerprint) = fingerprint {
            running.fingerprints.insert(run, fingerprint);
        }
        Ok(CrashDetectorRun { detector: self, run })
    }

    /// Checks whether the server has crashed, after a request lost its connection to it. All
    /// requests that ran then are still registered, since each of them waits for this check.
    pub(crate) async fn check(&self, address: SocketAddr) {
        let mut last_crash = self.last_crash.lock().await;
        if last_crash.is_some_and(|at| at.elapsed() < CRASH_WINDOW) {
            return;
        }
        let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let is_refused =
            matches!(connecting, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
        if is_refused {
            *last_crash = Some(Instant::now());
            let running: Vec<_> = self.lock().fingerprints.values().copied().collect();
            self.ledger.record_crash(&running);
        }
    }
}

/// A request that the backend server runs.
pub(crate) struct CrashDetectorRun<'a> {
    detector: &'a CrashDetector,
    run: u64,
}

impl Drop for CrashDetectorRun<'_> {
    fn drop(&mut self) {
        self.detector.lock().fingerprints.remove(&self.run);
    }
}
