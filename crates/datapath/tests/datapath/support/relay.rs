use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Forwards TCP connections, and can make the present ones silent for good while new ones work,
/// like a middlebox that lost its state.
pub struct Relay {
    pub address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    silence: Arc<Mutex<CancellationToken>>,
}

impl Relay {
    /// Binds the relay; it forwards to the address that `forward` is given.
    pub fn bind() -> (Self, impl FnOnce(SocketAddr)) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let silence: Arc<Mutex<CancellationToken>> = Arc::default();
        let token = Arc::clone(&silence);
        let accepted: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&accepted);
        let forward = move |target: SocketAddr| {
            tokio::spawn(async move {
                while let Ok((mut inward, _)) = listener.accept().await {
                    counter.fetch_add(1, Ordering::SeqCst);
                    let silenced = token.lock().unwrap().clone();
                    tokio::spawn(async move {
                        let mut outward = TcpStream::connect(target).await.unwrap();
                        let is_silent = tokio::select! {
                            () = silenced.cancelled() => true,
                            _ = copy_bidirectional(&mut inward, &mut outward) => false,
                        };
                        if is_silent {
                            // Both sockets stay open, and nothing passes any more.
                            std::future::pending::<()>().await;
                        }
                    });
                }
            });
        };
        (Self { address, accepted, silence }, forward)
    }

    /// Number of connections so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Makes the present connections silent.
    pub fn freeze_connections(&self) {
        std::mem::take(&mut *self.silence.lock().unwrap()).cancel();
    }
}
