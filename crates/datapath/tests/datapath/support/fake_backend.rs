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

/// Backend server that answers with a closure and keeps what it saw.
pub struct FakeBackend {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<(String, HeaderMap)>>>,
    connections: Arc<AtomicUsize>,
}

impl FakeBackend {
    pub async fn start<F, R>(answer: F) -> Self
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<(String, HeaderMap)>>> = Arc::default();
        let record = Arc::clone(&seen);
        let answer = Arc::new(answer);
        let connections: Arc<AtomicUsize> = Arc::default();
        let counter = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                let (answer, record) = (Arc::clone(&answer), Arc::clone(&record));
                let service = service_fn(move |request: Request<Incoming>| {
                    let head = (request.uri().to_string(), request.headers().clone());
                    record.lock().unwrap().push(head);
                    let answering = answer(request);
                    async move { Ok::<_, Infallible>(answering.await) }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, seen, connections }
    }

    /// Paths and headers of the requests so far.
    pub fn requests(&self) -> Vec<(String, HeaderMap)> {
        self.seen.lock().unwrap().clone()
    }

    /// Number of connections so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of requests so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Answer with a text.
pub fn text_response(body: impl Into<String>) -> Response<Body> {
    Response::new(full(body.into()))
}

/// Backend server that reads one request head per connection, writes fixed bytes and closes.
pub async fn start_closing_backend(answer: &'static [u8]) -> SocketAddr {
    fixed_backend(answer, true).await
}

/// Backend server that writes fixed bytes for every request head and closes no connection.
pub async fn start_keep_alive_backend(answer: &'static [u8]) -> SocketAddr {
    fixed_backend(answer, false).await
}

async fn fixed_backend(answer: &'static [u8], closes: bool) -> SocketAddr {
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
                        let _ = stream.write_all(answer).await;
                        if closes {
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
