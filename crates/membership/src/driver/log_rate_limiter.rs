use std::time::Duration;
use std::time::Instant;

/// Admits one log line per period and counts the suppressed ones.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    period: Duration,
    last_admitted: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimiter {
    pub fn new(period: Duration) -> Self {
        Self { period, last_admitted: None, suppressed: 0 }
    }

    /// If a line may be written now, returns the number of lines suppressed since the previous one.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.last_admitted.is_some_and(|last| now.duration_since(last) < self.period) {
            self.suppressed += 1;
            return None;
        }
        self.last_admitted = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
