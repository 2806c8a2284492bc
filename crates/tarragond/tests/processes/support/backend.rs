use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tarragon_client::ControlClient;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::support::Daemon;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Run time of a path that contains `slow`, long enough for faults to meet it.
const SLOW_RUN: Duration = Duration::from_millis(50);

/// Fake backend server that announces itself to a node, counts its runs and can hold them.
///
/// A path that contains `held` is answered only when the test lets it go, and one that contains `slow`
/// after a while.
pub struct Backend {
    pub name: String,
    state: Arc<State>,
    _tasks: JoinSet<()>,
}

struct State {
    name: String,
    runs: Mutex<Vec<String>>,
    released: watch::Sender<HashSet<String>>,
}

impl Backend {
    /// Starts a backend server of the service `counter` on the host of a node.
    pub async fn start(name: &str, node: &Daemon) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            name: name.into(),
            runs: Mutex::default(),
            released: watch::Sender::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, Arc::clone(&state)));
        tasks.spawn(announce(node.at.control, address));
        Self { name: name.into(), state, _tasks: tasks }
    }

    /// Runs of a path so far.
    pub fn runs(&self, path: &str) -> usize {
        self.state.runs.lock().unwrap().iter().filter(|run| *run == path).count()
    }

    /// Paths of all runs so far.
    pub fn paths(&self) -> Vec<String> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Lets all runs of a held path go.
    pub fn release(&self, path: &str) {
        self.state.released.send_modify(|released| {
            released.insert(path.into());
        });
    }
}

async fn serve(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let service = service_fn(move |request| answer(Arc::clone(&state), request));
        connections.spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_string();
    state.runs.lock().unwrap().push(path.clone());
    if path.contains("held") {
        let mut released = state.released.subscribe();
        released.wait_for(|released| released.contains(&path)).await.unwrap();
    }
    if path.contains("slow") {
        tokio::time::sleep(SLOW_RUN).await;
    }
    Ok(Response::new(Full::from(format!("{} ran {path}", state.name))))
}

async fn announce(control: SocketAddr, address: SocketAddr) {
    let client = ControlClient::new(None, 1_000);
    let body = json!({"service": "counter", "address": address, "slots": 20, "ttl_ms": 3_000});
    let body = Bytes::from(body.to_string());
    loop {
        // The node may be down; the next announcement reaches its next life.
        let _ = client.send(control, Method::PUT, "/v1/backend", body.clone()).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
