use std::collections::HashMap;

use tarragon_model::identity::SpanId;
use tarragon_policy::retry::RetryPolicy;

/// Counts retry tokens by span, without a limit on the retry ratio.
#[derive(Debug, Default)]
pub struct TokenLedger {
    tokens: HashMap<SpanId, u32>,
}

impl RetryPolicy for TokenLedger {
    fn open_span(&mut self, span: SpanId, tokens: u32) {
        self.tokens.insert(span, tokens);
    }

    fn record_attempt(&mut self, _service: &str, _repeat_share: f64, _now_us: u64) {}

    fn spend_token(&mut self, span: SpanId, _service: &str, _now_us: u64) -> bool {
        match self.tokens.get_mut(&span) {
            Some(tokens) if *tokens > 0 => {
                *tokens -= 1;
                true
            }
            _ => false,
        }
    }

    fn lend_tokens(&mut self, span: SpanId) -> u32 {
        let Some(tokens) = self.tokens.get_mut(&span) else { return 0 };
        // The larger half stays at this node, because lent tokens are lost if the response is lost.
        let lent = *tokens / 2;
        *tokens -= lent;
        lent
    }

    fn return_tokens(&mut self, span: SpanId, unused: u32) {
        if let Some(tokens) = self.tokens.get_mut(&span) {
            *tokens += unused;
        }
    }

    fn close_span(&mut self, span: SpanId) -> u32 {
        self.tokens.remove(&span).unwrap_or(0)
    }
}
