//! Bytes without end, from a backend server, from clients and at every listener, against real
//! processes: their memory stays bounded and other requests are served meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use tarragon_client::ControlClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::http2_frame;
use crate::support::peak_memory_kib;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::HTTP2_CONTINUATION;
use crate::support::HTTP2_HEADERS;
use crate::support::HTTP2_SETTINGS;
use crate::support::MAX_MEMORY_KIB;

/// Number of connections on which bytes without end are sent at the same time.
const CONNECTIONS: usize = 16;

/// Time for which a client sends or reads bytes without end.
const ENDLESS_TIME: Duration = Duration::from_millis(1_500);

/// Interval between announcements of the backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// What a backend server sends: a name, a beginning, and bytes that are repeated without end.
const ANSWERS: [(&str, &str, &str); 13] = [
    ("status-line", "HTTP/1.1 200 ", "OK"),
    ("no-answer", "", "\x01\x02\x03\x04"),
    ("headers", HEAD, "X-Filler: 0123456789abcdef\r\n"),
    ("header", "HTTP/1.1 200 OK\r\nX-Long: ", "0123456789abcdef"),
    ("interim", "", "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789abcdef\r\n\r\n"),
    ("body", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"),
    ("long-body", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "0123456789abcdef"),
    ("encoded-body", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n\x1f", "0123456789abcdef"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
    ("chunk-size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    ("chunk-extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
        "X-Filler: 0123456789abcdef\r\n",
    ),
    ("after-answer", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", "0123456789abcdef"),
];

/// What a client sends.
const REQUESTS: [(&str, &str, &str); 8] = [
    ("no-request", "", "\x01\x02\x03\x04"),
    ("target", "GET /", "target"),
    ("headers", "GET / HTTP/1.1\r\nHost: counter.test\r\n", "X-Filler: 0123456789abcdef\r\n"),
    ("header", "GET / HTTP/1.1\r\nHost: counter.test\r\nX-Long: ", "0123456789abcdef"),
    (
        "long-body",
        "POST /weigh HTTP/1.1\r\nHost: counter.test\r\nContent-Length: 99999999999\r\n\r\n",
        "0123456789abcdef",
    ),
    (
        "chunks",
        "POST /weigh HTTP/1.1\r\nHost: counter.test\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n",
    ),
    (
        "chunk-extension",
        "POST /weigh HTTP/1.1\r\nHost: counter.test\r\nTransfer-Encoding: chunked\r\n\r\n4;",
        "extension",
    ),
    (
        "trailers",
        "POST /weigh HTTP/1.1\r\nHost: counter.test\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Filler: 0123456789abcdef\r\n",
    ),
];

/// Bytes that are repeated, in one piece for a write.
fn piece(repeated: &str) -> Vec<u8> {
    repeated.as_bytes().iter().copied().cycle().take(repeated.len() * 1_024).collect()
}

/// HTTP/2 connection that opens a stream, and a continuation of its head that is repeated.
fn endless_http2_head() -> (Vec<u8>, Vec<u8>) {
    // Literal field without indexing: name "a", value "b".
    let field = [0x00, 1, b'a', 1, b'b'];
    let fields: Vec<u8> = field.iter().copied().cycle().take(field.len() * 2_000).collect();
    let mut beginning = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    beginning.extend(http2_frame(HTTP2_SETTINGS, 0, 0, &[]));
    beginning.extend(http2_frame(HTTP2_HEADERS, 0, 1, &field));
    (beginning, http2_frame(HTTP2_CONTINUATION, 0, 1, &fields))
}

/// Backend server that answers at once, and for a path `/endless/NAME` as [`ANSWERS`] says.
struct EndlessBackend {
    _tasks: JoinSet<()>,
}

impl EndlessBackend {
    async fn start(node: &Daemon) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let control = node.addresses.control;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let client = ControlClient::new(None, 1_000);
            let body =
                json!({"service": "counter", "address": address, "slots": 99, "ttl_ms": 3_000});
            let body = Bytes::from(body.to_string());
            loop {
                let _ = client.send(control, Method::PUT, "/v1/backend", body.clone()).await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        });
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(answer(stream));
            }
        });
        Self { _tasks: tasks }
    }
}

async fn answer(mut stream: TcpStream) {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let Some(end) = end else {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                return;
            }
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).to_string();
        let endless = ANSWERS.iter().find(|(name, ..)| head.contains(&format!("/endless/{name} ")));
        if let Some((_, beginning, repeated)) = endless {
            let _ = stream.write_all(beginning.as_bytes()).await;
            let piece = piece(repeated);
            while stream.write_all(&piece).await.is_ok() {}
            return;
        }
        received.drain(..end + 4);
        let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nran.";
        if stream.write_all(whole).await.is_err() {
            return;
        }
    }
}

