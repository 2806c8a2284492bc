use serde::Deserialize;
use serde::Serialize;

/// Settings of [`TokenLedger`](crate::retry::TokenLedger).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries that one request may cause in its whole call tree. No span holds more.
    pub tokens_per_request: u32,
    /// Retries per hundred first attempts that one service may get from this node.
    pub retry_percent: u32,
    /// Sliding window of that ratio, in ms.
    pub window_ms: u64,
    /// Retries per window that are allowed at any ratio, so that a service that is seldom called
    /// gets retries at all. It is the budget of one request, since every node has this floor.
    pub floor_retries: u32,
    /// Spans without a retry or a call for this long, in ms, are dropped after at most twice this
    /// time. Longer than any deadline in use.
    pub span_lifetime_ms: u64,
    /// Most open spans; beyond it the oldest half is dropped with its tokens. A span takes about
    /// 60 bytes.
    pub max_spans: usize,
    /// Most services with a window of their own; beyond it the least recently called half starts
    /// afresh. A service takes about 200 bytes.
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
    /// Failures in excess of the earned ones after which a caller is throttled.
    pub burst_tokens: u32,
    /// Failures per hundred successes that cost a caller nothing. While it is throttled, each
    /// success admits one further request and this many hundredths.
    pub percent_per_success: u32,
    /// Requests per second that a throttled caller may send without any success, so that it
    /// notices the end of an overload.
    pub refill_per_s: u32,
    /// Most pairs of caller and rank that are tracked; beyond it the least recently seen half is
    /// forgotten. A pair takes about 100 bytes.
    pub max_callers: usize,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self { burst_tokens: 100, percent_per_success: 10, refill_per_s: 10, max_callers: 16_384 }
    }
}
