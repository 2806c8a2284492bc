use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tarragon_datapath::datapath::Metrics;
use tracing::warn;

/// Least time between two log lines about refusals of one kind, so that a flood of them does not
/// fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts messages that are refused for lack of a key and logs them at a bounded rate.
pub struct AuthFailureRecorder {
    metric: &'static str,
    metrics: Arc<dyn Metrics>,
    logged: Mutex<Logged>,
}

#[derive(Default)]
struct Logged {
    last: Option<Instant>,
    suppressed: u64,
}

impl AuthFailureRecorder {
    /// Counts under the name `metric`.
    pub fn new(metric: &'static str, metrics: Arc<dyn Metrics>) -> Self {
        Self { metric, metrics, logged: Mutex::default() }
    }

    /// Records a refusal, described as one line.
    pub fn record(&self, line: impl FnOnce() -> String) {
        self.metrics.count(self.metric, 1);
        let now = Instant::now();
        let mut logged = self.logged.lock().expect("no holder of the lock panics");
        if logged.last.is_some_and(|last| now.duration_since(last) < LOG_INTERVAL) {
            logged.suppressed += 1;
            return;
        }
        logged.last = Some(now);
        let suppressed = std::mem::take(&mut logged.suppressed);
        warn!("{} ({suppressed} more)", line());
    }
}
