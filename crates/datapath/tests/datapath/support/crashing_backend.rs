use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tarragon_datapath::transport::full;
use tarragon_datapath::transport::Body;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Time that a crashed server takes to start again.
const START_TIME: Duration = Duration::from_millis(300);

/// Time that the server runs a request before it answers or crashes.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Time that the server runs a request whose path contains `slow`.
const SLOW_RUN_TIME: Duration = Duration::from_secs(6);

/// Number of requests with `flaky` in their path, at all servers of the process.
static FLAKY_REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// Backend server that crashes while it runs a request whose path contains `crash`, and starts again
/// at the same address. It answers other requests with their request id. If the path contains `flaky`
/// as well, it answers every second of these requests with an error before it runs it. Requests with
/// `slow` in their path keep it busy for a while. It crashes in the middle of its response to a request
/// with `crash-in-body` in its path.
pub struct CrashingBackend {
    pub address: SocketAddr,
    crashes: Arc<AtomicUsize>,
}

impl CrashingBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashes: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&crashes);
        tokio::spawn(async move {
            let mut next = Some(listener);
            while let Some(listener) = next.take() {
                run_until_crash(listener).await;
                counter.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(START_TIME).await;
                next = TcpListener::bind(address).await.ok();
            }
        });
        Self { address, crashes }
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

/// Accepts connections until a request crashes the server. Returning drops all of them.
async fn run_until_crash(listener: TcpListener) {
    let crash = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = crash.notified() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let crash = Arc::clone(&crash);
                let service = service_fn(move |request| respond(request, Arc::clone(&crash)));
                let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move { drop(connection.await) });
            }
        }
    }
}

async fn respond(
    request: Request<Incoming>,
    crash: Arc<Notify>,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path();
    let run_time = if path.contains("slow") { SLOW_RUN_TIME } else { RUN_TIME };
    tokio::time::sleep(run_time).await;
    let is_flaky = path.contains("flaky");
    let is_error = is_flaky && FLAKY_REQUESTS.fetch_add(1, Ordering::SeqCst).is_multiple_of(2);
    if path.contains("crash-in-body") {
        return Ok(respond_in_part(request.headers(), crash));
    }
    if path.contains("crash") && !is_error {
        crash.notify_one();
        std::future::pending::<()>().await;
    }
    let mut response = Response::new(full("weighed"));
    if is_error {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    if let Some(id) = request.headers().get("x-id") {
        response.headers_mut().insert("x-id", id.clone());
    }
    Ok(response)
}

/// Response whose body ends in a crash of the server.
fn respond_in_part(headers: &HeaderMap, crash: Arc<Notify>) -> Response<Body> {
    let chunks = stream::once(async { Ok(Frame::data(Bytes::from_static(b"wei"))) });
    let crash = stream::once(async move {
        tokio::time::sleep(RUN_TIME).await;
        crash.notify_one();
        std::future::pending().await
    });
    let mut response = Response::new(StreamBody::new(chunks.chain(crash)).boxed_unsync());
    if let Some(id) = headers.get("x-id") {
        response.headers_mut().insert("x-id", id.clone());
    }
    response
}
