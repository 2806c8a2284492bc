use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tracing::debug;

/// Time for which the unread rest of a request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of the unread rest of a request that is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: u64 = 16 << 20;

/// Maximum size of the rest of a refused head that is read and discarded, in bytes.
const MAX_DISCARDED_HEAD_BYTES: u64 = 1 << 20;

/// Size of the buffer into which bytes are read to be discarded.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// How much of the body of the current request is unread.
#[derive(Debug, Default)]
struct Progress {
    /// Whether the body has been read to its end.
    is_ended: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    awaits_continue: bool,
    /// Bytes that are left of the body at least.
    left_bytes: u64,
    /// Whether trailers may end the body, as it is in chunks.
    may_have_trailers: bool,
    /// End of the time in which the rest is discarded, once nobody else reads it.
    discard_until: Option<Instant>,
}

/// The unread rest of a request on a connection, which nobody needs.
///
/// The operating system resets a connection that is closed while bytes of the caller are unread, and
/// drops what is on its way to the caller: an early response, or a refusal. So the rest is read and
/// discarded first, within bounds on its size and on the time. If it ends within them, the connection can
/// be kept; otherwise the node closes its side, and reads on until the caller closes its own.
#[derive(Debug, Default)]
pub(crate) struct UnreadBody {
    progress: Mutex<Progress>,
    left: Mutex<Option<Incoming>>,
    left_notify: Notify,
}

impl UnreadBody {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no thread panics while it holds the lock")
    }

    /// Begins with the body of the next request.
    pub(super) fn start(&self, body: &Incoming) {
        *self.progress() = Progress {
            is_ended: body.is_end_stream(),
            awaits_continue: false,
            left_bytes: body.size_hint().lower(),
            may_have_trailers: body.size_hint().exact().is_none(),
            discard_until: None,
        };
    }

    /// Notes that the caller sends the body only after `100 Continue`.
    pub(super) fn await_continue(&self) {
        self.progress().awaits_continue = true;
    }

    /// Records what a poll of the body gave.
    pub(super) fn record(
        &self,
        polled: &Poll<Option<Result<Frame<Bytes>, hyper::Error>>>,
        body: &Incoming,
    ) {
        let mut progress = self.progress();
        // The HTTP server has sent `100 Continue` when the body is polled first.
        progress.awaits_continue = false;
        match polled {
            Poll::Ready(Some(Ok(_))) => {
                progress.is_ended = body.is_end_stream();
                progress.left_bytes = body.size_hint().lower();
            }
            // After an error nothing of the body follows.
            Poll::Ready(None | Some(Err(_))) => progress.is_ended = true,
            Poll::Pending => {}
        }
    }

    /// Takes over the rest of a body.
    pub(super) fn leave(&self, body: Incoming) {
        let is_discarded = {
            let mut progress = self.progress();
            if progress.is_ended {
                return;
            }
            progress.discard_until = Some(Instant::now() + DISCARD_TIMEOUT);
            // Polling the body would ask the caller to send it.
            !progress.awaits_continue && progress.left_bytes <= MAX_DISCARDED_BYTES
        };
        if is_discarded {
            *self.left.lock().expect("no thread panics while it holds the lock") = Some(body);
            self.left_notify.notify_one();
        }
    }

    /// Whether the connection has to be closed after a response that begins now, as the rest of the request
    /// will not be read to its end, or as it may end with trailers: after a whole response on a connection
    /// that is kept, hyper passes the trailers on, but not that the body has ended.
    pub(super) fn needs_close(&self) -> bool {
        let progress = self.progress();
        !progress.is_ended
            && (progress.awaits_continue
                || progress.may_have_trailers
                || progress.left_bytes > MAX_DISCARDED_BYTES)
    }

    /// Reads and discards the rest of each request that nobody else reads.
    pub(super) async fn discard(&self) -> std::convert::Infallible {
        loop {
            self.left_notify.notified().await;
            let body = self.left.lock().expect("no thread panics while it holds the lock").take();
            let (Some(mut body), Some(until)) = (body, self.progress().discard_until) else {
                continue;
            };
            let reading = async {
                let mut left_bytes = MAX_DISCARDED_BYTES;
                while let Some(Ok(frame)) = body.frame().await {
                    let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
                    left_bytes = left_bytes.checked_sub(bytes)?;
                }
                Some(())
            };
            match tokio::time::timeout_at(until.into(), reading).await {
                Ok(Some(())) => self.progress().is_ended = true,
                Ok(None) => debug!("entry: the unread rest of a request is too large"),
                Err(_) => debug!("entry: the unread rest of a request arrives too slowly"),
            }
        }
    }

    /// Reads and discards what is left of the request after the node has closed its side of the connection,
    /// until the caller closes its own.
    pub(super) async fn linger(&self, connection: &OwnedWriteHalf) {
        let until = {
            let progress = self.progress();
            if progress.is_ended {
                return;
            }
            progress.discard_until.unwrap_or_else(|| Instant::now() + DISCARD_TIMEOUT)
        };
        discard_until_closed(connection, until, MAX_DISCARDED_BYTES).await;
    }
}

/// Reads and discards what is left of a head that the HTTP server has refused, until the caller closes its
/// side of the connection.
pub(super) async fn linger_after_head(connection: &OwnedWriteHalf) {
    let until = Instant::now() + DISCARD_TIMEOUT;
    discard_until_closed(connection, until, MAX_DISCARDED_HEAD_BYTES).await;
}

/// Reads and discards at most `max_bytes` that arrive on a connection, until the caller closes its side.
async fn discard_until_closed(connection: &OwnedWriteHalf, until: Instant, max_bytes: u64) {
    let stream = connection.as_ref();
    let reading = async {
        let mut left_bytes = max_bytes;
        // On the heap, as an array would enlarge the task of every connection.
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        loop {
            stream.readable().await?;
            match stream.try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(count) => match left_bytes.checked_sub(count as u64) {
                    Some(left) => left_bytes = left,
                    None => return Ok(()),
                },
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    };
    match tokio::time::timeout_at(until.into(), reading).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => debug!("entry: a caller has broken off its request: {e}"),
        Err(_) => debug!("entry: a caller does not close its side of the connection"),
    }
}
