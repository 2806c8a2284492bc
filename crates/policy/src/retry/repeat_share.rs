/// Time over which the share is averaged, in µs. Shorter than the window of a retry ratio, so that
/// repeats further up the chain leave less for this hop before the window is over.
const WINDOW_US: f64 = 1_000_000.0;

/// Runs that never repeat anything, which the average starts from, so that the first one does not
/// decide.
const FIRST_RUNS: f64 = 2.0;

/// Share of the runs at one gate that repeat work which ran before.
///
/// The calls that such a run makes are repeats for the services behind it, whose retry ratios they
/// use up. Nothing links a call to its run, so each call of a backend server counts for the mean
/// share.
#[derive(Debug, Clone, Copy, Default)]
pub struct RepeatShare {
    runs: f64,
    repeats: f64,
    updated_us: u64,
}

impl RepeatShare {
    /// Counts a run; `share` is 1 for one that repeats an earlier run, and else what the caller's
    /// node tells of its own runs.
    pub fn record_run(&mut self, share: f64, now_us: u64) {
        let force = self.force(now_us);
        self.runs = self.runs * force + 1.0;
        self.repeats = self.repeats * force + share.clamp(0.0, 1.0);
        self.updated_us = now_us;
    }

    /// The share at present.
    pub fn share_at(&self, now_us: u64) -> f64 {
        let force = self.force(now_us);
        self.repeats * force / (self.runs * force + FIRST_RUNS)
    }

    fn force(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.updated_us) as f64) / WINDOW_US).exp()
    }
}
