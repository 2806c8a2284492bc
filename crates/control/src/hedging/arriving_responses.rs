use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Number of peers whose response is being received.
#[derive(Debug, Default)]
pub(crate) struct ArrivingResponses(AtomicUsize);

/// Counts as an arriving response until it is dropped.
pub(crate) struct ArrivingResponse<'a>(&'a ArrivingResponses);

impl ArrivingResponses {
    /// Records that a response begins to arrive.
    pub(crate) fn begin(&self) -> ArrivingResponse<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        ArrivingResponse(self)
    }

    pub(crate) fn is_any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

impl Drop for ArrivingResponse<'_> {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}
