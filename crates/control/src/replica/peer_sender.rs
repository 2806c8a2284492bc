use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tarragon_kernel::KernelError;
use tarragon_wire::frame_codec;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::replica::ReplicaAddresses;

/// Time without an acknowledgement after which a connection counts as silent, in ms.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

/// Longest wait for a new connection, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed connection, in ms; messages that come in meanwhile are dropped.
const RECONNECT_PAUSE_MS: u64 = 200;

/// Sends the messages of a queue to one replica over a connection that it keeps up.
///
/// The receiver acknowledges each frame, because a connection whose state was lost in between
/// takes bytes for minutes before TCP reports an error.
pub struct PeerSender {
    /// Name of the replica's node.
    pub name: String,
    /// Where to find its address.
    pub addresses: ReplicaAddresses,
    /// Messages, sealed.
    pub queue: mpsc::Receiver<Bytes>,
}

impl PeerSender {
    /// Runs until the queue is closed.
    pub async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            if let Err(report) = self.run_connection(first).await {
                debug!("log: connection to {}: {report:?}", self.name);
                tokio::time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
                while self.queue.try_recv().is_ok() {}
            }
        }
    }

    async fn run_connection(&mut self, first: Bytes) -> Result<(), Report<KernelError>> {
        let failure = |step: &str| KernelError::ServiceFailed(format!("{step} {}", self.name));
        let address = self
            .addresses
            .replica_address(&self.name)
            .ok_or_else(|| Report::new(failure("no address is known of")))?;
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .change_context_lazy(|| failure("no connection in time to"))?
            .change_context_lazy(|| failure("cannot connect to"))?;
        stream.set_nodelay(true).change_context_lazy(|| failure("cannot set up"))?;
        let mut frames = Framed::new(stream, frame_codec());
        let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
        let mut unacknowledged = 1;
        let mut heard = Instant::now();
        let sent = tokio::time::timeout(silence, frames.send(first)).await;
        sent.change_context_lazy(|| failure("silent connection to"))?
            .change_context_lazy(|| failure("cannot send to"))?;
        loop {
            tokio::select! {
                message = self.queue.recv() => {
                    let Some(message) = message else { return Ok(()) };
                    if unacknowledged == 0 {
                        heard = Instant::now();
                    }
                    unacknowledged += 1;
                    let sent = tokio::time::timeout(silence, frames.send(message)).await;
                    sent.change_context_lazy(|| failure("silent connection to"))?
                        .change_context_lazy(|| failure("cannot send to"))?;
                }
                acknowledgement = frames.next() => {
                    acknowledgement
                        .ok_or_else(|| Report::new(failure("closed by")))?
                        .change_context_lazy(|| failure("cannot read from"))?;
                    unacknowledged -= 1;
                    heard = Instant::now();
                }
                () = tokio::time::sleep_until(heard + silence), if unacknowledged > 0 => {
                    return Err(Report::new(failure("silent connection to")));
                }
            }
        }
    }
}
