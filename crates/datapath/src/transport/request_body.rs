use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::transport::unread_body::UnreadBody;

/// Body of a request on an HTTP/1.1 connection. What is left of it when it is dropped is read and
/// discarded by the connection (see docs/design.md, 3.5.1).
pub struct RequestBody {
    /// `None` only while the body is dropped.
    incoming: Option<Incoming>,
    unread: Arc<UnreadBody>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, unread: Arc<UnreadBody>) -> Self {
        unread.start(&incoming);
        Self { incoming: Some(incoming), unread }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(incoming) = self.incoming.take() {
            self.unread.leave(incoming);
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let Some(incoming) = &mut this.incoming else { return Poll::Ready(None) };
        let polled = Pin::new(&mut *incoming).poll_frame(cx);
        this.unread.record(&polled, incoming);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(SizeHint::default, HttpBody::size_hint)
    }
}
