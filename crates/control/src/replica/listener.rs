use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_consensus::driver::ReplicaHandle;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_wire::decode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::io::AsyncWriteExt;
use tokio::io::BufStream;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tracing::debug;
use tracing::warn;

use crate::control::AuthFailureRecorder;
use crate::replica::frame_reader::FrameReader;

/// Maximum number of concurrent connections from replicas, several times the number of replicas.
const MAX_CONNECTIONS: usize = 64;

/// Frame that acknowledges a message: a length of zero.
const EMPTY_FRAME: [u8; 4] = [0; 4];

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
    let reader = Arc::new(FrameReader::default());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_connection(
                        stream,
                        from,
                        Arc::clone(&reader),
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
    reader: Arc<FrameReader>,
    replica: ReplicaHandle,
    (key, auth_failures): (DeploymentKey, Arc<AuthFailureRecorder>),
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stream = BufStream::new(stream);
    while let Some(frame) = reader.read(&mut stream).await {
        match decode_authenticated::<RaftMessage>(&key, MessageChannel::Replica, &frame) {
            Ok(message) => replica.receive(message),
            Err(e) => {
                auth_failures.record(|| format!("log: closed the connection from {from}: {e}"));
                return;
            }
        }
        if stream.write_all(&EMPTY_FRAME).await.is_err() || stream.flush().await.is_err() {
            break;
        }
    }
    debug!("log: connection from {from} closed");
}
