use std::time::Duration;
use std::time::Instant;

/// Lets one log line through per period and counts the others.
#[derive(Debug)]
pub(crate) struct LogLimit {
    period: Duration,
    last: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    pub fn new(period: Duration) -> Self {
        Self { period, last: None, suppressed: 0 }
    }

    /// Number of lines suppressed since the last one if a line may be written now.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now.duration_since(last) < self.period) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
