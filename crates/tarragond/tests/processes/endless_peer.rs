//! Bytes without end from a faulty peer, in answer to calls and heartbeats, against real processes: their
//! memory stays bounded and requests are served by the other nodes.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::support::http2_frame;
use crate::support::peak_memory_kib;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::HTTP2_CONTINUATION;
use crate::support::HTTP2_DATA;
use crate::support::HTTP2_HEADERS;
use crate::support::HTTP2_PING;
use crate::support::HTTP2_SETTINGS;
use crate::support::MAX_MEMORY_KIB;

/// Time for which the peer answers in one way.
const ENDLESS_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a node has sent the beginning of its connection and a request.
const REQUEST_TIME: Duration = Duration::from_millis(50);

/// Type of a frame that HTTP/2 does not define; it is ignored (RFC 9113, section 5.5).
const UNKNOWN: u8 = 0x77;

/// Flag by which a head ends.
const END_HEADERS: u8 = 4;

/// Heads in HPACK: statuses 200 and 103, and a field "a: b".
const OK: [u8; 1] = [0x88];
const EARLY_HINTS: [u8; 5] = [0x08, 3, b'1', b'0', b'3'];
const FIELD: [u8; 5] = [0x00, 1, b'a', 1, b'b'];

/// What the peer sends: a name, a beginning, and bytes that are repeated without end.
fn answers() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let settings = http2_frame(HTTP2_SETTINGS, 0, 0, &[]);
    let begin = |rest: Vec<u8>| [settings.clone(), rest].concat();
    let head = http2_frame(HTTP2_HEADERS, END_HEADERS, 1, &OK);
    let filler = FIELD.repeat(2_000);
    vec![
        ("no-http2", Vec::new(), b"no answer at all".to_vec()),
        ("http1-body", b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), b"body".to_vec()),
        (
            "continuation",
            begin(http2_frame(HTTP2_HEADERS, 0, 1, &OK)),
            http2_frame(HTTP2_CONTINUATION, 0, 1, &filler),
        ),
        (
            "empty-continuation",
            begin(http2_frame(HTTP2_HEADERS, 0, 1, &OK)),
            http2_frame(HTTP2_CONTINUATION, 0, 1, &[]),
        ),
        ("interim", settings.clone(), http2_frame(HTTP2_HEADERS, END_HEADERS, 1, &EARLY_HINTS)),
        ("data", begin(head.clone()), http2_frame(HTTP2_DATA, 0, 1, &filler)),
        ("empty-data", begin(head), http2_frame(HTTP2_DATA, 0, 1, &[])),
        ("settings", settings.clone(), settings.clone()),
        ("ping", settings.clone(), http2_frame(HTTP2_PING, 0, 0, &[7; 8])),
        ("unknown", settings, http2_frame(UNKNOWN, 0, 0, &filler)),
    ]
}

/// Peer that answers each connection in the way of the current index of [`answers`].
struct EndlessPeer {
    address: SocketAddr,
    answer: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl EndlessPeer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, sent_bytes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicU64>::default());
        let (index, sent) = (Arc::clone(&answer), Arc::clone(&sent_bytes));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (_, beginning, repeated) = answers().swap_remove(index.load(Ordering::Relaxed));
                let sent = Arc::clone(&sent);
                connections.spawn(async move {
                    let send = send_endless(stream, beginning, repeated, &sent);
                    let _ = tokio::time::timeout(ENDLESS_TIME, send).await;
                });
            }
        });
        Self { address, answer, sent_bytes, _tasks: tasks }
    }
}

/// Sends bytes until the connection is closed, and reads what arrives, so that the node can go on.
async fn send_endless(stream: TcpStream, beginning: Vec<u8>, repeated: Vec<u8>, sent: &AtomicU64) {
    let (mut reader, mut writer) = stream.into_split();
    let read = async {
        let mut buffer = vec![0; 64 * 1_024];
        while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    let write = async {
        tokio::time::sleep(REQUEST_TIME).await;
        let piece = repeated.repeat((64 * 1_024 / repeated.len()).max(1));
        if writer.write_all(&beginning).await.is_ok() {
            while writer.write_all(&piece).await.is_ok() {
                sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
            }
        }
    };
    tokio::join!(read, write);
}

/// Guards against a node that runs out of memory, with the requests of all its clients, because a faulty
/// peer answers with bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_while_a_peer_answers_without_end() {
    let peer = EndlessPeer::start().await;
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster["plain-1"].settings["advertise"]["peer_address"] = json!(peer.address);
    cluster.start().await;
    let _faulty = FakeBackend::start("faulty", &cluster["plain-1"]).await;
    let _sound = FakeBackend::start("sound", &cluster["plain-2"]).await;
    for (index, (name, ..)) in answers().into_iter().enumerate() {
        peer.answer.store(index, Ordering::Relaxed);
        let sent_before = peer.sent_bytes.load(Ordering::Relaxed);
        let phase_end = Instant::now() + ENDLESS_TIME;
        while Instant::now() < phase_end {
            for entry in ["replica-1", "plain-2"] {
                let response = CallerRequest::view("/other").send(&cluster[entry]).await;
                assert!(response.is_ok(), "{name}: {response:?} at {entry}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let sent_bytes = peer.sent_bytes.load(Ordering::Relaxed) - sent_before;
        assert!(sent_bytes > 0, "{name}: the peer was not called");
        for node in &cluster.nodes {
            let memory_kib = peak_memory_kib(node);
            assert!(memory_kib < MAX_MEMORY_KIB, "{name}: {memory_kib} KiB at {}", node.name);
        }
        for entry in ["replica-1", "plain-2"] {
            wait_until("requests are served by the other node", async || {
                let response = CallerRequest::view("/other").send(&cluster[entry]).await.ok()?;
                (response.text == "sound ran /other").then_some(())
            })
            .await;
        }
    }
}
