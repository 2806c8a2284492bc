use tarragon_model::identity::SpanId;

use crate::retry::generations::Generations;
use crate::retry::ratio_window::RatioWindow;
use crate::retry::RetryPolicy;
use crate::retry::RetrySettings;

/// Tokens of one span.
#[derive(Debug, Clone, Copy)]
struct Span {
    /// Tokens that the span may spend or lend.
    kept: u32,
    /// Tokens that its unfinished calls carry. More than this never comes back.
    lent: u32,
}

/// Retry tokens by span and the retry ratio by service, see `docs/design.md`, section 3.3.
///
/// A call carries half of the tokens of its span, rounded up. The rest stays for the case that the
/// callee is lost with its tokens, while the last token goes down the chain to where a retry
/// repeats the least work. Tokens are only ever lost, when an answer is lost or a span expires,
/// never made.
pub struct TokenLedger {
    settings: RetrySettings,
    spans: Generations<SpanId, Span>,
    services: Generations<String, RatioWindow>,
    turned_us: u64,
}

impl TokenLedger {
    /// Creates an empty ledger.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            spans: Generations::new(settings.max_spans),
            services: Generations::new(settings.max_services),
            settings,
            turned_us: 0,
        }
    }

    /// Drops the spans that were not used for their lifetime. Counting an attempt or a retry does
    /// the same.
    pub fn expire(&mut self, now_us: u64) {
        let lifetime_us = self.settings.span_lifetime_ms.saturating_mul(1_000);
        if now_us.saturating_sub(self.turned_us) >= lifetime_us {
            self.spans.turn();
            self.turned_us = now_us;
        }
    }

    /// Number of open spans.
    pub fn span_count(&self) -> usize {
        self.spans.len()
    }

    fn window(&mut self, service: &str) -> &mut RatioWindow {
        let name = service.to_string();
        if self.services.find(&name).is_none() {
            self.services.insert(name.clone(), RatioWindow::default());
        }
        self.services.find(&name).expect("the window was inserted above")
    }
}

impl RetryPolicy for TokenLedger {
    /// A span that is already open keeps its tokens and gets none, because a repeated message must
    /// not add tokens.
    fn open_span(&mut self, span: SpanId, tokens: u32) {
        if self.spans.find(&span).is_none() {
            let kept = tokens.min(self.settings.tokens_per_request);
            self.spans.insert(span, Span { kept, lent: 0 });
        }
    }

    fn record_attempt(&mut self, service: &str, repeat_share: f64, now_us: u64) {
        self.expire(now_us);
        let window_us = self.settings.window_ms * 1_000;
        self.window(service).count_attempt(window_us, repeat_share, now_us);
    }

    fn spend_token(&mut self, span: SpanId, service: &str, now_us: u64) -> bool {
        self.expire(now_us);
        if self.spans.find(&span).is_none_or(|span| span.kept == 0) {
            return false;
        }
        let window_us = self.settings.window_ms * 1_000;
        let (percent, floor) = (self.settings.retry_percent, self.settings.floor_retries);
        let is_allowed = self.window(service).try_retry(window_us, percent, floor, now_us);
        if is_allowed {
            self.spans.find(&span).expect("the span was found above").kept -= 1;
        }
        is_allowed
    }

    fn lend_tokens(&mut self, span: SpanId) -> u32 {
        let Some(span) = self.spans.find(&span) else { return 0 };
        let tokens = span.kept.div_ceil(2);
        span.kept -= tokens;
        span.lent += tokens;
        tokens
    }

    fn return_tokens(&mut self, span: SpanId, unused: u32) {
        let Some(span) = self.spans.find(&span) else { return };
        let tokens = unused.min(span.lent);
        span.lent -= tokens;
        span.kept += tokens;
    }

    fn close_span(&mut self, span: SpanId) -> u32 {
        self.spans.remove(&span).map_or(0, |span| span.kept)
    }
}
