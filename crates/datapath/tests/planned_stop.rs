//! Connections that are new when a listener is stopped.

#![allow(clippy::unwrap_used, reason = "test helpers may panic like the tests themselves")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::Request;
use http::Response;
use tarragon_datapath::transport::full;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::Http1Handler;
use tarragon_datapath::transport::Http1Limits;
use tarragon_datapath::transport::Http1Listener;
use tarragon_datapath::transport::RequestBody;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const CALLERS: usize = 50;

/// Longest time that a stop may take, well below the idle timeout of connections (300 s).
const STOP_LIMIT: Duration = Duration::from_secs(20);

struct Refusing;

#[async_trait]
impl Http1Handler for Refusing {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Body> {
        let mut response = Response::new(full("draining"));
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

async fn bind_listener() -> Http1Listener<Refusing> {
    let limits = Http1Limits {
        max_header_bytes: 16_384,
        max_connections: 1_000,
        write_timeout: Duration::from_secs(10),
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let active = TaskTracker::new().token();
    Http1Listener::bind("entry", address, Arc::new(Refusing), limits, active).await.unwrap()
}

/// Runs a listener that is stopped already, with the connections that wait in its backlog.
async fn run_stopped(listener: Http1Listener<Refusing>) {
    let stop = CancellationToken::new();
    stop.cancel();
    let running = Arc::new(listener).run(Arc::new(Kernel::new()), stop);
    tokio::time::timeout(STOP_LIMIT, running).await.expect("the stop ends").unwrap();
}

/// Guards against requests that are cut off without an answer in a planned stop, because their
/// connections were established but not accepted yet.
#[tokio::test]
async fn callers_in_the_backlog_of_a_stopping_listener_get_an_answer() {
    let listener = bind_listener().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nHost: orchard.example\r\n\r\n").await.unwrap();
        callers.push(stream);
    }
    run_stopped(listener).await;
    for mut stream in callers {
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("the connection is not reset");
        assert!(response.starts_with("HTTP/1.1 503"), "response: {response:?}");
        assert!(response.to_ascii_lowercase().contains("connection: close"), "{response:?}");
    }
}

/// Guards against a stop that waits for callers which have connected but send no request.
#[tokio::test]
async fn a_connection_without_a_request_does_not_delay_the_stop() {
    let listener = bind_listener().await;
    let mut silent = TcpStream::connect(listener.address()).await.unwrap();
    run_stopped(listener).await;
    let mut received = Vec::new();
    silent.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
}
