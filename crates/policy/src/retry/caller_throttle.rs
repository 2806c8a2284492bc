use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;

use crate::admission::AdmissionRefusal;
use crate::once::CallerDigest;
use crate::retry::generational_map::GenerationalMap;
use crate::retry::ThrottleSettings;

/// Cost of one request, in the unit of the counters (1/100 token), so that a success can earn a
/// fraction of a token.
const REQUEST_COST: u64 = 100;

/// Token bucket of one caller at one rank.
#[derive(Debug, Clone, Copy)]
struct CallerBucket {
    /// Failures left before the caller is throttled, in 1/100 token.
    tokens: u64,
    /// Requests that the caller may send while throttled, in 1/100 request.
    credit: u64,
    is_throttled: bool,
    refilled_us: u64,
}

/// Limits the failing requests of each caller at the entry, see `docs/design.md`, section 3.3.
///
/// Follows the retry throttling of gRPC (proposal A6, "client retries"): a failure costs a token
/// and a success earns a fraction of one. A caller without tokens is throttled: each of its
/// successes then admits one request and a fraction of another one, and a few requests per second
/// are admitted in any case. Its admitted load therefore follows its successes instead of stopping
/// and starting. The throttling ends when the caller has half of its tokens again.
///
/// Tokens are counted per rank, because refused requests of one rank must not throttle more
/// important requests of the same caller (G2).
pub struct CallerThrottle {
    settings: ThrottleSettings,
    buckets: GenerationalMap<(CallerDigest, u8), CallerBucket>,
}

impl CallerThrottle {
    /// Creates a throttle without tracked callers.
    pub fn new(settings: ThrottleSettings) -> Self {
        Self { buckets: GenerationalMap::new(settings.max_callers), settings }
    }

    /// Decides whether a request of a caller is admitted.
    ///
    /// # Errors
    /// Returns the refusal with reason `Throttled`. A request refused here must not be passed
    /// to [`record_end`](Self::record_end).
    pub fn admit(
        &mut self,
        caller: &CallerDigest,
        rank: u8,
        now_us: u64,
    ) -> Result<(), AdmissionRefusal> {
        let refill_per_s = u64::from(self.settings.refill_per_s).max(1);
        let bucket = self.bucket(caller, rank, now_us);
        if bucket.is_throttled {
            if bucket.credit < REQUEST_COST {
                let retry_after_ms = 1_000_u64.div_ceil(refill_per_s);
                return Err(AdmissionRefusal { reason: Reason::Throttled, retry_after_ms });
            }
            bucket.credit -= REQUEST_COST;
        }
        Ok(())
    }

    /// Records the end of a request that was admitted.
    pub fn record_end(&mut self, caller: &CallerDigest, rank: u8, outcome: Outcome, now_us: u64) {
        let max_tokens = u64::from(self.settings.burst_tokens.max(1)) * REQUEST_COST;
        let earned = u64::from(self.settings.percent_per_success);
        let bucket = self.bucket(caller, rank, now_us);
        if outcome == Outcome::Answered {
            bucket.tokens = (bucket.tokens + earned).min(max_tokens);
            bucket.credit = (bucket.credit + REQUEST_COST + earned).min(max_tokens);
            bucket.is_throttled &= bucket.tokens < max_tokens / 2;
        } else {
            bucket.tokens = bucket.tokens.saturating_sub(REQUEST_COST);
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

    /// Finds or creates a bucket and refills its credit for the elapsed time.
    fn bucket(&mut self, caller: &CallerDigest, rank: u8, now_us: u64) -> &mut CallerBucket {
        let max_tokens = u64::from(self.settings.burst_tokens.max(1)) * REQUEST_COST;
        let refill_per_s = u64::from(self.settings.refill_per_s);
        let key = (*caller, rank);
        if self.buckets.find(&key).is_none() {
            let full_bucket = CallerBucket {
                tokens: max_tokens,
                credit: 0,
                is_throttled: false,
                refilled_us: now_us,
            };
            self.buckets.insert(key, full_bucket);
        }
        let bucket = self.buckets.find(&key).expect("the bucket was inserted above");
        let elapsed_us = now_us.saturating_sub(bucket.refilled_us);
        let refill = elapsed_us.saturating_mul(refill_per_s * REQUEST_COST) / 1_000_000;
        if refill > 0 {
            bucket.credit = bucket.credit.saturating_add(refill).min(max_tokens);
            bucket.refilled_us = now_us;
        }
        bucket
    }
}
