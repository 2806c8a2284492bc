use tarragon_model::identity::SpanId;

use crate::retry::generational_map::GenerationalMap;
use crate::retry::ratio_window::RatioWindow;
use crate::retry::RetryPolicy;
use crate::retry::RetrySettings;

/// Retry tokens of one span.
#[derive(Debug, Clone, Copy)]
struct TokenSpan {
    /// Tokens that the span can spend or lend.
    available: u32,
    /// Tokens lent to unfinished calls. No more than this can be returned.
    lent: u32,
}

/// Retry tokens by span and the retry ratio by service, see `docs/design.md`, section 3.3.
///
/// A call carries half of the tokens of its span, rounded up. The other half stays at the span, in
/// case the callee fails and its tokens are lost. The last token moves down the chain to the hop
/// where a retry repeats the least work. Tokens can be lost, when an answer is lost or a span
/// expires, but are never created.
pub struct TokenLedger {
    settings: RetrySettings,
    spans: GenerationalMap<SpanId, TokenSpan>,
    windows: GenerationalMap<String, RatioWindow>,
    /// Time of the last rotation of `spans`, in µs.
    rotated_us: u64,
}

impl TokenLedger {
    /// Creates an empty ledger.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            spans: GenerationalMap::new(settings.max_spans),
            windows: GenerationalMap::new(settings.max_services),
            settings,
            rotated_us: 0,
        }
    }

    /// Drops the spans that have not been used for `span_lifetime_ms`, at the latest after twice
    /// that time. Recording an attempt and spending a token also do this.
    pub fn expire(&mut self, now_us: u64) {
        let lifetime_us = self.settings.span_lifetime_ms.saturating_mul(1_000);
        if now_us.saturating_sub(self.rotated_us) >= lifetime_us {
            self.spans.rotate();
            self.rotated_us = now_us;
        }
    }

    /// Number of open spans.
    pub fn span_count(&self) -> usize {
        self.spans.len()
    }

    fn service_window(&mut self, service: &str) -> &mut RatioWindow {
        let name = service.to_string();
        if self.windows.find(&name).is_none() {
            self.windows.insert(name.clone(), RatioWindow::default());
        }
        self.windows.find(&name).expect("the window was inserted above")
    }
}

impl RetryPolicy for TokenLedger {
    /// A span that is already open keeps its tokens and gets no more, because a repeated message
    /// must not add tokens.
    fn open_span(&mut self, span: SpanId, tokens: u32) {
        if self.spans.find(&span).is_none() {
            let available = tokens.min(self.settings.tokens_per_request);
            self.spans.insert(span, TokenSpan { available, lent: 0 });
        }
    }

    fn record_attempt(&mut self, service: &str, repeat_share: f64, now_us: u64) {
        self.expire(now_us);
        let window_us = self.settings.window_ms * 1_000;
        let percent = self.settings.retry_percent;
        self.service_window(service).count_attempt(window_us, percent, repeat_share, now_us);
    }

    fn spend_token(&mut self, span: SpanId, service: &str, now_us: u64) -> bool {
        self.expire(now_us);
        if self.spans.find(&span).is_none_or(|span| span.available == 0) {
            return false;
        }
        let window_us = self.settings.window_ms * 1_000;
        let (percent, floor) = (self.settings.retry_percent, self.settings.floor_retries);
        let is_allowed = self.service_window(service).try_retry(window_us, percent, floor, now_us);
        if is_allowed {
            self.spans.find(&span).expect("the span was found above").available -= 1;
        }
        is_allowed
    }

    fn lend_tokens(&mut self, span: SpanId) -> u32 {
        let Some(span) = self.spans.find(&span) else { return 0 };
        let tokens = span.available.div_ceil(2);
        span.available -= tokens;
        span.lent += tokens;
        tokens
    }

    fn return_tokens(&mut self, span: SpanId, unused: u32) {
        let Some(span) = self.spans.find(&span) else { return };
        let tokens = unused.min(span.lent);
        span.lent -= tokens;
        span.available += tokens;
    }

    fn close_span(&mut self, span: SpanId) -> u32 {
        self.spans.remove(&span).map_or(0, |span| span.available)
    }
}
