/// Time constant of the average, in µs. Shorter than the window of a retry ratio, so that repeats
/// further up the chain reduce the retries of this hop before the window ends.
const AVERAGING_TIME_US: f64 = 1_000_000.0;

/// Number of non-repeated runs in the initial average, so that the first run does not dominate it.
const INITIAL_RUNS: f64 = 2.0;

/// Moving average of the share of the runs at one gate that repeat an earlier run.
///
/// The calls that a repeated run makes are repeats for the services downstream and use up their
/// retry ratios. A call cannot be attributed to its run, so each call of a backend server counts
/// with the mean share.
#[derive(Debug, Clone, Copy, Default)]
pub struct RepeatShare {
    decayed_runs: f64,
    decayed_repeats: f64,
    updated_us: u64,
}

impl RepeatShare {
    /// Counts a run. `share` is 1 for a run that repeats an earlier one, and otherwise the share
    /// that the caller's node reported for its runs.
    pub fn record_run(&mut self, share: f64, now_us: u64) {
        let decay = self.decay(now_us);
        self.decayed_runs = self.decayed_runs * decay + 1.0;
        self.decayed_repeats = self.decayed_repeats * decay + share.clamp(0.0, 1.0);
        self.updated_us = now_us;
    }

    /// Share of repeated runs at `now_us`, 0 to 1.
    pub fn share_at(&self, now_us: u64) -> f64 {
        let decay = self.decay(now_us);
        self.decayed_repeats * decay / (self.decayed_runs * decay + INITIAL_RUNS)
    }

    fn decay(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.updated_us) as f64) / AVERAGING_TIME_US).exp()
    }
}
