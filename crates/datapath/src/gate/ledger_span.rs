use tarragon_model::identity::SpanId;

use crate::gate::Gate;

/// Retry tokens of an execution at this gate; dropping it loses them.
pub(crate) struct LedgerSpan<'a> {
    gate: &'a Gate,
    id: SpanId,
    is_open: bool,
}

impl<'a> LedgerSpan<'a> {
    pub(crate) fn open(gate: &'a Gate, id: SpanId, retry_tokens: u32) -> Self {
        gate.retry.lock().expect("no holder of the lock panics").open_span(id, retry_tokens);
        Self { gate, id, is_open: true }
    }

    pub(crate) fn close(mut self) -> u32 {
        self.is_open = false;
        self.gate.retry.lock().expect("no holder of the lock panics").close_span(self.id)
    }
}

impl Drop for LedgerSpan<'_> {
    fn drop(&mut self) {
        if self.is_open {
            // The caller hung up before the head of the answer.
            self.gate.metrics.count("gate.cancelled", 1);
            self.gate.retry.lock().expect("no holder of the lock panics").close_span(self.id);
        }
    }
}
