use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use tarragon_model::call::Reason;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::gate::backend_io::AnswerCount;
use crate::gate::backend_io::BackendIo;
use crate::transport::Body;
use crate::transport::CallFailure;

struct Connection {
    sender: SendRequest<Body>,
    count: Arc<AnswerCount>,
    address: SocketAddr,
    idle_since: Instant,
    /// Closes the socket at once, also in the middle of an upload.
    _close: DropGuard,
}

/// What became of a request that was handed to a connection.
pub(crate) enum Sent {
    /// The head of the answer arrived.
    Head(Box<Response<Incoming>>),
    /// The connection had closed before a byte was written.
    Unused(Box<Request<Body>>),
    /// Bytes may have reached the backend server.
    Failed(CallFailure),
}

/// Connections to the own backend server, reused and bounded in number.
pub(crate) struct BackendPool {
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
    capacity: usize,
    max_idle: Duration,
    connect_timeout: Duration,
    tracker: TaskTracker,
}

impl BackendPool {
    pub(crate) fn new(
        capacity: usize,
        max_idle: Duration,
        connect_timeout: Duration,
        tracker: TaskTracker,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(capacity));
        Self { idle: Mutex::default(), permits, capacity, max_idle, connect_timeout, tracker }
    }

    /// Takes an idle connection or makes a new one.
    ///
    /// # Errors
    /// `Late` if no connection comes free in time, `NoServer` if the backend server refuses.
    pub(crate) async fn checkout(
        self: &Arc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Lease, CallFailure> {
        let permit = Arc::clone(&self.permits).acquire_owned();
        let permit = tokio::time::timeout_at(deadline.into(), permit).await;
        let permit = permit.map_err(|_| Reason::Late)?.expect("the semaphore is never closed");
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.connect(address, deadline).await?,
        };
        let pool = Arc::clone(self);
        Ok(Lease { connection: Some(connection), pool, _permit: permit })
    }

    /// Takes the connection that was used last, and drops those that are closed or old.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.retain(|connection| {
            connection.address == address
                && !connection.sender.is_closed()
                && connection.idle_since.elapsed() < self.max_idle
        });
        let at = idle.iter().rposition(|connection| connection.sender.is_ready());
        if let Some(at) = at {
            return Some(idle.remove(at));
        }
        // A new connection follows; the sum of idle and used ones stays within the capacity.
        let used = self.capacity - self.permits.available_permits();
        while !idle.is_empty() && idle.len() + used > self.capacity {
            idle.remove(0);
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, CallFailure> {
        let limit = deadline.min(Instant::now() + self.connect_timeout);
        let stream = tokio::time::timeout_at(limit.into(), TcpStream::connect(address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                debug!("gate: no connection to the backend server {address}: {e}");
                return Err(Reason::NoServer.into());
            }
            Err(_) => return Err(Reason::NoServer.into()),
        };
        let _ = stream.set_nodelay(true);
        let count = Arc::new(AnswerCount::default());
        let io = BackendIo::new(stream, Arc::clone(&count));
        let (sender, connection) =
            http1::handshake(io).await.map_err(|_| CallFailure::from(Reason::NoServer))?;
        let close = CancellationToken::new();
        let closed = close.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                () = closed.cancelled() => {}
                result = connection => if let Err(e) = result {
                    debug!("gate: connection to the backend server ended: {e}");
                }
            }
        });
        let idle_since = Instant::now();
        Ok(Connection { sender, count, address, idle_since, _close: close.drop_guard() })
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        self.idle.lock().expect("no holder of the lock panics").clear();
    }
}

/// A connection in use. Dropping it closes the connection, unless it was given back.
pub(crate) struct Lease {
    connection: Option<Connection>,
    pool: Arc<BackendPool>,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(&mut self, request: Request<Body>, deadline: Instant) -> Sent {
        let connection = self.connection.as_mut().expect("a lease holds its connection");
        connection.count.begin();
        let sending = connection.sender.try_send_request(request);
        match tokio::time::timeout_at(deadline.into(), sending).await {
            Ok(Ok(response)) => Sent::Head(Box::new(response)),
            Ok(Err(mut e)) => match e.take_message() {
                Some(request) => Sent::Unused(Box::new(request)),
                None => {
                    let e = e.into_error();
                    debug!("gate: backend server gave no answer: {e}");
                    let is_malformed = e.is_parse() || e.is_parse_too_large();
                    let reason =
                        if is_malformed { Reason::BadAnswer } else { Reason::ConnectionLost };
                    Sent::Failed(reason.into())
                }
            },
            Err(_) => {
                // The connections beside this one may be silent as well.
                self.pool.clear();
                Sent::Failed(Reason::DeadlinePassed.into())
            }
        }
    }

    /// Bytes that followed the head of the answer so far.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.connection.as_ref().map_or(0, |connection| connection.count.body_bytes())
    }

    /// Returns the connection to the pool after a whole answer.
    pub(crate) fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.idle_since = Instant::now();
        self.pool.idle.lock().expect("no holder of the lock panics").push(connection);
    }
}
