use serde::Deserialize;
use serde::Serialize;

/// Settings of [`TokenLedger`](crate::retry::TokenLedger).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Maximum number of retries that one request may cause in its whole call tree. No span holds
    /// more tokens.
    pub tokens_per_request: u32,
    /// Maximum retries from this node to one service, in percent of the first attempts.
    pub retry_percent: u32,
    /// Sliding window of the retry ratio, in ms.
    pub window_ms: u64,
    /// Retries per window that are allowed regardless of the ratio, so that a rarely called service
    /// can be retried at all. Equals the budget of one request, since every node has this floor.
    pub floor_retries: u32,
    /// Time without a retry or a call after which a span may be dropped, in ms. It is dropped after
    /// at most twice this time. Longer than any deadline in use.
    pub span_lifetime_ms: u64,
    /// Maximum number of open spans. Above it, the least recently used half is dropped with its
    /// tokens. A span takes about 60 bytes.
    pub max_spans: usize,
    /// Maximum number of services whose retry ratio is tracked. Above it, the windows of the least
    /// recently called half are reset. A service takes about 200 bytes.
    pub max_services: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            tokens_per_request: 3,
            retry_percent: 10,
            window_ms: 10_000,
            floor_retries: 3,
            span_lifetime_ms: 600_000,
            max_spans: 65_536,
            max_services: 2_048,
        }
    }
}

/// Settings of [`CallerThrottle`](crate::retry::CallerThrottle).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ThrottleSettings {
    /// Number of failures, beyond those offset by successes, after which a caller is throttled.
    pub burst_tokens: u32,
    /// Failures that a caller may have without a cost in tokens, in percent of its successes. While
    /// a caller is throttled, each success admits one request plus this percentage of another one.
    pub percent_per_success: u32,
    /// Requests per second that a throttled caller may send without any success, so that the end of
    /// an overload is detected.
    pub refill_per_s: u32,
    /// Maximum number of tracked pairs of caller and rank. Above it, the least recently used half
    /// is dropped. A pair takes about 100 bytes.
    pub max_callers: usize,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self { burst_tokens: 100, percent_per_success: 10, refill_per_s: 10, max_callers: 16_384 }
    }
}
