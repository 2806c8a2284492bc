/// Number of buckets of the window. The oldest bucket is dropped as a whole.
const BUCKET_COUNT: usize = 10;

#[derive(Debug, Clone, Copy, Default)]
struct RatioBucket {
    attempts: u64,
    /// Expected number of attempts that were made by repeated runs.
    inherited_repeats: f64,
    retries: u64,
}

/// Counts of first attempts and retries of one service over a sliding window.
#[derive(Debug, Clone, Default)]
pub(super) struct RatioWindow {
    buckets: [RatioBucket; BUCKET_COUNT],
    newest_bucket: u64,
}

impl RatioWindow {
    /// Counts a first attempt, which a repeated run made with the probability `repeat_share`.
    pub fn count_attempt(&mut self, window_us: u64, repeat_share: f64, now_us: u64) {
        let bucket = self.advance(window_us, now_us);
        bucket.attempts += 1;
        bucket.inherited_repeats += repeat_share;
    }

    /// Counts a retry and returns true if the retries of the window stay within the ratio or the
    /// floor.
    pub fn try_retry(&mut self, window_us: u64, percent: u32, floor: u32, now_us: u64) -> bool {
        self.advance(window_us, now_us);
        let attempts: u64 = self.buckets.iter().map(|bucket| bucket.attempts).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let inherited_repeats: f64 =
            self.buckets.iter().map(|bucket| bucket.inherited_repeats).sum();
        let remaining_budget = (attempts * u64::from(percent)) as f64 / 100.0 - inherited_repeats;
        let allowed = (remaining_budget.max(0.0) as u64).max(u64::from(floor));
        let is_allowed = retries < allowed;
        if is_allowed {
            self.advance(window_us, now_us).retries += 1;
        }
        is_allowed
    }

    /// Clears the buckets that left the window and returns the newest bucket.
    fn advance(&mut self, window_us: u64, now_us: u64) -> &mut RatioBucket {
        let bucket_us = (window_us / BUCKET_COUNT as u64).max(1);
        let newest_bucket = self.newest_bucket.max(now_us / bucket_us);
        let elapsed_buckets = (newest_bucket - self.newest_bucket).min(BUCKET_COUNT as u64);
        for age in 0..elapsed_buckets {
            self.buckets[((newest_bucket - age) % BUCKET_COUNT as u64) as usize] =
                RatioBucket::default();
        }
        self.newest_bucket = newest_bucket;
        &mut self.buckets[(newest_bucket % BUCKET_COUNT as u64) as usize]
    }
}
