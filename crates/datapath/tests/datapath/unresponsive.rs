//! Backend servers that never answer a request that they cannot queue, and servers that send bytes
//! without end.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::routed::configured_cluster;
use crate::routed::send;
use crate::routed::wait_until_routed;
use crate::support::Cluster;
use crate::support::Node;

/// Number of answers after which a gate has learnt how long the requests of a route last.
const LEARNING_REQUESTS: usize = 300;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 7\r\n\r\nweighed";

/// Backend server that answers at once, and never answers while it hangs.
struct HangingServer {
    address: SocketAddr,
    is_hanging: Arc<AtomicBool>,
    unanswered: Arc<AtomicUsize>,
    /// Requests that arrived on a connection with an unanswered one.
    after_unanswered: Arc<AtomicUsize>,
}

impl HangingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            is_hanging: Arc::default(),
            unanswered: Arc::default(),
            after_unanswered: Arc::default(),
        };
        let (is_hanging, unanswered) =
            (Arc::clone(&server.is_hanging), Arc::clone(&server.unanswered));
        let after_unanswered = Arc::clone(&server.after_unanswered);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (is_hanging, unanswered) = (Arc::clone(&is_hanging), Arc::clone(&unanswered));
                let after_unanswered = Arc::clone(&after_unanswered);
                tokio::spawn(async move {
                    let mut is_dead = false;
                    while read_request(&mut stream).await {
                        after_unanswered.fetch_add(usize::from(is_dead), Ordering::SeqCst);
                        is_dead |= is_hanging.load(Ordering::SeqCst);
                        if is_dead {
                            unanswered.fetch_add(1, Ordering::SeqCst);
                        } else if stream.write_all(ANSWER).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        server
    }
}

/// Reads the head of a request and its body of five bytes. Returns false at the end of the stream.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    loop {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return false;
        }
        if received.windows(9).any(|window| window == b"\r\n\r\n12 kg") {
            return true;
        }
    }
}

/// Starts a node with a hanging server that has answered enough requests of a path.
async fn start_learnt_node(path: &str) -> (Cluster, Node, HangingServer) {
    let hanging = HangingServer::start().await;
    let mut cluster = configured_cluster();
    cluster.uses_slots = true;
    let node = cluster.start_node("first", Some(hanging.address)).await;
    wait_until_routed(&node).await;
    for _ in 0..LEARNING_REQUESTS {
        assert_eq!(send(&node, path).await.status.as_u16(), 200);
    }
    (cluster, node, hanging)
}

/// Guards against giving up a request because its backend server is silent: a long run looks the
/// same, and its answer may still come. The outcome is unknown at the deadline, the request runs
/// nowhere else, and the silent connection is not used again.
#[tokio::test]
async fn an_unanswered_request_is_waited_for_and_its_connection_is_not_used_again() {
    for path in ["/brief/7", "/brief-once/7"] {
        let (cluster, first, hanging) = start_learnt_node(path).await;
        let other = HangingServer::start().await;
        let _second = cluster.start_node("second", Some(other.address)).await;
        hanging.is_hanging.store(true, Ordering::SeqCst);
        while hanging.unanswered.load(Ordering::SeqCst) == 0 {
            let reply = send(&first, path).await;
            let is_unanswered = hanging.unanswered.load(Ordering::SeqCst) > 0;
            let expected = if is_unanswered { (504, "deadline-passed") } else { (200, "") };
            assert_eq!((reply.status.as_u16(), reply.reason()), expected, "{path}");
        }
        assert_eq!(hanging.unanswered.load(Ordering::SeqCst), 1, "{path}");
        hanging.is_hanging.store(false, Ordering::SeqCst);
        for _ in 0..20 {
            assert_eq!(send(&first, path).await.status.as_u16(), 200, "{path}");
        }
        let reused = hanging.after_unanswered.load(Ordering::SeqCst);
        assert_eq!(reused, 0, "{path}: the silent connection was used");
    }
}

