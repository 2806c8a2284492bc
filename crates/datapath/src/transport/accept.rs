use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

/// Delay after a failed accept, which usually means that the process has no free file descriptors,
/// and interval at which the number of open connections is checked while it is at its limit.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which the backlog counts as empty at a stop.
const BACKLOG_QUIET_TIME: Duration = Duration::from_millis(5);

/// Maximum number of connections that are accepted after a stop, so that a stop under constant load
/// ends.
const MAX_ACCEPTED_AFTER_STOP: usize = 1_024;

/// Accepts connections until stopped, then closes the listener and waits for the tasks of all
/// connections.
///
/// Connections in the backlog at the stop are still served: their callers have sent requests
/// already, which would otherwise be cut off without an answer.
///
/// While `max_connections` are open, further ones wait in the backlog. `serve` also receives the
/// tracker, in which a connection can spawn its own tasks.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    max_connections: usize,
    stop: &CancellationToken,
    serve: impl Fn(TcpStream, SocketAddr, TaskTracker) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let tracker = TaskTracker::new();
    loop {
        let has_room = tracker.len() < max_connections;
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept(), if has_room => accepted,
            () = tokio::time::sleep(ACCEPT_RETRY_DELAY), if !has_room => continue,
        };
        match accepted {
            Ok((stream, remote_address)) => {
                let _ = stream.set_nodelay(true);
                tracker.spawn(serve(stream, remote_address, tracker.clone()));
            }
            Err(e) => {
                debug!("kernel: cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for _ in 0..MAX_ACCEPTED_AFTER_STOP {
        match tokio::time::timeout(BACKLOG_QUIET_TIME, listener.accept()).await {
            Ok(Ok((stream, remote_address))) => {
                let _ = stream.set_nodelay(true);
                tracker.spawn(serve(stream, remote_address, tracker.clone()));
            }
            Ok(Err(e)) => {
                debug!("kernel: cannot accept a connection: {e}");
                break;
            }
            Err(_) => break,
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}
