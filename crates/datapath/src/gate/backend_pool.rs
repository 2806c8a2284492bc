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

use crate::gate::backend_stream::BackendStream;
use crate::gate::backend_stream::ResponseByteCounter;
use crate::gate::silence_detection;
use crate::gate::silence_detection::BodySize;
use crate::gate::upload_body::UploadProgress;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::MAX_HEADER_FIELDS;

struct PooledConnection {
    sender: SendRequest<Body>,
    byte_counter: Arc<ResponseByteCounter>,
    address: SocketAddr,
    /// Size of the request bodies that the connection is used for.
    body_size: BodySize,
    idle_since: Instant,
    /// Cancelled when the connection has ended.
    ended: CancellationToken,
    /// Closes the socket immediately when it is dropped, also in the middle of an upload.
    close: DropGuard,
}

/// Time without progress after which a server that has answered gets no more of an upload.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of sending a request over a pooled connection.
pub(crate) enum SendOutcome {
    /// The head of the response arrived.
    ResponseHead(Box<Response<Incoming>>),
    /// The connection was closed before a byte was written; the request can be sent again.
    NotSent(Box<Request<Body>>),
    /// Bytes may have reached the backend server.
    Failed(CallFailure),
}

/// Pool of connections to the node's backend server, bounded in number.
pub(crate) struct BackendPool {
    idle: Mutex<Vec<PooledConnection>>,
    permits: Arc<Semaphore>,
    capacity: usize,
    max_idle_time: Duration,
    connect_timeout: Duration,
    tracker: TaskTracker,
}

impl BackendPool {
    pub(crate) fn new(
        capacity: usize,
        max_idle_time: Duration,
        connect_timeout: Duration,
        tracker: TaskTracker,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(capacity));
        Self { idle: Mutex::default(), permits, capacity, max_idle_time, connect_timeout, tracker }
    }

    /// Takes an idle connection for requests of this size or opens a new one.
    ///
    /// # Errors
    /// `Late` if no connection becomes free before the deadline, `NoServer` if the connection
    /// cannot be opened.
    pub(crate) async fn checkout(
        self: &Arc<Self>,
        address: SocketAddr,
        body_size: BodySize,
        deadline: Instant,
    ) -> Result<ConnectionLease, CallFailure> {
        let permit = Arc::clone(&self.permits).acquire_owned();
        let permit = tokio::time::timeout_at(deadline.into(), permit).await;
        let permit = permit.map_err(|_| Reason::Late)?.expect("the semaphore is never closed");
        let connection = match self.take_idle(address, body_size) {
            Some(connection) => connection,
            None => self.connect(address, body_size, deadline).await?,
        };
        let pool = Arc::clone(self);
        Ok(ConnectionLease { connection: Some(connection), pool, _permit: permit })
    }

    /// Takes the most recently used idle connection for requests of this size. Drops connections
    /// that are closed, have been idle for too long or lead to another address.
    fn take_idle(&self, address: SocketAddr, body_size: BodySize) -> Option<PooledConnection> {
        let mut idle = self.idle.lock().expect("no thread panics while it holds the lock");
        idle.retain(|connection| {
            connection.address == address
                && !connection.sender.is_closed()
                && connection.idle_since.elapsed() < self.max_idle_time
        });
        let index = idle.iter().rposition(|connection| {
            connection.body_size == body_size && connection.sender.is_ready()
        });
        if let Some(index) = index {
            return Some(idle.remove(index));
        }
        // The caller opens a new connection; idle and used connections together must stay within
        // the capacity.
        let used_count = self.capacity - self.permits.available_permits();
        while !idle.is_empty() && idle.len() + used_count > self.capacity {
            idle.remove(0);
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
        body_size: BodySize,
        deadline: Instant,
    ) -> Result<PooledConnection, CallFailure> {
        let limit = deadline.min(Instant::now() + self.connect_timeout);
        let stream = tokio::time::timeout_at(limit.into(), TcpStream::connect(address)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                debug!("gate: cannot connect to the backend server at {address}: {e}");
                return Err(Reason::NoServer.into());
            }
            Err(_) => return Err(Reason::NoServer.into()),
        };
        let _ = stream.set_nodelay(true);
        if let Err(e) = silence_detection::enable(&stream, body_size) {
            debug!("gate: a silent connection to {address} will be found at a deadline only: {e}");
        }
        let byte_counter = Arc::new(ResponseByteCounter::default());
        let io = BackendStream::new(stream, Arc::clone(&byte_counter));
        let mut client = http1::Builder::new();
        let handshake = client.max_headers(MAX_HEADER_FIELDS).handshake(io);
        let (sender, connection) =
            handshake.await.map_err(|_| CallFailure::from(Reason::NoServer))?;
        let (close, ended) = (CancellationToken::new(), CancellationToken::new());
        let (closed, end) = (close.clone(), ended.clone());
        self.tracker.spawn(async move {
            tokio::select! {
                () = closed.cancelled() => {}
                result = connection => if let Err(e) = result {
                    debug!("gate: connection to the backend server failed: {e}");
                }
            }
            end.cancel();
        });
        let idle_since = Instant::now();
        Ok(PooledConnection {
            sender,
            byte_counter,
            address,
            body_size,
            idle_since,
            ended,
            close: close.drop_guard(),
        })
    }

    pub(crate) fn close_idle(&self) {
        self.idle.lock().expect("no thread panics while it holds the lock").clear();
    }
}

