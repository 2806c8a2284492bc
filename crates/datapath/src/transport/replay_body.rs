use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_LENGTH;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::transport::empty;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::BoxError;

/// Number of bytes at the start of a body by which requests are told apart.
const PREFIX_BYTES: usize = 16 * 1024;

/// Time to wait for each piece of the prefix. A caller that sends more slowly is not kept waiting, since
/// it may wait itself until the server has the first bytes.
pub const PREFIX_TIMEOUT: Duration = Duration::from_millis(100);

/// Time to wait for each piece of the prefix of a request that may be one under which servers have
/// crashed, so that it is told apart from others like it.
pub const SUSPECT_PREFIX_TIMEOUT: Duration = Duration::from_secs(1);

/// Request body that can be sent several times, as far as possible.
///
/// A small body is buffered in memory. A larger one is streamed, and can be sent again only if no
/// attempt has read from it.
#[derive(Clone)]
pub enum ReplayBody {
    /// The complete body.
    Buffered(Bytes),
    /// The body, which is taken out by the first attempt that reads from it, and its first bytes;
    /// `None` if they did not arrive in time.
    Streamed(Arc<Mutex<Option<Body>>>, SizeHint, Option<Bytes>),
}

impl ReplayBody {
    /// Wraps a body, and buffers it if its announced length is at most `max_buffered_bytes`, or if it
    /// has no announced length and arrives at once with less than `PREFIX_BYTES`. Waits at most
    /// `prefix_timeout` for each piece of the first bytes.
    ///
    /// # Errors
    /// Returns the error of the connection if the body ends early.
    pub async fn read(
        body: Body,
        max_buffered_bytes: u64,
        prefix_timeout: Duration,
    ) -> Result<Self, BoxError> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let hint = body.size_hint();
        if hint.exact().is_some_and(|length| length <= max_buffered_bytes) {
            return Ok(Self::Buffered(body.collect().await?.to_bytes()));
        }
        let (body, prefix) = PrefixedBody::read(body, prefix_timeout).await?;
        let is_prefix_whole = body.rest.is_none() || prefix.len() >= PREFIX_BYTES;
        let is_whole = body.rest.is_none() && body.frames.iter().all(Frame::is_data);
        if is_whole && prefix.len() < PREFIX_BYTES {
            return Ok(Self::Buffered(prefix));
        }
        let shared = Arc::new(Mutex::new(Some(body.boxed_unsync())));
        Ok(Self::Streamed(shared, hint, is_prefix_whole.then_some(prefix)))
    }

    /// The first bytes of the body, the same ones in whichever pieces it arrives; `None` if not all of
    /// them arrived in time, since those that did differ each time.
    pub fn prefix(&self) -> Option<&[u8]> {
        match self {
            Self::Buffered(bytes) => Some(&bytes[..bytes.len().min(PREFIX_BYTES)]),
            Self::Streamed(_, _, prefix) => prefix.as_deref(),
        }
    }

    /// Whether another attempt can send the body from its start.
    pub fn is_replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(shared, ..) => {
                shared.lock().expect("no thread panics while it holds the lock").is_some()
            }
        }
    }

    /// Writes the length of a body that is known now although it was not announced, so that the request
    /// goes on with a body, also an empty one.
    pub fn write_length(&self, map: &mut HeaderMap) {
        if let Self::Buffered(bytes) = self {
            map.insert(CONTENT_LENGTH, bytes.len().into());
        }
    }

    /// Creates the body for one attempt.
    pub fn attempt_body(&self) -> Body {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => empty(),
            Self::Buffered(bytes) => full(bytes.clone()),
            Self::Streamed(shared, hint, _) => {
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

/// Body whose first frames have been read already.
struct PrefixedBody {
    frames: VecDeque<Frame<Bytes>>,
    /// The rest of the body, if it has not ended yet.
    rest: Option<Body>,
}

impl PrefixedBody {
    /// Reads frames until they hold the first `PREFIX_BYTES`, the body ends or nothing more arrives in
    /// time, and returns these bytes as well.
    async fn read(mut body: Body, prefix_timeout: Duration) -> Result<(Self, Bytes), BoxError> {
        let (mut frames, mut prefix) = (VecDeque::new(), BytesMut::new());
        while prefix.len() < PREFIX_BYTES {
            let Ok(frame) = tokio::time::timeout(prefix_timeout, body.frame()).await else { break };
            let Some(frame) = frame else {
                return Ok((Self { frames, rest: None }, prefix.freeze()));
            };
            let frame = frame?;
            if let Some(data) = frame.data_ref() {
                prefix.extend_from_slice(&data[..data.len().min(PREFIX_BYTES - prefix.len())]);
            }
            frames.push_back(frame);
        }
        Ok((Self { frames, rest: Some(body) }, prefix.freeze()))
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && self.rest.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let read_bytes: u64 =
            self.frames.iter().filter_map(|frame| Some(frame.data_ref()?.len() as u64)).sum();
        let rest = self.rest.as_ref().map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint);
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(read_bytes));
        }
        hint.set_lower(rest.lower().saturating_add(read_bytes));
        hint
    }
}

#[cfg(test)]
mod tests;
