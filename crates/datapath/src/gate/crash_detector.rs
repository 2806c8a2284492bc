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
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;

use crate::quarantine::SharedLedger;
use crate::transport::CallFailure;

/// Time in which the backend server on the same host accepts or refuses a connection. A server that
/// does neither may only be busy.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a connection that was accepted must stay open to show that the server runs. The
/// operating system closes those of a process that ends one after the other, and accepts new ones until it
/// comes to the listener.
const PROBE_HOLD: Duration = Duration::from_millis(30);

/// Maximum number of probes of a server that accepts connections and closes them at once.
const MAX_PROBES: usize = 4;

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
    last_check: tokio::sync::Mutex<LastCheck>,
    ledger: Arc<SharedLedger>,
    /// Tracks the checks after responses that broke off.
    tracker: TaskTracker,
}

/// Times of the latest checks whether the server has crashed.
#[derive(Default)]
struct LastCheck {
    /// Start of the latest check.
    started_at: Option<Instant>,
    /// End of the latest check that found a crash.
    crashed_at: Option<Instant>,
}

#[derive(Default)]
struct RunningRequests {
    next_run: u64,
    fingerprints: HashMap<u64, RequestFingerprint>,
}

impl CrashDetector {
    pub(crate) fn new(ledger: Arc<SharedLedger>, tracker: TaskTracker) -> Self {
        let (running, last_check) = (Mutex::default(), tokio::sync::Mutex::default());
        Self { running, last_check, ledger, tracker }
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
        self: &Arc<Self>,
        fingerprint: Option<RequestFingerprint>,
        address: SocketAddr,
    ) -> Result<CrashDetectorRun, CallFailure> {
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
        Ok(CrashDetectorRun { detector: Arc::clone(self), run, fingerprint, address })
    }

    /// Checks whether the server has crashed, after a request lost its connection to it. All
    /// requests that ran then are still registered, since each of them waits for this check.
    async fn check(&self, address: SocketAddr) {
        let lost_at = Instant::now();
        let mut last_check = self.last_check.lock().await;
        // Many connections may break together; one check that begins after that answers for all.
        let is_checked = last_check.started_at.is_some_and(|started_at| started_at >= lost_at);
        if is_checked || last_check.crashed_at.is_some_and(|at| at.elapsed() < CRASH_WINDOW) {
            return;
        }
        last_check.started_at = Some(Instant::now());
        if has_ended(address).await {
            last_check.crashed_at = Some(Instant::now());
            let running: Vec<_> = self.lock().fingerprints.values().copied().collect();
            self.ledger.record_crash(&running);
        }
    }
}

/// Whether nothing listens at the address any more.
async fn has_ended(address: SocketAddr) -> bool {
    for _ in 0..MAX_PROBES {
        match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(e)) => return e.kind() == ErrorKind::ConnectionRefused,
            Err(_) => return false,
            Ok(Ok(mut stream)) => {
                let closing = tokio::time::timeout(PROBE_HOLD, stream.read(&mut [0])).await;
                let is_closed = matches!(closing, Ok(Ok(0) | Err(_)));
                if !is_closed {
                    return false;
                }
            }
        }
    }
    false
}

/// A request that the backend server runs, until its response is complete.
pub(crate) struct CrashDetectorRun {
    detector: Arc<CrashDetector>,
    run: u64,
    fingerprint: Option<RequestFingerprint>,
    address: SocketAddr,
}

impl CrashDetectorRun {
    /// Ends the run with a complete response, which shows that the request crashes no server.
    pub(crate) fn end_with_answer(self) {
        if let Some(fingerprint) = self.fingerprint {
            self.detector.ledger.record_answer(fingerprint);
        }
    }

    /// Checks whether the server has crashed, after the request lost its connection to it.
    pub(crate) async fn check(&self) {
        self.detector.check(self.address).await;
    }

    /// Checks the same in the background, after the response broke off.
    pub(crate) fn check_in_background(self) {
        let tracker = self.detector.tracker.clone();
        tracker.spawn(async move { self.check().await });
    }
}

impl Drop for CrashDetectorRun {
    fn drop(&mut self) {
        self.detector.lock().fingerprints.remove(&self.run);
    }
}

#[cfg(test)]
mod tests;
