use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_wire::decode_authenticated;
use tarragon_wire::frame_codec;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;
use tracing::debug;
use tracing::warn;

use crate::control::AuthFailureRecorder;

/// Maximum number of concurrent connections from replicas, several times the number of replicas.
const MAX_CONNECTIONS: usize = 64;

/// Time without a message after which a connection is closed, in ms.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Delay after the operating system failed to accept a connection, in ms.
const ACCEPT_RETRY_DELAY_MS: u64 = 100;

/// Accepts connections from other replicas and passes their messages to the local replica. Dropping
/// the future closes the connections.
pub async fn run_listener(
    listener: TcpListener,
    replica: ReplicaHandle,
    key: DeploymentKey,
    auth_failures: Arc<AuthFailureRecorder>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_connection(
                        stream,
                        from,
                        replica.clone(),
                        (key.clone(), Arc::clone(&auth_failures)),
                    ));
                }
                Ok((_, from)) => warn!("log: too many connections, closed the one from {from}"),
                Err(e) => {
                    warn!("log: cannot accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Reads messages and acknowledges each with an empty frame. Closes the connection after a message
/// that fails authentication, since the rest of the stream cannot be trusted.
async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    replica: ReplicaHandle,
    (key, auth_failures): (DeploymentKey, Arc<AuthFailureRecorder>),
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut frames = Framed::new(stream, frame_codec());
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(idle_timeout, frames.next()).await {
        match decode_authenticated::<RaftMessage>(&key, MessageChannel::Replica, &frame) {
            Ok(message) => replica.receive(message),
            Err(e) => {
                auth_failures.record(|| format!("log: closed the connection from {from}: {e}"));
                return;
            }
        }
        if frames.send(Bytes::new()).await.is_err() {
            break;
        }
    }
    debug!("log: connection from {from} closed");
}
