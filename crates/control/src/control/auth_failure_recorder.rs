use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarragon_datapath::datapath::Metrics;
use tracing::warn;

/// Minimum time between two log lines of one recorder, so that a flood of messages does not fill
/// the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts messages that failed authentication and logs them at a limited rate.
pub struct AuthFailureRecorder {
    metric: &'static str,
    metrics: Arc<dyn Metrics>,
    log_state: Mutex<LogState>,
}

#[derive(Default)]
struct LogState {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl AuthFailureRecorder {
    /// Creates a recorder that counts in the metric of this name.
    pub fn new(metric: &'static str, metrics: Arc<dyn Metrics>) -> Self {
        Self { metric, metrics, log_state: Mutex::default() }
    }

    /// Records a failure. `message` is only called if a line is logged.
    pub fn record(&self, message: impl FnOnce() -> String) {
        self.metrics.count(self.metric, 1);
        let now = Instant::now();
        let mut log_state =
            self.log_state.lock().expect("no thread panics while it holds the lock");
        if log_state.last_logged.is_some_and(|last| now.duration_since(last) < LOG_INTERVAL) {
            log_state.suppressed += 1;
            return;
        }
        log_state.last_logged = Some(now);
        let suppressed = std::mem::take(&mut log_state.suppressed);
        warn!("{} ({suppressed} suppressed)", message());
    }
}
