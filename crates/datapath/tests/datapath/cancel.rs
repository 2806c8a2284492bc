//! Callers that hang up, large uploads and drains.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tarragon_datapath::transport::empty;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::BoxError;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::Notify;

use crate::calls::start_owner_and_entry;
use crate::calls::wait_until_answered;
use crate::support::request;
use crate::support::send;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;

/// Tells when a handler is dropped, as it is when its connection closes.
struct TellOnDrop(Arc<Notify>);

impl Drop for TellOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// Guards against work that goes on after its caller hung up in the middle of an upload.
#[tokio::test]
async fn a_hang_up_in_the_middle_of_an_upload_reaches_the_backend_server() {
    let (tell, mut told) = mpsc::unbounded_channel();
    let backend = FakeBackend::start(move |request| {
        let tell = tell.clone();
        async move {
            let mut body = request.into_body();
            while let Some(frame) = body.frame().await {
                tell.send(frame.is_ok()).unwrap();
            }
            text_response("whole")
        }
    })
    .await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    for caller in [owner.caller, entry.caller] {
        let mut stream = TcpStream::connect(caller).await.unwrap();
        let head = b"PUT /photo HTTP/1.1\r\nhost: counter\r\ncontent-length: 1000000\r\n\r\nabc";
        stream.write_all(head).await.unwrap();
        assert!(told.recv().await.unwrap(), "the upload did not begin");
        drop(stream);
        assert!(!told.recv().await.unwrap(), "the upload looks whole");
    }
    owner.gate.wait_until_idle().await;
    entry.stop().await;
    owner.stop().await;
}

/// Guards against a run that goes on after its caller hung up while waiting for the answer.
#[tokio::test]
async fn a_hang_up_while_waiting_closes_the_backend_servers_connection() {
    let (started, dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (tell, end) = (Arc::clone(&started), Arc::clone(&dropped));
    let backend = FakeBackend::start(move |request| {
        let (tell, end) = (Arc::clone(&tell), TellOnDrop(Arc::clone(&end)));
        async move {
            if request.method() == "POST" {
                let _end = end;
                tell.notify_one();
                std::future::pending::<()>().await;
            } else {
                std::mem::forget(end);
            }
            text_response("")
        }
    })
    .await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    for caller in [owner.caller, entry.caller] {
        tokio::select! {
            _ = request(caller, "POST", "/weigh", &[], "12 kg") => panic!("no answer was given"),
            () = started.notified() => {}
        }
        dropped.notified().await;
    }
    owner.gate.wait_until_idle().await;
}

/// Guards against an upload that is buffered whole on its way. The kernel's socket buffers of the
/// three connections count as well, so the bound is well above the daemon's own share.
#[tokio::test]
async fn a_large_upload_is_streamed_with_bounded_buffers() {
    const CHUNK: usize = 64 * 1024;
    const CHUNKS: usize = 2048;
    let (produced, consumed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let largest = Arc::new(AtomicU64::new(0));
    let (made, used, gap) = (Arc::clone(&produced), Arc::clone(&consumed), Arc::clone(&largest));
    let backend = FakeBackend::start(move |request| {
        let (made, used, gap) = (Arc::clone(&made), Arc::clone(&used), Arc::clone(&gap));
        async move {
            let mut body = request.into_body();
            while let Some(frame) = body.frame().await {
                let length = frame.unwrap().into_data().unwrap().len() as u64;
                // The reader is slower than the writer, so that buffers fill.
                for _ in 0..5 {
                    tokio::task::yield_now().await;
                }
                let used = used.fetch_add(length, Ordering::SeqCst) + length;
                gap.fetch_max(made.load(Ordering::SeqCst) - used, Ordering::SeqCst);
            }
            text_response(used.load(Ordering::SeqCst).to_string())
        }
    })
    .await;
    let cluster = Cluster::new();
    let _owner = cluster.start_node("owner", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    let chunks = stream::iter(0..CHUNKS).map(move |_| {
        produced.fetch_add(CHUNK as u64, Ordering::SeqCst);
        Ok::<_, BoxError>(Frame::data(Bytes::from(vec![7; CHUNK])))
    });
    let body: Body = StreamBody::new(chunks).boxed_unsync();
    let stream = TcpStream::connect(entry.caller).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::put("/photo/7").header("host", "counter").body(body).unwrap();
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.headers()["tarragon-outcome"], "answered");
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, (CHUNK * CHUNKS).to_string());
    let largest = largest.load(Ordering::SeqCst);
    assert!(largest < 32 * 1024 * 1024, "{largest} bytes were on their way at once");
}

/// Guards against a drain that interrupts a request in progress or lets new work in.
#[tokio::test]
async fn a_drain_refuses_new_work_and_waits_for_work_in_progress() {
    let (started, release) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (tell, wait) = (Arc::clone(&started), Arc::clone(&release));
    let backend = FakeBackend::start(move |request| {
        let (tell, wait) = (Arc::clone(&tell), Arc::clone(&wait));
        async move {
            if request.method() == "POST" {
                tell.notify_one();
                wait.notified().await;
            }
            text_response("done")
        }
    })
    .await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    let running = request(entry.caller, "POST", "/weigh", &[], "12 kg");
    let drain = async {
        started.notified().await;
        owner.gate.set_drain(true);
        let reply = request(entry.caller, "GET", "/", &[], "").await;
        assert_eq!((reply.outcome(), reply.reason()), ("not-run", "draining"));
        assert_eq!((owner.gate.in_flight(), owner.gate.requests().len()), (1, 1));
        owner.stop.cancel();
        release.notify_one();
        owner.gate.wait_until_idle().await;
    };
    let (reply, ()) = tokio::join!(running, drain);
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "done"));
    owner.stop().await;
    entry.stop().await;
}

