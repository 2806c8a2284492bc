use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::transport::empty;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::BoxError;

/// Request body that can be sent several times, as far as possible.
///
/// A small body is buffered in memory. A larger one is streamed, and can be sent again only if no
/// attempt has read from it.
#[derive(Clone)]
pub enum ReplayBody {
    /// The complete body.
    Buffered(Bytes),
    /// The body, which is taken out by the first attempt that reads from it.
    Streamed(Arc<Mutex<Option<Body>>>, SizeHint),
}

impl ReplayBody {
    /// Wraps a body, and buffers it if its announced length is at most `max_buffered_bytes`.
    ///
    /// # Errors
    /// Returns the error of the connection if the body ends early.
    pub async fn read(body: Body, max_buffered_bytes: u64) -> Result<Self, BoxError> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let hint = body.size_hint();
        if hint.exact().is_some_and(|length| length <= max_buffered_bytes) {
            return Ok(Self::Buffered(body.collect().await?.to_bytes()));
        }
        Ok(Self::Streamed(Arc::new(Mutex::new(Some(body))), hint))
    }

    /// Whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(shared, _) => {
                shared.lock().expect("no thread panics while it holds the lock").is_some()
            }
        }
    }

    /// Creates the body for one attempt.
    pub fn attempt_body(&self) -> Body {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => empty(),
            Self::Buffered(bytes) => full(bytes.clone()),
            Self::Streamed(shared, hint) => {
                let shared = Arc::clone(shared);
                StreamedBody { shared, taken: None, hint: *hint }.boxed_unsync()
            }
        }
    }
}

/// Body of one attempt, which takes the shared body when it is first polled.
struct StreamedBody {
    shared: Arc<Mutex<Option<Body>>>,
    taken: Option<Body>,
    hint: SizeHint,
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        if this.taken.is_none() {
            this.taken =
                this.shared.lock().expect("no thread panics while it holds the lock").take();
        }
        match &mut this.taken {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(Some(Err("an earlier attempt has read the body".into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.taken.as_ref().is_some_and(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.taken.as_ref().map_or_else(|| self.hint, HttpBody::size_hint)
    }
}
