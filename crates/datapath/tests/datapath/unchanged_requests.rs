//! Requests and answers that are passed on as they are: whether there is a body, its trailer fields, and
//! the header fields.

use std::sync::Arc;
use std::sync::Mutex;

use futures_util::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::calls::start_owner_and_entry;
use crate::exchanges::play;
use crate::exchanges::FirstTry;
use crate::exchanges::Framing;
use crate::exchanges::Pace;
use crate::exchanges::Path;
use crate::exchanges::Row;
use crate::exchanges::METHODS;
use crate::routed::configured_cluster;
use crate::routed::send;
use crate::routed::wait_until_routed;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;

/// Plays rows side by side, and panics with those that fail.
async fn play_all(rows: Vec<Row>) {
    let plays = rows.into_iter().map(|row| async move { (row, play(row).await) });
    let played = join_all(plays).await;
    let failures: Vec<String> = played
        .into_iter()
        .filter_map(|(row, result)| Some(format!("{row}: {}", result.err()?)))
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against requests whose bodies in chunks are dropped, for methods that have a body rarely, and
/// however fast the chunks come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_arrive_with_every_method() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        for method in METHODS {
            for (body_bytes, pace) in [(24_000, Pace::AtOnce), (3_000, Pace::PauseWithin)] {
                let framing = Framing::Chunks;
                rows.push(Row { path, method, framing, body_bytes, pace, ..Row::plain() });
            }
        }
    }
    play_all(rows).await;
}

/// Guards against a body that is there at the first try and is missing when the request is repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_arrive_when_a_request_is_repeated() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        for body_bytes in [0, 3_000, 24_000] {
            let (method, framing, first_try) = ("GET", Framing::Chunks, FirstTry::Fails);
            rows.push(Row { path, method, framing, body_bytes, first_try, ..Row::plain() });
        }
    }
    play_all(rows).await;
}

/// Guards against an empty body in chunks that becomes no body, and against trailer fields that are
/// dropped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_bodies_and_trailer_fields_arrive() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        for (framing, pace) in [
            (Framing::Chunks, Pace::AtOnce),
            (Framing::Chunks, Pace::PauseWithin),
            (Framing::ChunksWithTrailer, Pace::AtOnce),
            (Framing::ChunksWithTrailer, Pace::PauseWithin),
        ] {
            for (method, body_bytes) in [("GET", 0), ("POST", 0), ("POST", 24_000)] {
                rows.push(Row { path, method, framing, pace, body_bytes, ..Row::plain() });
            }
        }
    }
    play_all(rows).await;
}

/// Guards against an `Idempotency-Key` that is dropped on the way to another host, where the operation
/// has no use for it.
#[tokio::test]
async fn an_unused_idempotency_key_is_passed_on() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    for node in [&owner, &entry] {
        let headers = [("idempotency-key", "not a key: ~")];
        let reply = request(node.caller, "GET", "/rows", &headers, "").await;
        assert_eq!(reply.outcome(), "answered");
        let (_, seen) = backend.requests().pop().unwrap();
        assert_eq!(seen.get("idempotency-key").map(|v| v.as_bytes()), Some(&b"not a key: ~"[..]));
    }
}

/// Guards against refusing a request for the number of its header fields, which no page limits.
#[tokio::test]
async fn requests_and_answers_may_have_many_header_fields() {
    let backend = FakeBackend::start(|request| async move {
        let mut response = text_response("seen");
        *response.headers_mut() = request.headers().clone();
        response.headers_mut().remove("content-length");
        response
    })
    .await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    let names: Vec<String> = (0..500).map(|number| format!("x-field-{number}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "1")).collect();
    for node in [&owner, &entry] {
        let reply = request(node.caller, "GET", "/rows", &fields, "").await;
        assert_eq!((reply.status.as_u16(), reply.outcome()), (200, "answered"));
        assert!(names.iter().all(|name| reply.header(name) == "1"));
    }
}

/// Guards against an answer that is passed on with the version HTTP/1.0 and without a length, so that a
/// break within it looks like its end.
#[tokio::test]
async fn an_answer_of_http_1_0_that_breaks_off_does_not_look_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_broken_off: Arc<Mutex<bool>> = Arc::default();
    let breaks_off = Arc::clone(&is_broken_off);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut received = Vec::new();
            while !received.ends_with(b"12 kg") {
                if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    break;
                }
            }
            let _ = stream.write_all(b"HTTP/1.0 200 OK\r\nx-id: 7\r\n\r\nweighed").await;
            if *breaks_off.lock().unwrap() {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                stream.set_zero_linger().unwrap();
            }
        }
    });
    let cluster = configured_cluster();
    let owner = cluster.start_node("owner", Some(address)).await;
    let entry = cluster.start_node("entry", None).await;
    for node in [&owner, &entry] {
        wait_until_routed(node).await;
        *is_broken_off.lock().unwrap() = false;
        let reply = send(node, "/once/7").await;
        assert_eq!(reply.body.as_deref(), Ok(&b"weighed"[..]));
        *is_broken_off.lock().unwrap() = true;
        let reply = send(node, "/once/7").await;
        assert_eq!(reply.status.as_u16(), 200);
        assert!(reply.body.is_err(), "a broken answer looks whole: {:?}", reply.body);
        *is_broken_off.lock().unwrap() = false;
    }
}
