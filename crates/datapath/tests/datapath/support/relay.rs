use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Forwards TCP connections, and can permanently stop forwarding on the open ones while new ones
/// work, like a middlebox that lost its state.
pub struct Relay {
    pub address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    freeze: Arc<Mutex<CancellationToken>>,
    held: watch::Sender<Held>,
}

/// Connections whose bytes are held back, by the number of connections accepted before them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    until: usize,
}

impl Held {
    const NONE: Self = Self { until: 0 };
    const ALL: Self = Self { until: usize::MAX };
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
        let held = watch::Sender::new(Held::NONE);
        let holds = held.subscribe();
        // A node that is paused must not pause the relay with it.
        let runtime = Handle::current();
        let forward = move |target: SocketAddr| {
            runtime.spawn(async move {
                while let Ok((mut client_stream, _)) = listener.accept().await {
                    let number = counter.fetch_add(1, Ordering::SeqCst);
                    let frozen = token.lock().unwrap().clone();
                    let gate = Gate { number, holds: holds.clone() };
                    tokio::spawn(async move {
                        // The node behind the relay may have stopped.
                        let Ok(mut target_stream) = TcpStream::connect(target).await else { return };
                        let is_frozen = tokio::select! {
                            () = frozen.cancelled() => true,
                            () = forward_both(&mut client_stream, &mut target_stream, &gate) => false,
                        };
                        if is_frozen {
                            // Both sockets stay open, but no more bytes are forwarded.
                            std::future::pending::<()>().await;
                        }
                    });
                }
            });
        };
        (Self { address, accepted, freeze, held }, forward)
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Holds back all bytes, on open and new connections, or forwards them again.
    pub fn set_paused(&self, is_paused: bool) {
        self.held.send_replace(if is_paused { Held::ALL } else { Held::NONE });
    }

    /// Holds back all bytes on the open connections, while new ones work.
    pub fn hold_open_connections(&self) {
        self.held.send_replace(Held { until: self.accepted() });
    }

    /// Forwards what was held back.
    pub fn release(&self) {
        self.held.send_replace(Held::NONE);
    }

    /// Stops forwarding on the open connections without closing them.
    pub fn freeze_connections(&self) {
        std::mem::take(&mut *self.freeze.lock().unwrap()).cancel();
    }
}

/// Lets the bytes of one connection pass while they are not held back.
#[derive(Clone)]
struct Gate {
    number: usize,
    holds: watch::Receiver<Held>,
}

impl Gate {
    /// Returns false if the relay has ended.
    async fn pass(&mut self) -> bool {
        let number = self.number;
        self.holds.wait_for(|held| held.until <= number).await.is_ok()
    }
}

/// Forwards bytes in both directions until one of them ends.
async fn forward_both(one: &mut TcpStream, other: &mut TcpStream, gate: &Gate) {
    let (mut one_read, mut one_write) = one.split();
    let (mut other_read, mut other_write) = other.split();
    tokio::select! {
        () = forward(&mut one_read, &mut other_write, gate.clone()) => {}
        () = forward(&mut other_read, &mut one_write, gate.clone()) => {}
    }
}

async fn forward(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut gate: Gate,
) {
    let mut buffer = [0; 16 * 1_024];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let is_open = gate.pass().await;
        if count == 0 || !is_open || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
