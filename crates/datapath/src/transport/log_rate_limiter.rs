use std::sync::Mutex;

use crate::datapath::Clock;

/// Lines that may be written at once after a quiet time.
const BURST_LINES: f64 = 100.0;

/// Bounds the lines about single requests, so that a flood of requests neither fills the log nor
/// costs the processor that would serve them.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    clock: Clock,
    lines_per_s: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lines: f64,
    filled_us: u64,
    unlogged: u64,
}

impl LogRateLimiter {
    /// Creates a log of at most `lines_per_s` lines a second on average.
    pub(crate) fn new(clock: Clock, lines_per_s: u32) -> Self {
        let state = State { lines: BURST_LINES, filled_us: clock.now_us(), unlogged: 0 };
        Self { clock, lines_per_s: f64::from(lines_per_s), state: Mutex::new(state) }
    }

    /// Allows a line, or counts it as left out. A line tells how many were left out before it.
    pub(crate) fn admit(&self) -> Option<u64> {
        self.admit_at(self.clock.now_us())
    }

    fn admit_at(&self, now_us: u64) -> Option<u64> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let passed_s = now_us.saturating_sub(state.filled_us) as f64 / 1e6;
        state.lines = (state.lines + passed_s * self.lines_per_s).min(BURST_LINES);
        state.filled_us = now_us;
        if state.lines < 1.0 {
            state.unlogged += 1;
            return None;
        }
        state.lines -= 1.0;
        Some(std::mem::take(&mut state.unlogged))
    }
}

#[cfg(test)]
mod tests;
