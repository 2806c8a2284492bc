use std::pin::pin;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dropshot::ClientErrorStatusCode;
use dropshot::HttpError;
use dropshot::StreamingBody;
use futures_util::Stream;
use futures_util::TryStreamExt;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tracing::debug;

/// Maximum size of a large request body, in bytes; a release note with every service of a large
/// deployment fits.
pub const MAX_LARGE_BODY_BYTES: usize = 4 << 20;

/// Number of bytes of a body that are read at once. Most requests between nodes are smaller.
const MAX_SMALL_BODY_BYTES: usize = 64 << 10;

/// Maximum number of bodies of which more is read at the same time. Each is kept whole in memory; those
/// of other nodes are authenticated only after that.
const MAX_LARGE_BODIES: usize = 4;

/// Maximum wait for a permit. Each waiting connection keeps some hundred KiB in its buffers.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for reading a body, so that an unfinished one does not block others.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the rest of a body that nobody needs.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the request bodies of the endpoints whose requests may be large.
pub struct LargeBodies {
    permits: Semaphore,
}

impl Default for LargeBodies {
    fn default() -> Self {
        Self { permits: Semaphore::new(MAX_LARGE_BODIES) }
    }
}

impl LargeBodies {
    /// Reads a whole body.
    ///
    /// # Errors
    /// 400 if the body is too long or breaks off, 408 if it does not arrive in time, 503 if too many
    /// others arrive. The request has changed nothing.
    pub async fn read(&self, body: StreamingBody) -> Result<Vec<u8>, HttpError> {
        let read = tokio::time::timeout(BODY_TIMEOUT, self.read_chunks(body)).await;
        read.unwrap_or_else(|_| {
            let message = format!("the body did not arrive within {BODY_TIMEOUT:?}");
            Err(HttpError::for_client_error(None, ClientErrorStatusCode::REQUEST_TIMEOUT, message))
        })
    }

    async fn read_chunks(&self, body: StreamingBody) -> Result<Vec<u8>, HttpError> {
        let mut chunks = pin!(body.into_stream());
        let mut bytes = BytesMut::new();
        let mut permit = None;
        while let Some(chunk) = chunks.try_next().await? {
            bytes.extend_from_slice(&chunk);
            drop(chunk);
            if bytes.len() > MAX_SMALL_BODY_BYTES && permit.is_none() {
                permit = match self.acquire().await {
                    Ok(permit) => Some(permit),
                    Err(e) => {
                        discard_chunks(chunks).await;
                        return Err(e);
                    }
                };
                // A buffer that grows would take up to three times as much while it is copied.
                bytes.reserve(MAX_LARGE_BODY_BYTES.saturating_sub(bytes.len()));
            }
        }
        Ok(bytes.into())
    }

    /// Reads and discards the body of a request that is refused. The operating system would reset a
    /// connection that is closed with unread bytes, and drop the refusal.
    pub async fn discard(body: StreamingBody) {
        discard_chunks(pin!(body.into_stream())).await;
    }

    async fn acquire(&self) -> Result<SemaphorePermit<'_>, HttpError> {
        match tokio::time::timeout(PERMIT_TIMEOUT, self.permits.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => {
                let message = format!("{MAX_LARGE_BODIES} other large bodies are being read");
                let mut error = HttpError::for_unavail(None, message.clone());
                error.external_message = message;
                Err(error)
            }
        }
    }
}

/// Reads chunks until the body ends, is too long or breaks off, or the time is over.
async fn discard_chunks<S>(mut chunks: Pin<&mut S>)
where
    S: Stream<Item = Result<Bytes, HttpError>>,
{
    let reading = async { while let Ok(Some(_)) = chunks.try_next().await {} };
    if tokio::time::timeout(DISCARD_TIMEOUT, reading).await.is_err() {
        debug!("control API: the rest of a refused request arrives too slowly");
    }
}