async fn start_cluster() -> (Cluster, EndlessBackend) {
    let mut cluster = Cluster::new(&["replica-1", "plain-1"]);
    cluster.start().await;
    let backend = EndlessBackend::start(&cluster["plain-1"]).await;
    for node in &cluster.nodes {
        wait_until("the backend server is reached", async || {
            let response = CallerRequest::view("/").send(node).await.ok()?;
            (response.outcome == "answered").then_some(())
        })
        .await;
    }
    (cluster, backend)
}

/// Sends a request and reads what comes, or nothing, for a while.
async fn request_endless_answer(caller: SocketAddr, name: &str, is_reading: bool) {
    let mut stream = TcpStream::connect(caller).await.unwrap();
    let request = format!(
        "GET /endless/{name} HTTP/1.1\r\nHost: counter.test\r\nTarragon-Deadline-Ms: 1000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 64 * 1_024];
    let read = async {
        if !is_reading {
            tokio::time::sleep(ENDLESS_TIME).await;
        }
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    let _ = tokio::time::timeout(ENDLESS_TIME, read).await;
}

/// Sends bytes without end for a while, or until the connection is closed.
async fn send_endless(address: SocketAddr, beginning: Vec<u8>, piece: Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let send = async {
        if stream.write_all(&beginning).await.is_ok() {
            while stream.write_all(&piece).await.is_ok() {}
        }
    };
    let _ = tokio::time::timeout(ENDLESS_TIME, send).await;
}

/// Sends requests of other clients until the tasks have ended, and checks the memory then.
async fn check_others(cluster: &Cluster, name: &str, mut endless: JoinSet<()>) {
    loop {
        for node in &cluster.nodes {
            let mut response = CallerRequest::view("/other").send(node).await;
            // Bytes after a whole answer can break the next request on the connection, which its
            // client sends again.
            if name == "after-answer" && response.as_ref().is_ok_and(|r| r.outcome == "unknown") {
                response = CallerRequest::view("/other").send(node).await;
            }
            let outcome = response.as_ref().map(|response| response.outcome.as_str());
            assert_eq!(outcome, Ok("answered"), "{name}: another client at {}", node.name);
        }
        if endless.is_empty() {
            break;
        }
        let _ = tokio::time::timeout(Duration::from_millis(50), endless.join_next()).await;
    }
    for node in &cluster.nodes {
        let memory_kib = peak_memory_kib(node);
        assert!(memory_kib < MAX_MEMORY_KIB, "{name}: {memory_kib} KiB at {}", node.name);
    }
}

/// Guards against a node that runs out of memory, with the requests of all its clients, because a
/// faulty backend server sends bytes that are no answer until its caller closes.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_while_a_backend_server_sends_bytes_without_end() {
    let (cluster, _backend) = start_cluster().await;
    for (name, ..) in ANSWERS {
        let mut endless = JoinSet::new();
        for index in 0..CONNECTIONS {
            let caller = cluster.nodes[index % cluster.nodes.len()].addresses.caller;
            endless.spawn(request_endless_answer(caller, name, index % 4 > 0));
        }
        check_others(&cluster, name, endless).await;
    }
}

/// Guards against the same from a client, another node, an operator or another replica: at every
/// listener of a node.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_while_clients_send_bytes_without_end() {
    let (cluster, _backend) = start_cluster().await;
    let (http2_beginning, http2_piece) = endless_http2_head();
    for node in &cluster.nodes {
        let addresses = node.addresses;
        let mut listeners = vec![
            ("caller", addresses.caller),
            ("exit", addresses.exit),
            ("peer", addresses.peer),
            ("control", addresses.control),
        ];
        if node.name.starts_with("replica") {
            listeners.push(("replica", addresses.replica));
        }
        for (listener, address) in listeners {
            let mut endless = JoinSet::new();
            for (_, beginning, repeated) in REQUESTS {
                for _ in 0..CONNECTIONS / 4 {
                    endless.spawn(send_endless(address, beginning.into(), piece(repeated)));
                }
            }
            if listener == "peer" {
                for _ in 0..CONNECTIONS {
                    endless.spawn(send_endless(
                        address,
                        http2_beginning.clone(),
                        http2_piece.clone(),
                    ));
                }
            }
            check_others(&cluster, listener, endless).await;
        }
    }
}
