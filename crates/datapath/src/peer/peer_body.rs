use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::peer::peer_connection::PeerConnection;
use crate::transport::BoxError;

/// Response body from a peer. It ends with an error when the connection is lost.
pub(crate) struct PeerBody {
    incoming: Incoming,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    connection: Arc<PeerConnection>,
}

impl PeerBody {
    pub(crate) fn new(incoming: Incoming, connection: Arc<PeerConnection>) -> Self {
        let closed = Box::pin(connection.silent.clone().cancelled_owned());
        Self { incoming, closed, connection }
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
            Poll::Pending if this.closed.as_mut().poll(cx).is_ready() => {
                Poll::Ready(Some(Err("the connection to the peer is lost".into())))
            }
            Poll::Pending => Poll::Pending,
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
