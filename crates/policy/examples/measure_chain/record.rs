use std::collections::HashMap;

use crate::deployment::CALLER_TIME_LIMIT_US;

/// Length of a window in which requests are counted, in µs.
pub const WINDOW_US: u64 = 250_000;

/// Request counts of one window and rank.
#[derive(Debug, Clone, Copy, Default)]
struct WindowCounts {
    /// Requests first sent in this window.
    offered: u64,
    /// Requests first sent in this window that were answered in time.
    offered_in_time: u64,
    /// Requests answered in this window, in time.
    answered_in_time: u64,
}

/// Requests of the callers and their answers.
#[derive(Default)]
pub struct Record {
    windows: HashMap<(u64, u8), WindowCounts>,
    /// Number of arrivals at gates.
    pub attempts: u64,
}

impl Record {
    fn window(&mut self, rank: u8, time_us: u64) -> &mut WindowCounts {
        self.windows.entry((time_us / WINDOW_US, rank)).or_default()
    }

    pub fn record_offered(&mut self, rank: u8, time_us: u64) {
        self.window(rank, time_us).offered += 1;
    }

    pub fn record_answered(&mut self, rank: u8, first_sent_us: u64, time_us: u64) {
        if time_us - first_sent_us <= CALLER_TIME_LIMIT_US {
            self.window(rank, first_sent_us).offered_in_time += 1;
            self.window(rank, time_us).answered_in_time += 1;
        }
    }

    fn sum(&self, range: std::ops::Range<u64>, rank: Option<u8>) -> WindowCounts {
        let mut sum = WindowCounts::default();
        for ((index, window_rank), window) in &self.windows {
            let time_us = index * WINDOW_US;
            if range.contains(&time_us) && rank.is_none_or(|rank| rank == *window_rank) {
                sum.offered += window.offered;
                sum.offered_in_time += window.offered_in_time;
                sum.answered_in_time += window.answered_in_time;
            }
        }
        sum
    }

    /// Number of requests answered in time, per second.
    pub fn goodput(&self, range: std::ops::Range<u64>) -> f64 {
        let seconds = (range.end - range.start) as f64 / 1e6;
        self.sum(range, None).answered_in_time as f64 / seconds
    }

    /// Share of the requests first sent in a time range that were answered in time.
    pub fn share_in_time(&self, range: std::ops::Range<u64>, rank: Option<u8>) -> f64 {
        let sum = self.sum(range, rank);
        sum.offered_in_time as f64 / sum.offered.max(1) as f64
    }
}