/// A connection in use. Dropping the lease closes the connection; `return_to_pool` keeps it open.
pub(crate) struct ConnectionLease {
    connection: Option<PooledConnection>,
    pool: Arc<BackendPool>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLease {
    /// Sends a request and waits for the head of the response, until the deadline.
    pub(crate) async fn send(&mut self, request: Request<Body>, deadline: Instant) -> SendOutcome {
        let connection = self.connection.as_mut().expect("a lease holds its connection");
        connection.byte_counter.start_response();
        let sending = connection.sender.try_send_request(request);
        match tokio::time::timeout_at(deadline.into(), sending).await {
            Ok(Ok(response)) => SendOutcome::ResponseHead(Box::new(response)),
            Ok(Err(mut e)) => match e.take_message() {
                Some(request) => SendOutcome::NotSent(Box::new(request)),
                None => {
                    let e = e.into_error();
                    debug!("gate: the backend server sent no valid response: {e}");
                    if silence_detection::is_cause_of(&e) {
                        // The network has probably lost track of the other connections as well.
                        self.pool.close_idle();
                    }
                    let is_malformed = e.is_parse() || e.is_parse_too_large();
                    let reason =
                        if is_malformed { Reason::BadAnswer } else { Reason::ConnectionLost };
                    SendOutcome::Failed(reason.into())
                }
            },
            Err(_) => {
                // The other connections to this backend server may be unresponsive as well.
                self.pool.close_idle();
                SendOutcome::Failed(Reason::DeadlinePassed.into())
            }
        }
    }

    /// Bytes received after the head of the response so far.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.connection.as_ref().map_or(0, |connection| connection.byte_counter.body_bytes())
    }

    /// Sends the rest of a request to a server that has answered already, until the deadline. The
    /// connection is closed then: it is not known how much of the request the server reads, and what is
    /// left would be taken for the next one.
    pub(crate) fn finish_upload(mut self, upload: Arc<UploadProgress>, deadline: Instant) {
        let Some(connection) = self.connection.take() else { return };
        let PooledConnection { sender, ended, close, .. } = connection;
        let tracker = self.pool.tracker.clone();
        tracker.spawn(async move {
            // The HTTP client closes the connection after its last request.
            drop(sender);
            tokio::select! {
                () = ended.cancelled() => {}
                () = upload.wait_until_stalled(UPLOAD_STALL_TIMEOUT) => {
                    debug!("gate: the backend server does not read the rest of a request");
                }
                () = tokio::time::sleep_until(deadline.into()) => {
                    debug!("gate: the deadline passed before the rest of a request was sent");
                }
            }
            drop(close);
            // The connection counts among those to the server until now.
            drop(self);
        });
    }

    /// Returns the connection to the pool after a complete response.
    pub(crate) fn return_to_pool(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.idle_since = Instant::now();
        self.pool.idle.lock().expect("no thread panics while it holds the lock").push(connection);
    }
}
