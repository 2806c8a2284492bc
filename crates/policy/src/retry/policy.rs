use tarragon_model::identity::SpanId;

/// Ledger of retry tokens at one node, see `docs/design.md`, section 3.3.
///
/// Tokens move between the ledgers of nodes and are never copied. A span is one execution at this
/// node's gate, or one request that entered at this node.
pub trait RetryPolicy: Send {
    /// Opens a span with the tokens that it was given.
    fn open_span(&mut self, span: SpanId, tokens: u32);

    /// Counts a first attempt to a service, which adds a fraction of a retry to the retry budget of
    /// the service. `repeat_share` is the probability that a repeated run made the attempt; the
    /// same fraction of a retry is subtracted from the budget.
    fn record_attempt(&mut self, service: &str, repeat_share: f64, now_us: u64);

    /// Spends one token on a retry. Returns false if the span has no token or the retry ratio of
    /// the service is reached.
    fn spend_token(&mut self, span: SpanId, service: &str, now_us: u64) -> bool;

    /// Takes tokens from a span for one call and returns the number that the call carries to the
    /// callee.
    fn lend_tokens(&mut self, span: SpanId) -> u32;

    /// Returns the tokens that a callee did not use to the span. Tokens for a closed span are
    /// dropped.
    fn return_tokens(&mut self, span: SpanId, unused: u32);

    /// Closes a span and returns its unused tokens for the hop upstream.
    fn close_span(&mut self, span: SpanId) -> u32;
}
