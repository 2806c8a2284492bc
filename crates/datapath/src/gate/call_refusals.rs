use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::StatusCode;

/// Longest time from a refused call to the failed response of the execution that made it, in µs.
/// Backend servers respond as soon as a call fails.
const MAX_FAILURE_DELAY_US: u64 = 100_000;

/// Records when a call made by the node's backend server was last refused for overload.
///
/// A call carries no link to the execution that made it, so an execution that fails soon after a
/// refused call is assumed to have failed because of that call.
#[derive(Debug, Default)]
pub(crate) struct CallRefusals {
    /// Time of the last refusal, in µs; 0 if there was none.
    last_refusal_us: AtomicU64,
}

impl CallRefusals {
    pub(crate) fn record(&self, now_us: u64) {
        self.last_refusal_us.fetch_max(now_us.max(1), Ordering::Relaxed);
    }

    /// Whether a response of the backend server is a failure that was probably caused by a refused
    /// call.
    pub(crate) fn are_likely_cause_of(&self, status: StatusCode, now_us: u64) -> bool {
        let last_refusal_us = self.last_refusal_us.load(Ordering::Relaxed);
        let is_recent =
            last_refusal_us > 0 && now_us.saturating_sub(last_refusal_us) <= MAX_FAILURE_DELAY_US;
        let is_failure =
            status == StatusCode::INTERNAL_SERVER_ERROR || status == StatusCode::GATEWAY_TIMEOUT;
        is_failure && is_recent
    }
}

#[cfg(test)]
mod tests;
