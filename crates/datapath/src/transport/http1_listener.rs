use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;
use tracing::debug;

use crate::transport::unread_body;
use crate::transport::Body;
use crate::transport::BoundListener;
use crate::transport::RequestBody;
use crate::transport::UnreadBody;
use crate::transport::UploadWatch;
use crate::transport::WriteTimeoutIo;
use crate::transport::MAX_HEADER_FIELDS;

/// Idle time after which a connection without a request is closed. hyper's default of 30 s would
/// close pooled connections of callers with little traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Time that a caller has at a stop for the first request on a new connection. A caller that has
/// connected usually sends a request at once, but one that sends nothing must not delay the stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles the requests of an HTTP/1.1 listener.
#[async_trait]
pub trait Http1Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller closes the connection.
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body>;
}

/// Limits of an HTTP/1.1 listener.
#[derive(Debug, Clone, Copy)]
pub struct Http1Limits {
    /// Maximum size of the headers of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections; further ones wait in the backlog.
    pub max_connections: usize,
    /// Time after which a connection fails if the caller reads no bytes.
    pub write_timeout: Duration,
}

/// Address of the client of a request, stored in the extensions of the request.
#[derive(Debug, Clone, Copy)]
pub struct RemoteAddress(pub SocketAddr);

/// Accepts HTTP/1.1 connections until it is stopped, then waits for requests in progress to finish.
pub struct Http1Listener<H> {
    listener: BoundListener,
    handler: Arc<H>,
    limits: Http1Limits,
}

impl<H: Http1Handler> Http1Listener<H> {
    /// Binds the address. Connections wait in the backlog until the service runs.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn bind(
        name: &'static str,
        address: SocketAddr,
        handler: Arc<H>,
        limits: Http1Limits,
        active: TaskTrackerToken,
    ) -> std::io::Result<Self> {
        let listener = BoundListener::bind(name, address, active).await?;
        Ok(Self { listener, handler, limits })
    }

    /// Address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    async fn serve(
        handler: Arc<H>,
        stream: WriteTimeoutIo,
        remote_address: SocketAddr,
        max_header_bytes: usize,
        stop: CancellationToken,
    ) {
        let (uploads, connection_to_caller) = (Arc::<UploadWatch>::default(), stream.connection());
        let unread = Arc::<UnreadBody>::default();
        let unread_of_requests = Arc::clone(&unread);
        let watched_uploads = Arc::clone(&uploads);
        let has_request = Arc::new(AtomicBool::new(false));
        let (requested, stopped) = (Arc::clone(&has_request), stop.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            let (handler, stopped) = (Arc::clone(&handler), stopped.clone());
            let unread = Arc::clone(&unread_of_requests);
            requested.store(true, Ordering::Relaxed);
            request.extensions_mut().insert(RemoteAddress(remote_address));
            let upload = watched_uploads.start(request.body());
            let awaits_continue = request.headers().contains_key(EXPECT);
            let request = request.map(|body| RequestBody::new(body, Arc::clone(&unread)));
            if awaits_continue {
                unread.await_continue();
            }
            async move {
                let _upload = upload;
                let mut response = handler.handle(request).await;
                if stopped.is_cancelled() || unread.needs_close() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        // The handler refuses headers over the limit with an outcome header. hyper refuses headers
        // that exceed its buffer without one, so the buffer is larger than the limit and only
        // extremely large headers are refused that way.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(max_header_bytes * 4)
            .max_headers(MAX_HEADER_FIELDS)
            .serve_connection(stream, service);
        tokio::pin!(connection);
        let serving = async {
            tokio::select! {
                // A request that has arrived already is read before the connection is shut down.
                biased;
                result = connection.as_mut() => Some(result),
                () = uploads.wait_until_caller_left(&connection_to_caller) => {
                    debug!(%remote_address, "entry: the caller of an upload has left");
                    None
                }
                () = stop.cancelled() => {
                    // hyper would close a new connection at once, also if its first request is on its
                    // way.
                    let is_new = !has_request.load(Ordering::Relaxed);
                    let limit = if is_new { FIRST_REQUEST_TIMEOUT } else { Duration::ZERO };
                    match tokio::time::timeout(limit, connection.as_mut()).await {
                        Ok(result) => Some(result),
                        Err(_) if has_request.load(Ordering::Relaxed) => {
                            connection.as_mut().graceful_shutdown();
                            Some(connection.as_mut().await)
                        }
                        Err(_) => {
                            debug!(%remote_address, "entry: closing a connection without a request");
                            None
                        }
                    }
                }
            }
        };
        let served = tokio::select! {
            served = serving => served,
            never = unread.discard() => match never {},
        };
        match served {
            None => {}
            Some(Ok(())) => unread.linger(&connection_to_caller).await,
            Some(Err(e)) => {
                debug!("entry: HTTP connection failed: {e}");
                if e.is_parse() {
                    // hyper has refused a head that it had not read to its end.
                    unread_body::linger_after_head(&connection_to_caller).await;
                }
            }
        }
    }
}

#[async_trait]
impl<H: Http1Handler> Service for Http1Listener<H> {
    fn name(&self) -> &'static str {
        self.listener.name()
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let limits = self.limits;
        let serve = |stream, remote_address, _| {
            let stream = WriteTimeoutIo::new(stream, limits.write_timeout);
            let handler = Arc::clone(&self.handler);
            Self::serve(handler, stream, remote_address, limits.max_header_bytes, stop.clone())
        };
        self.listener.serve(limits.max_connections, &stop, serve).await
    }
}
