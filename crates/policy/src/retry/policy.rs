use tarragon_model::identity::SpanId;

/// Ledger of retry tokens at one node, see `docs/design.md`, section 3.3.
///
/// Tokens move between the ledgers of nodes and are never copied. A span is one execution at this
/// node's gate, or one request that entered at this node.
pub trait RetryPolicy: Send {
    /// Opens a span with the tokens handed to it.
    fn open_span(&mut self, span: SpanId, tokens: u32);

    /// Counts a first attempt to a service, which earns a part of a retry for the service's ratio.
    /// `repeat_share` is the probability that it is a call of a run that was itself a repeat; it
    /// uses up as much of the ratio.
    fn record_attempt(&mut self, service: &str, repeat_share: f64, now_us: u64);

    /// Spends one token on a retry. Returns false if there is none or the service's ratio forbids
    /// it.
    fn spend_token(&mut self, span: SpanId, service: &str, now_us: u64) -> bool;

    /// Takes the tokens that one call made by this span carries to its callee.
    fn lend_tokens(&mut self, span: SpanId) -> u32;

    /// Takes back the tokens that a callee did not use. Tokens for a closed span are dropped.
    fn return_tokens(&mut self, span: SpanId, unused: u32);

    /// Ends a span and returns its unused tokens for the hop above.
    fn close_span(&mut self, span: SpanId) -> u32;
}
