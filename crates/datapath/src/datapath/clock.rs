use std::time::Duration;
use std::time::Instant;

/// Monotonic time of the data path, in µs since the node started.
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
    /// Present time, in µs.
    pub fn now_us(&self) -> u64 {
        micros(self.origin.elapsed())
    }

    /// The moment that the policies know as `at_us`.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.origin + Duration::from_micros(at_us)
    }
}

/// Length of a time span, in µs.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Time until a deadline, in µs; 0 if it has passed.
pub(crate) fn remaining_us(deadline: Instant) -> u64 {
    micros(deadline.saturating_duration_since(Instant::now()))
}
