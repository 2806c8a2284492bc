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

/// Time without an acknowledgement after which a connection is considered broken, in ms.
const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 2_000;

/// Time limit for establishing a connection, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Delay after a failed connection, in ms. Messages that are queued in the meantime are dropped.
const RECONNECT_DELAY_MS: u64 = 200;

/// Sends the messages of a queue to one replica over a connection that is re-established when it
/// fails.
///
/// The receiver acknowledges each frame, because a connection whose state was lost on the network
/// path accepts bytes for minutes before TCP reports an error.
pub struct PeerSender {
    /// Name of the replica's node.
    pub name: String,
    /// Addresses of the replicas.
    pub addresses: ReplicaAddresses,
    /// Encoded and authenticated messages.
    pub queue: mpsc::Receiver<Bytes>,
}

impl PeerSender {
    /// Runs until the queue is closed.
    pub async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            if let Err(report) = self.run_connection(first).await {
                debug!("log: connection to {} failed: {report:?}", self.name);
                tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
                while self.queue.try_recv().is_ok() {}
            }
        }
    }

    async fn run_connection(&mut self, first: Bytes) -> Result<(), Report<KernelError>> {
        let service_failure =
            |step: &str| KernelError::ServiceFailed(format!("{step} {}", self.name));
        let address = self
            .addresses
            .replica_address(&self.name)
            .ok_or_else(|| Report::new(service_failure("no address is known for")))?;
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(address))
            .await
            .change_context_lazy(|| service_failure("timed out connecting to"))?
            .change_context_lazy(|| service_failure("cannot connect to"))?;
        stream.set_nodelay(true).change_context_lazy(|| {
            service_failure("cannot set TCP_NODELAY on the connection to")
        })?;
        let mut frames = Framed::new(stream, frame_codec());
        let acknowledgement_timeout = Duration::from_millis(ACKNOWLEDGEMENT_TIMEOUT_MS);
        let mut unacknowledged = 1;
        let mut waiting_since = Instant::now();
        let sent = tokio::time::timeout(acknowledgement_timeout, frames.send(first)).await;
        sent.change_context_lazy(|| service_failure("timed out sending to"))?
            .change_context_lazy(|| service_failure("cannot send to"))?;
        loop {
            tokio::select! {
                message = self.queue.recv() => {
                    let Some(message) = message else { return Ok(()) };
                    if unacknowledged == 0 {
                        waiting_since = Instant::now();
                    }
                    unacknowledged += 1;
                    let sent =
                        tokio::time::timeout(acknowledgement_timeout, frames.send(message)).await;
                    sent.change_context_lazy(|| service_failure("timed out sending to"))?
                        .change_context_lazy(|| service_failure("cannot send to"))?;
                }
                acknowledgement = frames.next() => {
                    acknowledgement
                        .ok_or_else(|| Report::new(service_failure("connection closed by")))?
                        .change_context_lazy(|| service_failure("cannot read from"))?;
                    unacknowledged -= 1;
                    waiting_since = Instant::now();
                }
                () = tokio::time::sleep_until(waiting_since + acknowledgement_timeout),
                    if unacknowledged > 0 =>
                {
                    let step = "timed out waiting for an acknowledgement from";
                    return Err(Report::new(service_failure(step)));
                }
            }
        }
    }
}
