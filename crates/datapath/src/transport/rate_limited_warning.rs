use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tracing::warn;

use crate::datapath::Clock;

/// Minimum time between two log lines, in µs.
const INTERVAL_US: u64 = 1_000_000;

/// Logs events that an unauthenticated client or a faulty server can cause, at a limited rate, so
/// that a flood of them does not fill the log.
#[derive(Debug)]
pub struct RateLimitedWarning {
    clock: Clock,
    next_line_us: AtomicU64,
    suppressed_count: AtomicU64,
}

impl RateLimitedWarning {
    /// Creates a warning that has not been logged yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, next_line_us: AtomicU64::new(0), suppressed_count: AtomicU64::new(0) }
    }

    /// Logs an event, or only counts it if the last line was logged less than the interval ago.
    pub fn record(&self, event: &str) {
        let now_us = self.clock.now_us();
        let next_line_us = self.next_line_us.load(Ordering::Relaxed);
        let is_due = now_us >= next_line_us
            && self
                .next_line_us
                .compare_exchange(
                    next_line_us,
                    now_us + INTERVAL_US,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok();
        if is_due {
            let suppressed_count = self.suppressed_count.swap(0, Ordering::Relaxed);
            warn!("{event}; {suppressed_count} more since the last line");
        } else {
            self.suppressed_count.fetch_add(1, Ordering::Relaxed);
        }
    }
}
