use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::peer::peer_connection::PeerConnection;
use crate::transport::BoxError;

/// Response body from a peer. It ends with an error when the connection is closed, or when no more of it
/// is expected. A peer that is only silent may be paused, and sends the rest when it goes on (see
/// docs/incidents/2026-12-07-answers-of-a-paused-peer-are-cut.md).
pub(crate) struct PeerBody {
    incoming: Incoming,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Time after which no frame is expected.
    last_wait: Instant,
    /// Set while a frame is awaited for the first time.
    timer: Option<Pin<Box<Sleep>>>,
    connection: Arc<PeerConnection>,
}

impl PeerBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Arc<PeerConnection>,
        last_wait: Instant,
    ) -> Self {
        let closed = Box::pin(connection.closed.clone().cancelled_owned());
        Self { incoming, closed, last_wait, timer: None, connection }
    }

    /// Why no more frames can arrive, if that is so.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<BoxError> {
        if self.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready("the connection to the peer is lost".into());
        }
        let last_wait = self.last_wait;
        let timer =
            self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(last_wait.into())));
        timer.as_mut().poll(cx).map(|()| "the deadline passed before the response ended".into())
    }
}

impl HttpBody for PeerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Pending => this.poll_end(cx).map(|cause| Some(Err(cause))),
            Poll::Ready(frame) => {
                this.connection.record_response();
                Poll::Ready(frame.map(|frame| frame.map_err(BoxError::from)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
