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

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Run time of a request whose path contains `slow`, long enough for faults to occur during it.
const SLOW_RUN_TIME: Duration = Duration::from_millis(50);

/// Fake backend server that announces itself to a node and records the path of each run.
///
/// A run of a path that contains `held` blocks until the test releases the path, and a run of a
/// path that contains `slow` takes [`SLOW_RUN_TIME`].
pub struct FakeBackend {
    pub name: String,
    state: Arc<FakeBackendState>,
    _tasks: JoinSet<()>,
}

struct FakeBackendState {
    name: String,
    run_paths: Mutex<Vec<String>>,
    released_paths: watch::Sender<HashSet<String>>,
}

impl FakeBackend {
    /// Starts a backend server of the service `counter` and announces it to a node.
    pub async fn start(name: &str, node: &Daemon) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(FakeBackendState {
            name: name.into(),
            run_paths: Mutex::default(),
            released_paths: watch::Sender::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, Arc::clone(&state)));
        tasks.spawn(announce(node.addresses.control, address));
        Self { name: name.into(), state, _tasks: tasks }
    }

    /// Number of runs of a path so far.
    pub fn run_count(&self, path: &str) -> usize {
        self.state.run_paths.lock().unwrap().iter().filter(|run_path| *run_path == path).count()
    }

    /// Paths of all runs so far.
    pub fn run_paths(&self) -> Vec<String> {
        self.state.run_paths.lock().unwrap().clone()
    }

    /// Lets all blocked and later runs of a path finish.
    pub fn release(&self, path: &str) {
        self.state.released_paths.send_modify(|released_paths| {
            released_paths.insert(path.into());
        });
    }
}

async fn serve(listener: TcpListener, state: Arc<FakeBackendState>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let service = service_fn(move |request| handle_request(Arc::clone(&state), request));
        connections.spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(
    state: Arc<FakeBackendState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_string();
    state.run_paths.lock().unwrap().push(path.clone());
    if path.contains("held") {
        let mut released_paths = state.released_paths.subscribe();
        released_paths.wait_for(|released_paths| released_paths.contains(&path)).await.unwrap();
    }
    if path.contains("slow") {
        tokio::time::sleep(SLOW_RUN_TIME).await;
    }
    Ok(Response::new(Full::from(format!("{} ran {path}", state.name))))
}

async fn announce(control_address: SocketAddr, address: SocketAddr) {
    let client = ControlClient::new(None, 1_000);
    let body = json!({"service": "counter", "address": address, "slots": 20, "ttl_ms": 3_000});
    let body = Bytes::from(body.to_string());
    loop {
        // The node may be down; a later announcement reaches it after its restart.
        let _ = client.send(control_address, Method::PUT, "/v1/backend", body.clone()).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
