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

use crate::peer::channel::Channel;
use crate::transport::BoxError;

/// Answer body from a peer; it ends with an error when the connection is given up.
pub(crate) struct PeerBody {
    incoming: Incoming,
    lost: Pin<Box<WaitForCancellationFutureOwned>>,
    channel: Arc<Channel>,
}

impl PeerBody {
    pub(crate) fn new(incoming: Incoming, channel: Arc<Channel>) -> Self {
        let lost = Box::pin(channel.lost.clone().cancelled_owned());
        Self { incoming, lost, channel }
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
            Poll::Pending if this.lost.as_mut().poll(cx).is_ready() => {
                Poll::Ready(Some(Err("the connection to the peer is lost".into())))
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(frame) => {
                this.channel.prove();
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
