//! Connections to a backend server or to another node that go silent without a reset, while new ones
//! work.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::join_all;
use socket2::SockFilter;
use socket2::SockRef;
use tarragon_model::member::BackendState;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::calls;
use crate::lost::node_behind_relay;
use crate::routed::configured_cluster;
use crate::routed::send;
use crate::routed::start_answering_backend;
use crate::routed::wait_until_routed;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Relay;
use crate::support::Reply;

/// Requests that run at the same time before the connections go silent, each on its own connection.
const CONNECTION_COUNT: usize = 5;

/// Bound of the time to a final answer. The requests of these tests may take 20 s.
const ANSWER_BOUND: Duration = Duration::from_secs(3);

/// Run time that is longer than any time after which a silent connection is given up.
const LONG_RUN: Duration = Duration::from_secs(4);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 7\r\n\r\nweighed";

/// Instruction of a packet filter that returns the number of bytes to keep.
const RETURN_CONSTANT: u16 = 0x06;

struct OpenConnection {
    /// Duplicate of the socket.
    socket: std::net::TcpStream,
    is_silent: Arc<AtomicBool>,
}

/// Backend server whose connections can go silent, as if a middlebox had forgotten them.
struct SilenceableServer {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<OpenConnection>>>,
    run_count: Arc<AtomicUsize>,
}

impl SilenceableServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            run_count: Arc::default(),
        };
        let connections = Arc::clone(&server.connections);
        let run_count = Arc::clone(&server.run_count);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let stream = stream.into_std().unwrap();
                let is_silent: Arc<AtomicBool> = Arc::default();
                connections.lock().unwrap().push(OpenConnection {
                    socket: stream.try_clone().unwrap(),
                    is_silent: Arc::clone(&is_silent),
                });
                let stream = TcpStream::from_std(stream).unwrap();
                tokio::spawn(serve(stream, is_silent, Arc::clone(&run_count)));
            }
        });
        server
    }

    /// Drops all packets that arrive on the open connections, whose senders get no acknowledgement, and
    /// all answers on them.
    fn silence(&self) {
        let drop_all = [SockFilter::new(RETURN_CONSTANT, 0, 0, 0)];
        for connection in self.connections.lock().unwrap().iter() {
            connection.is_silent.store(true, Ordering::SeqCst);
            SockRef::from(&connection.socket).attach_filter(&drop_all).unwrap();
        }
    }

    fn runs(&self) -> usize {
        self.run_count.load(Ordering::SeqCst)
    }
}

