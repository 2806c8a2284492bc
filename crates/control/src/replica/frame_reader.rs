use std::io::Result;
use std::time::Duration;

use tarragon_wire::MAX_FRAME_BYTES;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::sync::Semaphore;
use tracing::debug;

/// Time without a message after which a connection is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for reading a frame after its length, so that an unfinished one does not block others.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a frame that is read at once, in bytes. Heartbeats and most entries are smaller.
const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;

/// Maximum number of larger frames that are read at the same time. Each is kept whole in memory before
/// its sender is authenticated.
const MAX_LARGE_FRAMES: usize = 8;

/// Reads the frames of all connections from replicas, within a limit on the memory for all of them.
pub(super) struct FrameReader {
    large_frames: Semaphore,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self { large_frames: Semaphore::new(MAX_LARGE_FRAMES) }
    }
}

impl FrameReader {
    /// Reads a frame. Returns `None` if the connection has ended or must be given up: it is idle or
    /// broken, or its frame is too long or too slow.
    pub(super) async fn read(&self, stream: &mut (impl AsyncRead + Unpin)) -> Option<Vec<u8>> {
        let length = tokio::time::timeout(IDLE_TIMEOUT, stream.read_u32()).await.ok()?.ok()?;
        let length = usize::try_from(length).ok().filter(|length| *length <= MAX_FRAME_BYTES);
        let Some(length) = length else {
            debug!("log: the frame is longer than {MAX_FRAME_BYTES} bytes");
            return None;
        };
        match tokio::time::timeout(FRAME_TIMEOUT, self.read_payload(stream, length)).await {
            Ok(payload) => payload.ok(),
            Err(_) => {
                debug!("log: a frame of {length} bytes did not arrive within {FRAME_TIMEOUT:?}");
                None
            }
        }
    }

    async fn read_payload(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        length: usize,
    ) -> Result<Vec<u8>> {
        let _permit = match length > MAX_SMALL_FRAME_BYTES {
            true => self.large_frames.acquire().await.ok(),
            false => None,
        };
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload).await?;
        Ok(payload)
    }
}