/// Backend server that sends a beginning and then the same bytes without end, and counts them.
async fn start_endless_server(beginning: &'static [u8], repeated: &'static [u8]) -> EndlessServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (open, sent_bytes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let server =
        EndlessServer { address, open: Arc::clone(&open), sent_bytes: Arc::clone(&sent_bytes) };
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (open, sent_bytes) = (Arc::clone(&open), Arc::clone(&sent_bytes));
            tokio::spawn(async move {
                open.fetch_add(1, Ordering::SeqCst);
                if read_request(&mut stream).await {
                    let _ = stream.write_all(beginning).await;
                    while stream.write_all(repeated).await.is_ok() {
                        sent_bytes.fetch_add(repeated.len(), Ordering::SeqCst);
                    }
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    server
}

struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicUsize>,
}

/// Guards against memory that grows and connections that stay open while a backend server sends a
/// head or bytes without end. Each request ends at its time limit of 200 ms at the latest, without a
/// response that looks complete, and its connection is closed.
#[tokio::test]
async fn endless_bytes_end_with_the_request() {
    const CASES: [(&str, &[u8], &[u8]); 5] = [
        ("head", b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n", b"X-Filler: 0123456789abcdef\r\n"),
        ("header", b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Long: ", b"0123456789abcdef"),
        ("no answer", b"", b"\x00\x01\x02\x03\x04\x05\x06\x07"),
        ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("body", b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", b"0123456789abcdef"),
    ];
    for (name, beginning, repeated) in CASES {
        let server = start_endless_server(beginning, repeated).await;
        let cluster = configured_cluster();
        let node = cluster.start_node("one", Some(server.address)).await;
        let reply = tokio::time::timeout(Duration::from_secs(15), send(&node, "/brief/7")).await;
        let reply = reply.unwrap_or_else(|_| panic!("{name}: no end of the request"));
        let is_complete = reply.status.is_success() && reply.body.is_ok();
        assert!(!is_complete, "{name}: the response looks complete");
        for _ in 0..1_000 {
            if server.open.load(Ordering::SeqCst) == 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(server.open.load(Ordering::SeqCst), 0, "{name}: a connection stays open");
        if name != "body" {
            // A head is kept whole in memory, so it must be small: 128 KiB and what the sockets hold.
            let sent_bytes = server.sent_bytes.load(Ordering::SeqCst);
            let is_bounded = name == "interim responses" || sent_bytes < 8 * 1_024 * 1_024;
            assert!(is_bounded, "{name}: {sent_bytes} bytes were taken");
        }
    }
}

/// Guards against an answer for the next caller that consists of bytes that follow an earlier
/// answer without end.
#[tokio::test]
async fn endless_bytes_after_an_answer_reach_no_caller() {
    let server = start_endless_server(ANSWER, ANSWER).await;
    let cluster = configured_cluster();
    let node = cluster.start_node("one", Some(server.address)).await;
    wait_until_routed(&node).await;
    for _ in 0..5 {
        let reply = send(&node, "/one/7").await;
        assert_eq!(reply.status.as_u16(), 200);
        assert_eq!(reply.body.as_deref(), Ok(&b"weighed"[..]));
    }
}

/// Guards against memory that grows while a caller sends a head without end: the node closes the
/// connection after a bounded number of bytes, and serves others.
#[tokio::test]
async fn a_request_head_without_end_is_cut_off() {
    let server = HangingServer::start().await;
    let cluster = configured_cluster();
    let node = cluster.start_node("one", Some(server.address)).await;
    wait_until_routed(&node).await;
    for repeated in [&b"X-Filler: 0123456789abcdef\r\n"[..], b"0123456789abcdef"] {
        let mut stream = TcpStream::connect(node.caller).await.unwrap();
        stream.write_all(b"GET /one/7 HTTP/1.1\r\nX-Long: ").await.unwrap();
        let mut sent_bytes = 0;
        while stream.write_all(repeated).await.is_ok() {
            sent_bytes += repeated.len();
            // The limit is 128 KiB; the sockets hold some more.
            assert!(sent_bytes < 16 * 1_024 * 1_024, "{sent_bytes} bytes were taken");
        }
    }
    assert_eq!(send(&node, "/one/7").await.status.as_u16(), 200);
}
