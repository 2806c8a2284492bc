use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

/// Wait after a failed accept, which usually means that file descriptors ran out, and before the
/// number of connections is looked at again.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections until stopped, closes the listener and joins the connections.
///
/// With `max_connections` open ones, further ones wait in the backlog. `serve` also gets the
/// tracker, for tasks that a connection starts.
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
            () = tokio::time::sleep(ACCEPT_RETRY), if !has_room => continue,
        };
        match accepted {
            Ok((stream, from)) => {
                let _ = stream.set_nodelay(true);
                tracker.spawn(serve(stream, from, tracker.clone()));
            }
            Err(e) => {
                debug!("kernel: cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}
