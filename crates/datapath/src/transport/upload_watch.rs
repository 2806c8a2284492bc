use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body as HttpBody;
use tokio::io::Interest;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tracing::debug;

/// Interval at which the connection of an upload is checked, while bytes that nobody reads wait in it. It is
/// well below the half second after which work for a caller that has left is wasted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a body that is read as soon as it arrives, in bytes. The HTTP server buffers as much, and
/// then sees by itself that a caller leaves.
const MAX_BUFFERED_BYTES: u64 = 8 << 10;

/// Notices that the caller of an upload leaves while nobody reads the upload.
///
/// The HTTP server reads a body only as fast as it is taken. While an upload waits for a backend server, the
/// end of the connection hides behind bytes that are not read, but the operating system knows of it.
#[derive(Debug, Default)]
pub(crate) struct UploadWatch {
    is_active: AtomicBool,
    started: Notify,
}

impl UploadWatch {
    /// Begins to watch, if the body is an upload. The watch ends when the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>, body: &impl HttpBody) -> Option<UploadGuard> {
        let is_upload = body.size_hint().upper().is_none_or(|bytes| bytes > MAX_BUFFERED_BYTES);
        is_upload.then(|| {
            self.is_active.store(true, Ordering::Relaxed);
            self.started.notify_one();
            UploadGuard(Arc::clone(self))
        })
    }

    /// Returns when the caller has closed its side of the connection during an upload.
    pub(crate) async fn wait_until_caller_left(&self, connection: &OwnedWriteHalf) {
        loop {
            self.started.notified().await;
            while self.is_active.load(Ordering::Relaxed) {
                let ready = connection.ready(Interest::READABLE).await;
                if !self.is_active.load(Ordering::Relaxed) {
                    // The answer has begun meanwhile. A caller that closes its side now has sent all of its
                    // upload, and the server may still read it.
                    break;
                }
                match ready {
                    Ok(ready) if ready.is_read_closed() => return,
                    Ok(_) => tokio::time::sleep(CHECK_INTERVAL).await,
                    Err(e) => {
                        debug!("entry: cannot wait for the end of an upload: {e}");
                        break;
                    }
                }
            }
        }
    }
}

/// Watches the connection of an upload until it is dropped.
pub(crate) struct UploadGuard(Arc<UploadWatch>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.is_active.store(false, Ordering::Relaxed);
    }
}
