use std::sync::Mutex;

use crate::datapath::Clock;

/// Maximum number of lines in a burst after an idle time.
const BURST_LINES: f64 = 100.0;

/// Limits the rate of log lines about single requests with a token bucket, so that a flood of
/// requests neither fills the log nor spends on logging the CPU time that serving them needs.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    clock: Clock,
    lines_per_s: f64,
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    available_lines: f64,
    refilled_us: u64,
    suppressed_lines: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that admits on average at most `lines_per_s` lines per second.
    pub(crate) fn new(clock: Clock, lines_per_s: u32) -> Self {
        let state = BucketState {
            available_lines: BURST_LINES,
            refilled_us: clock.now_us(),
            suppressed_lines: 0,
        };
        Self { clock, lines_per_s: f64::from(lines_per_s), state: Mutex::new(state) }
    }

    /// Admits a line and returns how many lines were suppressed since the last admitted one; or
    /// counts the line as suppressed and returns `None`.
    pub(crate) fn admit(&self) -> Option<u64> {
        self.admit_at(self.clock.now_us())
    }

    fn admit_at(&self, now_us: u64) -> Option<u64> {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        let elapsed_s = now_us.saturating_sub(state.refilled_us) as f64 / 1e6;
        state.available_lines =
            (state.available_lines + elapsed_s * self.lines_per_s).min(BURST_LINES);
        state.refilled_us = now_us;
        if state.available_lines < 1.0 {
            state.suppressed_lines += 1;
            return None;
        }
        state.available_lines -= 1.0;
        Some(std::mem::take(&mut state.suppressed_lines))
    }
}

#[cfg(test)]
mod tests;
