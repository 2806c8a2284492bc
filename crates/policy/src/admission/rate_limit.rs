/// Requests that may start at once after a pause, in s of the limit. A server that names a limit is
/// overloaded, so bursts stay well below what it takes in a second.
const BURST_S: f64 = 0.25;

/// Rate at which requests start if the server names a lower limit, in requests per second. Only a
/// response shows that the limit has been lifted.
const MIN_RATE_PER_S: f64 = 0.5;

/// Limits how many requests start per second, for as long as the backend server names a limit.
///
/// A token bucket: each start takes a token, and tokens accrue at the rate of the limit. The policy
/// that uses it decides which waiting request takes the next token.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    bucket: Option<TokenBucket>,
}

#[derive(Debug)]
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_us: u64,
}

impl TokenBucket {
    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(1.0)
    }
}

impl RateLimit {
    /// Sets the limit that the server names, or lifts it.
    pub(super) fn set(&mut self, max_requests_per_s: Option<f64>, now_us: u64) {
        self.advance(now_us);
        let Some(rate_per_s) = max_requests_per_s else {
            self.bucket = None;
            return;
        };
        let tokens = self.bucket.as_ref().map_or(1.0, |bucket| bucket.tokens);
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        let mut bucket = TokenBucket { rate_per_s, tokens, refilled_us: now_us };
        bucket.tokens = tokens.min(bucket.capacity());
        self.bucket = Some(bucket);
    }

    /// Adds the tokens that have accrued.
    pub(super) fn advance(&mut self, now_us: u64) {
        let Some(bucket) = &mut self.bucket else { return };
        let elapsed_s = now_us.saturating_sub(bucket.refilled_us) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + elapsed_s * bucket.rate_per_s).min(bucket.capacity());
        bucket.refilled_us = bucket.refilled_us.max(now_us);
    }

    /// Whether a limit is in force.
    pub(super) fn is_set(&self) -> bool {
        self.bucket.is_some()
    }

    /// Whether another request may start now, after `advance`.
    pub(super) fn may_start(&self) -> bool {
        // Sums of fractions may fall short of a whole token by a rounding error.
        self.bucket.as_ref().is_none_or(|bucket| bucket.tokens >= 1.0 - f64::EPSILON * 64.0)
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens -= 1.0;
        }
    }

    /// Time from the last `advance` until a request may start that has `ahead` others before it, in
    /// µs.
    pub(super) fn wait_us(&self, ahead: u32) -> u64 {
        self.bucket.as_ref().map_or(0, |bucket| {
            let missing_tokens = (f64::from(ahead) + 1.0 - bucket.tokens).max(0.0);
            (missing_tokens / bucket.rate_per_s * 1e6).ceil() as u64
        })
    }

    /// Time at which the next request may start, in µs. `None` without a limit.
    pub(super) fn next_start_us(&self) -> Option<u64> {
        self.bucket.as_ref().map(|bucket| bucket.refilled_us + self.wait_us(0))
    }

    /// Mean number of requests in progress at the limit, if each runs for `run_us` µs; no more than
    /// `limit` (Little, "A proof for the queuing formula L = λW", 1961).
    pub(super) fn concurrency(&self, run_us: u64, limit: u32) -> u32 {
        self.bucket.as_ref().map_or(limit, |bucket| {
            let in_progress = (bucket.rate_per_s * run_us as f64 / 1e6).ceil();
            limit.min((in_progress as u32).max(1))
        })
    }
}
