use tarragon_model::identity::SpanId;

use crate::entry::Forwarder;

/// Ledger span with the retry tokens of a request that entered at this node. It is closed on drop.
pub(crate) struct EntrySpan<'a> {
    forwarder: &'a Forwarder,
    pub(crate) id: SpanId,
}

impl<'a> EntrySpan<'a> {
    pub(crate) fn open(forwarder: &'a Forwarder, tokens: u32) -> Self {
        let id = SpanId(rand::random());
        forwarder.retry().open_span(id, tokens);
        Self { forwarder, id }
    }
}

impl Drop for EntrySpan<'_> {
    fn drop(&mut self) {
        self.forwarder.retry().close_span(self.id);
    }
}
