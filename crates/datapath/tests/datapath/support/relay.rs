use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Forwards TCP connections, and can permanently stop forwarding on the open ones while new ones
/// work, like a middlebox that lost its state.
pub struct Relay {
    pub address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    freeze: Arc<Mutex<CancellationToken>>,
}

impl Relay {
    /// Binds the relay. It forwards to the address that the returned closure is called with.
    pub fn bind() -> (Self, impl FnOnce(SocketAddr)) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let freeze: Arc<Mutex<CancellationToken>> = Arc::default();
        let token = Arc::clone(&freeze);
        let accepted: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&accepted);
        let forward = move |target: SocketAddr| {
            tokio::spawn(async move {
                while let Ok((mut client_stream, _)) = listener.accept().await {
                    counter.fetch_add(1, Ordering::SeqCst);
                    let frozen = token.lock().unwrap().clone();
                    tokio::spawn(async move {
                        let mut target_stream = TcpStream::connect(target).await.unwrap();
                        let is_frozen = tokio::select! {
                            () = frozen.cancelled() => true,
                            _ = copy_bidirectional(&mut client_stream, &mut target_stream) => false,
                        };
                        if is_frozen {
                            // Both sockets stay open, but no more bytes are forwarded.
                            std::future::pending::<()>().await;
                        }
                    });
                }
            });
        };
        (Self { address, accepted, freeze }, forward)
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Stops forwarding on the open connections without closing them.
    pub fn freeze_connections(&self) {
        std::mem::take(&mut *self.freeze.lock().unwrap()).cancel();
    }
}