/// Guards against work further down that goes on after the caller hung up, also if the backend
/// server between does not notice.
#[tokio::test]
async fn a_hang_up_reaches_the_calls_of_a_backend_server_that_does_not_notice() {
    let exit: Arc<OnceLock<SocketAddr>> = Arc::default();
    let (started, dropped) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (known, tell, end) = (Arc::clone(&exit), Arc::clone(&started), Arc::clone(&dropped));
    let backend = FakeBackend::start(move |incoming| {
        let (known, tell, end) = (Arc::clone(&known), Arc::clone(&tell), Arc::clone(&end));
        async move {
            match incoming.uri().path() {
                "/call" => {
                    let mut call = Request::get("/leaf").header("host", "counter");
                    for name in ["tarragon-request-id", "tarragon-span"] {
                        call = call.header(name, &incoming.headers()[name]);
                    }
                    let call = call.body(empty()).unwrap();
                    tokio::spawn(send(*known.get().unwrap(), call));
                    std::future::pending::<()>().await;
                }
                "/leaf" => {
                    let _end = TellOnDrop(end);
                    tell.notify_one();
                    std::future::pending::<()>().await;
                }
                _ => {}
            }
            text_response("")
        }
    })
    .await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    exit.set(owner.exit).unwrap();
    wait_until_answered(&owner).await;
    tokio::select! {
        _ = request(owner.caller, "GET", "/call", &[], "") => panic!("no answer was given"),
        () = started.notified() => {}
    }
    dropped.notified().await;
    owner.gate.wait_until_idle().await;
}

/// Guards against more connections to the backend server than it takes.
#[tokio::test]
async fn the_connections_to_the_backend_server_are_bounded_and_reused() {
    let (running, most) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let (now, largest) = (Arc::clone(&running), Arc::clone(&most));
    let backend = FakeBackend::start(move |_| {
        let (now, largest) = (Arc::clone(&now), Arc::clone(&largest));
        async move {
            largest.fetch_max(now.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            now.fetch_sub(1, Ordering::SeqCst);
            text_response("seen")
        }
    })
    .await;
    let mut cluster = Cluster::new();
    cluster.settings.max_backend_connections = 3;
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    wait_until_answered(&owner).await;
    let calls = (0..60).map(|_| request(owner.caller, "GET", "/", &[], ""));
    for reply in futures_util::future::join_all(calls).await {
        assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
    }
    assert!(most.load(Ordering::SeqCst) <= 3);
    let connections = backend.connections();
    assert!(connections <= 10, "61 requests used {connections} connections");
}
