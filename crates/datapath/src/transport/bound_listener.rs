use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;

use error_stack::Report;
use tarragon_kernel::KernelError;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;
use tokio_util::task::TaskTracker;

use crate::transport::accept::accept_connections;

/// A bound TCP listener. Connections wait in the backlog until `serve` is called, which is possible
/// only once.
pub(crate) struct BoundListener {
    name: &'static str,
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    /// Dropped after the last connection has closed; the tracker that issued it waits for this.
    active: Mutex<Option<TaskTrackerToken>>,
}

impl BoundListener {
    /// Binds the address.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub(crate) async fn bind(
        name: &'static str,
        address: SocketAddr,
        active: TaskTrackerToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (listener, active) = (Mutex::new(Some(listener)), Mutex::new(Some(active)));
        Ok(Self { name, address, listener, active })
    }

    pub(crate) fn name(&self) -> &'static str {
        self.name
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until stopped and waits for their tasks, see [`accept_connections`].
    ///
    /// # Errors
    /// `ServiceFailed` if it was called before.
    pub(crate) async fn serve<F>(
        &self,
        max_connections: usize,
        stop: &CancellationToken,
        serve: impl Fn(TcpStream, SocketAddr, TaskTracker) -> F,
    ) -> Result<(), Report<KernelError>>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener =
            self.listener.lock().expect("no thread panics while it holds the lock").take();
        let failure = || Report::new(KernelError::ServiceFailed(self.name.into()));
        accept_connections(listener.ok_or_else(failure)?, max_connections, stop, serve).await;
        drop(self.active.lock().expect("no thread panics while it holds the lock").take());
        Ok(())
    }
}
