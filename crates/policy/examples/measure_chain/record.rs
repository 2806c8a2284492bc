use std::collections::HashMap;

use crate::deployment::PATIENCE_US;

/// Length of the windows in which requests are counted, in µs.
pub const WINDOW_US: u64 = 250_000;

/// Counts of one window and rank.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    offered: u64,
    /// Requests first sent in this window that were answered in time.
    kept: u64,
    /// Requests answered in this window, in time.
    answered: u64,
}

/// What callers asked for and what they got.
#[derive(Default)]
pub struct Record {
    windows: HashMap<(u64, u8), Window>,
    /// Arrivals at gates.
    pub attempts: u64,
}

impl Record {
    fn window(&mut self, rank: u8, time_us: u64) -> &mut Window {
        self.windows.entry((time_us / WINDOW_US, rank)).or_default()
    }

    pub fn offered(&mut self, rank: u8, time_us: u64) {
        self.window(rank, time_us).offered += 1;
    }

    pub fn answered(&mut self, rank: u8, first_us: u64, time_us: u64) {
        if time_us - first_us <= PATIENCE_US {
            self.window(rank, first_us).kept += 1;
            self.window(rank, time_us).answered += 1;
        }
    }

    fn sum(&self, range: std::ops::Range<u64>, rank: Option<u8>) -> Window {
        let mut sum = Window::default();
        for ((at, of), window) in &self.windows {
            let time_us = at * WINDOW_US;
            if range.contains(&time_us) && rank.is_none_or(|rank| rank == *of) {
                sum.offered += window.offered;
                sum.kept += window.kept;
                sum.answered += window.answered;
            }
        }
        sum
    }

    /// Whole requests answered in time, per second.
    pub fn goodput(&self, range: std::ops::Range<u64>) -> f64 {
        let seconds = (range.end - range.start) as f64 / 1e6;
        self.sum(range, None).answered as f64 / seconds
    }

    /// Share of the requests first sent in a time range that were answered in time.
    pub fn kept(&self, range: std::ops::Range<u64>, rank: Option<u8>) -> f64 {
        let sum = self.sum(range, rank);
        sum.kept as f64 / sum.offered.max(1) as f64
    }
}
