use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::transport::Body;
use crate::transport::BoxError;

/// How much of a request body the backend server has taken.
#[derive(Debug, Default)]
pub(crate) struct UploadProgress {
    is_done: AtomicBool,
    /// Whether the caller has sent nothing that the backend server has not taken.
    is_waiting_for_caller: AtomicBool,
    frame_count: AtomicU64,
}

impl UploadProgress {
    /// Whether the body has been read to its end.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done.load(Ordering::Acquire)
    }

    /// Returns when the backend server has taken nothing more of the body for this time, although there
    /// is more of it.
    pub(crate) async fn wait_until_stalled(&self, limit: Duration) {
        loop {
            let before = self.frame_count.load(Ordering::Relaxed);
            tokio::time::sleep(limit).await;
            let is_waiting = self.is_waiting_for_caller.load(Ordering::Relaxed);
            if !is_waiting && self.frame_count.load(Ordering::Relaxed) == before {
                return;
            }
        }
    }
}

/// Request body on its way to the backend server.
pub(crate) struct UploadBody {
    body: Body,
    /// Bytes that are still to be read, if the length is known. The HTTP client stops reading
    /// there, without polling for the end of the body.
    remaining_bytes: Option<u64>,
    progress: Arc<UploadProgress>,
}

impl UploadBody {
    /// Wraps a body, and returns what tells of its progress as well.
    pub(crate) fn new(body: Body) -> (Self, Arc<UploadProgress>) {
        let is_done = AtomicBool::new(body.is_end_stream());
        let progress = Arc::new(UploadProgress { is_done, ..UploadProgress::default() });
        let remaining_bytes = body.size_hint().exact();
        (Self { body, remaining_bytes, progress: Arc::clone(&progress) }, progress)
    }
}

impl HttpBody for UploadBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        this.progress.is_waiting_for_caller.store(polled.is_pending(), Ordering::Relaxed);
        let is_end = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => {
                this.progress.frame_count.fetch_add(1, Ordering::Relaxed);
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                this.remaining_bytes = this.remaining_bytes.map(|left| left.saturating_sub(length));
                // Nothing follows trailer fields.
                this.remaining_bytes == Some(0) || frame.is_trailers() || this.body.is_end_stream()
            }
            _ => false,
        };
        if is_end {
            this.progress.is_done.store(true, Ordering::Release);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
