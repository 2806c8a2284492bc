use std::collections::HashMap;

use tarragon_model::identity::SpanId;

use crate::retry::RetryPolicy;

/// Number of retries of each call at every hop.
const RETRIES_PER_CALL: u32 = 3;

/// Baseline: every hop retries each of its calls up to 3 times, independently of the other hops.
///
/// If the last hop of a chain of depth d fails, it receives 4^d attempts.
#[derive(Debug, Default)]
pub struct NaiveRetry {
    retries: HashMap<SpanId, HashMap<String, u32>>,
}

impl RetryPolicy for NaiveRetry {
    fn open_span(&mut self, span: SpanId, _tokens: u32) {
        self.retries.insert(span, HashMap::new());
    }

    fn record_attempt(&mut self, _service: &str, _repeat_share: f64, _now_us: u64) {}

    fn spend_token(&mut self, span: SpanId, service: &str, _now_us: u64) -> bool {
        let Some(calls) = self.retries.get_mut(&span) else { return false };
        let retries = calls.entry(service.to_string()).or_default();
        *retries += 1;
        *retries <= RETRIES_PER_CALL
    }

    fn lend_tokens(&mut self, _span: SpanId) -> u32 {
        0
    }

    fn return_tokens(&mut self, _span: SpanId, _unused: u32) {}

    fn close_span(&mut self, span: SpanId) -> u32 {
        self.retries.remove(&span);
        0
    }
}
