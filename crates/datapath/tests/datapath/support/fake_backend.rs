use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tarragon_datapath::transport::full;
use tarragon_datapath::transport::Body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::support::client::MAX_HEADER_FIELDS;

/// Backend server that responds with a closure and records the requests that it receives.
pub struct FakeBackend {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<(String, HeaderMap)>>>,
    connections: Arc<AtomicUsize>,
}

impl FakeBackend {
    pub async fn start<F, R>(respond: F) -> Self
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<(String, HeaderMap)>>> = Arc::default();
        let record = Arc::clone(&requests);
        let respond = Arc::new(respond);
        let connections: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                let (respond, record) = (Arc::clone(&respond), Arc::clone(&record));
                let service = service_fn(move |request: Request<Incoming>| {
                    let head = (request.uri().to_string(), request.headers().clone());
                    record.lock().unwrap().push(head);
                    let response = respond(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let mut server = http1::Builder::new();
                server.max_headers(MAX_HEADER_FIELDS);
                tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, requests, connections }
    }

    /// Paths and headers of the requests received so far.
    pub fn requests(&self) -> Vec<(String, HeaderMap)> {
        self.requests.lock().unwrap().clone()
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of requests received so far.
    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

/// Response with a text body.
pub fn text_response(body: impl Into<String>) -> Response<Body> {
    Response::new(full(body.into()))
}

/// Starts a backend server that reads one request head per connection, writes fixed bytes and
/// closes the connection.
pub async fn start_closing_backend(response: &'static [u8]) -> SocketAddr {
    start_fixed_backend(response, true).await
}

/// Starts a backend server that writes fixed bytes for each request head and keeps connections
/// open.
pub async fn start_keep_alive_backend(response: &'static [u8]) -> SocketAddr {
    start_fixed_backend(response, false).await
}

async fn start_fixed_backend(response: &'static [u8], is_closing: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                loop {
                    if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
                        return;
                    }
                    if head.windows(4).any(|w| w == b"\r\n\r\n") {
                        head.clear();
                        let _ = stream.write_all(response).await;
                        if is_closing {
                            let _ = stream.shutdown().await;
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}