/// Answers each request after a while, long ones after [`LONG_RUN`].
async fn serve(mut stream: TcpStream, is_silent: Arc<AtomicBool>, run_count: Arc<AtomicUsize>) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.unwrap_or(0) > 0 {
        if !received.windows(9).any(|window| window == b"\r\n\r\n12 kg") {
            continue;
        }
        run_count.fetch_add(1, Ordering::SeqCst);
        let is_long = received.windows(5).any(|window| window == b"/long");
        received.clear();
        tokio::time::sleep(if is_long { LONG_RUN } else { Duration::from_millis(50) }).await;
        let is_silent = is_silent.load(Ordering::SeqCst);
        if !is_silent && stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Starts a node that has several idle connections to its backend server, and one with another
/// server of the same service.
async fn start_nodes() -> (Cluster, Node, SilenceableServer, Node, SilenceableServer) {
    let (server, other) = (SilenceableServer::start().await, SilenceableServer::start().await);
    let cluster = configured_cluster();
    let node = cluster.start_node("first", Some(server.address)).await;
    wait_until_routed(&node).await;
    for reply in join_all((0..CONNECTION_COUNT).map(|_| send(&node, "/one/7"))).await {
        assert_eq!(reply.status.as_u16(), 200);
    }
    let other_node = cluster.start_node("second", Some(other.address)).await;
    (cluster, node, server, other_node, other)
}

async fn send_within_bound(node: &Node, path: &str) -> Reply {
    tokio::time::timeout(ANSWER_BOUND, send(node, path))
        .await
        .expect("the request ends long before its deadline")
}

/// Guards against requests that wait for their deadline on connections that lead nowhere.
#[tokio::test]
async fn an_idempotent_request_on_a_silent_connection_is_answered_soon() {
    let (_cluster, node, server, _other_node, _other) = start_nodes().await;
    server.silence();
    for reply in join_all((0..CONNECTION_COUNT).map(|_| send_within_bound(&node, "/two/7"))).await {
        assert_eq!((reply.status.as_u16(), reply.reason()), (200, ""));
    }
}

/// Guards against a second run of a request of which it is not known whether it ran.
#[tokio::test]
async fn a_request_that_may_run_once_ends_as_unknown_on_a_silent_connection() {
    let (_cluster, node, server, _other_node, other) = start_nodes().await;
    server.silence();
    let reply = send_within_bound(&node, "/once/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (502, "connection-lost"));
    assert_eq!(other.runs(), 0);
    let reply = send_within_bound(&node, "/once/7").await;
    assert_eq!(reply.status.as_u16(), 200, "the other idle connections are not used");
}

/// Guards against requests that wait for an answer which cannot arrive any more.
#[tokio::test]
async fn a_run_whose_connection_goes_silent_is_repeated_elsewhere() {
    let (_cluster, node, server, _other_node, other) = start_nodes().await;
    let runs_before = server.runs();
    let silence_during_run = async {
        while server.runs() == runs_before {
            tokio::task::yield_now().await;
        }
        server.silence();
    };
    let (reply, ()) = tokio::join!(send_within_bound(&node, "/two/7"), silence_during_run);
    assert_eq!((reply.status.as_u16(), reply.reason()), (200, ""));
    assert_eq!((server.runs(), other.runs()), (runs_before + 1, 1));
}

/// Guards against giving up a run only because it takes long.
#[tokio::test]
async fn a_long_run_on_a_working_connection_is_waited_for() {
    let (_cluster, node, server, _other_node, other) = start_nodes().await;
    let runs_before = server.runs();
    for path in ["/two/long", "/once/long"] {
        assert_eq!(send(&node, path).await.status.as_u16(), 200, "{path}");
    }
    assert_eq!((server.runs(), other.runs()), (runs_before + 2, 0));
}

/// Starts a node behind a relay, and an entry whose heartbeats to it are late after 100 ms and given up
/// after 10 min.
async fn start_entry_and_relay(
    mut cluster: Cluster,
    backend: &FakeBackend,
) -> (Cluster, Node, Relay, Node) {
    cluster.settings.heartbeat_interval_ms = 50;
    cluster.settings.suspect_after_ms = 100;
    cluster.settings.heartbeat_timeout_ms = 600_000;
    let (owner, relay) = node_behind_relay(&cluster, backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    (cluster, owner, relay, entry)
}

/// Guards against calls that wait for the heartbeat timeout of a silent connection, although a new
/// connection to the same node works.
#[tokio::test]
async fn calls_on_a_silent_connection_to_a_node_go_on_over_a_new_one() {
    for method in ["GET", "POST"] {
        let backend = FakeBackend::start(|_| async { text_response("weighed") }).await;
        let (_cluster, _owner, relay, entry) =
            start_entry_and_relay(Cluster::new(), &backend).await;
        calls::wait_until_answered(&entry).await;
        let before = backend.count();
        relay.freeze_connections();
        let sending = request(entry.caller, method, "/weigh", &[], "12 kg");
        let reply = tokio::time::timeout(ANSWER_BOUND, sending).await;
        let reply = reply.expect("the request ends long before its deadline");
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"), "{method}");
        assert_eq!(backend.count(), before + 1, "{method}");
    }
}

/// Guards against a request that fails for lack of attempts or retries, although the new connection
/// tells that it has never arrived.
#[tokio::test]
async fn a_call_that_did_not_arrive_on_a_silent_connection_costs_no_attempt() {
    let backend = start_answering_backend().await;
    let (_cluster, _owner, relay, entry) =
        start_entry_and_relay(configured_cluster(), &backend).await;
    assert_eq!(send(&entry, "/one/7").await.status.as_u16(), 200);
    let before = backend.count();
    relay.freeze_connections();
    let reply = send_within_bound(&entry, "/one/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (200, ""));
    assert_eq!(backend.count(), before + 1);
}

/// Guards against giving up calls at a node that is paused, because it answers on a new connection as
/// soon as it goes on.
#[tokio::test]
async fn a_node_that_was_paused_keeps_its_connection() {
    let backend = FakeBackend::start(|_| async { text_response("weighed") }).await;
    let (_cluster, _owner, relay, entry) = start_entry_and_relay(Cluster::new(), &backend).await;
    calls::wait_until_answered(&entry).await;
    let before = backend.count();
    relay.set_paused(true);
    let pause = async {
        while entry.metrics.read("route.suspected") == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        relay.set_paused(false);
    };
    let (reply, ()) = tokio::join!(request(entry.caller, "GET", "/", &[], ""), pause);
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
    assert_eq!(backend.count(), before + 1);
    assert_eq!(entry.metrics.read("route.connection_replaced"), 0);
}

/// Guards against work for a server that leaves while the connections to its node are silent, so that
/// other nodes hear of it late.
#[tokio::test]
async fn a_server_that_leaves_behind_silent_connections_gets_no_more_requests() {
    let leaving = start_answering_backend().await;
    let (cluster, owner, relay, entry) =
        start_entry_and_relay(configured_cluster(), &leaving).await;
    let staying = start_answering_backend().await;
    let _other = cluster.start_node("other", Some(staying.address)).await;
    for _ in 0..4 {
        assert_eq!(send(&entry, "/two/7").await.status.as_u16(), 200);
    }
    relay.freeze_connections();
    let before = leaving.count();
    owner.set_status(|status| status.state = BackendState::Draining);
    for reply in join_all((0..8).map(|_| send_within_bound(&entry, "/two/7"))).await {
        assert_eq!((reply.status.as_u16(), reply.reason()), (200, ""));
    }
    assert_eq!(leaving.count(), before);
}
