use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;

use crate::admission::AdmissionRefusal;
use crate::once::CallerDigest;
use crate::retry::generations::Generations;
use crate::retry::ThrottleSettings;

/// Cost of one request in the unit of the counters, so that a success can earn a part of it.
const TOKEN: u64 = 100;

/// State of one caller at one rank.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Failures that are still free, in 1/100.
    tokens: u64,
    /// Requests that may be sent while throttled, in 1/100.
    credit: u64,
    is_throttled: bool,
    refilled_us: u64,
}

/// Bounds the failing requests of each caller at the entry, see `docs/design.md`, section 3.3.
///
/// The scheme follows the retry throttling of gRPC (proposal A6, "client retries"): a failure
/// costs a token and a success earns a part of one. A caller without tokens is throttled: each of
/// its successes then admits one further request and a part of one, and a few requests per second
/// are admitted anyway. Its offered load so follows what is served, instead of stopping and
/// starting. It is released when it has half of its tokens again.
///
/// Ranks are counted apart, because refused requests of a low rank must not hold back more
/// important ones of the same caller (G2).
pub struct CallerThrottle {
    settings: ThrottleSettings,
    buckets: Generations<(CallerDigest, u8), Bucket>,
}

impl CallerThrottle {
    /// Creates a throttle that knows no caller.
    pub fn new(settings: ThrottleSettings) -> Self {
        Self { buckets: Generations::new(settings.max_callers), settings }
    }

    /// Decides whether a caller's request goes on.
    ///
    /// # Errors
    /// Returns the refusal with reason `Throttled`. A request refused here is not told to
    /// [`record_end`](Self::record_end).
    pub fn admit(
        &mut self,
        caller: &CallerDigest,
        rank: u8,
        now_us: u64,
    ) -> Result<(), AdmissionRefusal> {
        let refill_per_s = u64::from(self.settings.refill_per_s).max(1);
        let bucket = self.bucket(caller, rank, now_us);
        if bucket.is_throttled {
            if bucket.credit < TOKEN {
                let retry_after_ms = 1_000_u64.div_ceil(refill_per_s);
                return Err(AdmissionRefusal { reason: Reason::Throttled, retry_after_ms });
            }
            bucket.credit -= TOKEN;
        }
        Ok(())
    }

    /// Records the end of a request that was admitted.
    pub fn record_end(&mut self, caller: &CallerDigest, rank: u8, outcome: Outcome, now_us: u64) {
        let burst = u64::from(self.settings.burst_tokens.max(1)) * TOKEN;
        let earned = u64::from(self.settings.percent_per_success);
        let bucket = self.bucket(caller, rank, now_us);
        if outcome == Outcome::Answered {
            bucket.tokens = (bucket.tokens + earned).min(burst);
            bucket.credit = (bucket.credit + TOKEN + earned).min(burst);
            bucket.is_throttled &= bucket.tokens < burst / 2;
        } else {
            bucket.tokens = bucket.tokens.saturating_sub(TOKEN);
            if bucket.tokens == 0 && !bucket.is_throttled {
                bucket.is_throttled = true;
                bucket.credit = 0;
            }
        }
    }

    /// Number of tracked pairs of caller and rank.
    pub fn tracked_count(&self) -> usize {
        self.buckets.len()
    }

    /// Finds or creates a bucket and refills its credit for the time passed.
    fn bucket(&mut self, caller: &CallerDigest, rank: u8, now_us: u64) -> &mut Bucket {
        let burst = u64::from(self.settings.burst_tokens.max(1)) * TOKEN;
        let refill_per_s = u64::from(self.settings.refill_per_s);
        let key = (*caller, rank);
        if self.buckets.find(&key).is_none() {
            let fresh =
                Bucket { tokens: burst, credit: 0, is_throttled: false, refilled_us: now_us };
            self.buckets.insert(key, fresh);
        }
        let bucket = self.buckets.find(&key).expect("the bucket was inserted above");
        let passed_us = now_us.saturating_sub(bucket.refilled_us);
        let refill = passed_us.saturating_mul(refill_per_s * TOKEN) / 1_000_000;
        if refill > 0 {
            bucket.credit = bucket.credit.saturating_add(refill).min(burst);
            bucket.refilled_us = now_us;
        }
        bucket
    }
}
