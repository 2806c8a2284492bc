use std::time::Duration;
use std::time::Instant;

/// Monotonic clock of the data path, in µs since the clock was created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock {
    /// Current time, in µs.
    pub fn now_us(&self) -> u64 {
        micros(self.origin.elapsed())
    }

    /// Converts a time of this clock, in µs, to an [`Instant`].
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.origin + Duration::from_micros(at_us)
    }
}

/// Converts a duration to µs; saturates at `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Time remaining until a deadline, in µs; 0 if the deadline has passed.
pub(crate) fn remaining_us(deadline: Instant) -> u64 {
    micros(deadline.saturating_duration_since(Instant::now()))
}
