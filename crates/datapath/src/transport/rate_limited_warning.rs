use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tracing::warn;

use crate::datapath::Clock;

/// Least time between two log lines, in µs.
const INTERVAL_US: u64 = 1_000_000;

/// Logs events that a stranger or a faulty server causes, at a bounded rate, so that a flood of
/// them does not fill the log.
#[derive(Debug)]
pub(crate) struct RateLimitedWarning {
    clock: Clock,
    next_us: AtomicU64,
    unlogged: AtomicU64,
}

impl RateLimitedWarning {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, next_us: AtomicU64::new(0), unlogged: AtomicU64::new(0) }
    }

    /// Logs an event, or counts it if the last line is too recent.
    pub(crate) fn record(&self, what: &str) {
        let now_us = self.clock.now_us();
        let next_us = self.next_us.load(Ordering::Relaxed);
        let is_due = now_us >= next_us
            && self
                .next_us
                .compare_exchange(
                    next_us,
                    now_us + INTERVAL_US,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok();
        if is_due {
            let unlogged = self.unlogged.swap(0, Ordering::Relaxed);
            warn!("{what}; {unlogged} more since the last line");
        } else {
            self.unlogged.fetch_add(1, Ordering::Relaxed);
        }
    }
}
