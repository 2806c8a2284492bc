use tarragon_model::identity::SpanId;

use crate::gate::Gate;

/// Retry tokens of an execution at this gate. Dropping the guard discards the unused ones.
pub(crate) struct RetryTokenGuard<'a> {
    gate: &'a Gate,
    id: SpanId,
    is_open: bool,
}

impl<'a> RetryTokenGuard<'a> {
    pub(crate) fn open(gate: &'a Gate, id: SpanId, retry_tokens: u32) -> Self {
        gate.retry
            .lock()
            .expect("no thread panics while it holds the lock")
            .open_span(id, retry_tokens);
        Self { gate, id, is_open: true }
    }

    /// Closes the span of the execution and returns its unused tokens.
    pub(crate) fn close(mut self) -> u32 {
        self.is_open = false;
        self.gate
            .retry
            .lock()
            .expect("no thread panics while it holds the lock")
            .close_span(self.id)
    }
}

impl Drop for RetryTokenGuard<'_> {
    fn drop(&mut self) {
        if self.is_open {
            // The caller disconnected before the head of the response.
            self.gate.metrics.count("gate.cancelled", 1);
            self.gate
                .retry
                .lock()
                .expect("no thread panics while it holds the lock")
                .close_span(self.id);
        }
    }
}
