/// Number of buckets of the window. The oldest bucket is dropped as a whole.
const BUCKET_COUNT: usize = 10;

#[derive(Debug, Clone, Copy, Default)]
struct RatioBucket {
    attempts: u64,
    /// Expected number of attempts that were made by repeated runs.
    inherited_repeats: f64,
    retries: u64,
}

/// Counts of first attempts and retries of one service over a sliding window, and the retries that
/// they allow.
///
/// Each first attempt adds a fraction of a retry to the allowance. At most one window's worth is
/// saved, but always up to one whole retry: in a large fleet a node sends only a few requests to a
/// service in a window, whose fractions alone would never allow one.
#[derive(Debug, Clone, Default)]
pub(super) struct RatioWindow {
    buckets: [RatioBucket; BUCKET_COUNT],
    newest_bucket: u64,
    /// Retries that are allowed now. Negative after more repeats by repeated runs than the ratio
    /// allows.
    allowance: f64,
}

impl RatioWindow {
    /// Counts a first attempt, which a repeated run made with the probability `repeat_share`.
    pub fn count_attempt(&mut self, window_us: u64, percent: u32, repeat_share: f64, now_us: u64) {
        let bucket = self.advance(window_us, now_us);
        bucket.attempts += 1;
        bucket.inherited_repeats += repeat_share;
        self.allowance += f64::from(percent) / 100.0 - repeat_share;
        self.limit_allowance(percent);
    }

    /// Counts a retry and returns true if it is within the allowance or the retries of the window
    /// are below the floor.
    pub fn try_retry(&mut self, window_us: u64, percent: u32, floor: u32, now_us: u64) -> bool {
        self.advance(window_us, now_us);
        self.limit_allowance(percent);
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let is_allowed = self.allowance >= 1.0 || retries < u64::from(floor);
        if is_allowed {
            self.allowance = (self.allowance - 1.0).max(self.allowance.min(0.0));
            self.advance(window_us, now_us).retries += 1;
        }
        is_allowed
    }

    /// Limits the allowance to what the attempts of the window allow, and its deficit to what
    /// repeated runs made in the window.
    fn limit_allowance(&mut self, percent: u32) {
        let attempts: u64 = self.buckets.iter().map(|bucket| bucket.attempts).sum();
        let inherited_repeats: f64 =
            self.buckets.iter().map(|bucket| bucket.inherited_repeats).sum();
        let most = (attempts as f64 * f64::from(percent) / 100.0).max(1.0);
        self.allowance = self.allowance.clamp(-inherited_repeats, most);
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
