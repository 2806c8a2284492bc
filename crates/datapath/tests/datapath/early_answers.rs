//! Answers to requests that have not been read to their end: those of backend servers that answer early,
//! and refusals of the node itself. They must not be lost when the connection is closed.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::calls::wait_until_answered;
use crate::exchanges::play;
use crate::exchanges::AnswerAfter;
use crate::exchanges::At;
use crate::exchanges::Client;
use crate::exchanges::Framing;
use crate::exchanges::Head;
use crate::exchanges::Meanwhile;
use crate::exchanges::Pace;
use crate::exchanges::Part;
use crate::exchanges::Path;
use crate::exchanges::Reader;
use crate::exchanges::Rest;
use crate::exchanges::Row;
use crate::routed::configured_cluster;
use crate::support::start_closing_backend;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;

/// Time within which the node closes the connection of a caller that sends for ever.
const CLOSE_BOUND: Duration = Duration::from_secs(15);

/// Upload that is larger than what the buffers of the operating system take.
const LARGE_UPLOAD_BYTES: usize = 12 << 20;

async fn connect(node: &Node) -> (Reader, OwnedWriteHalf) {
    let stream = TcpStream::connect(node.caller).await.unwrap();
    let (read_half, write_half) = stream.into_split();
    (Reader::new(read_half), write_half)
}

fn upload_head(target: &str, fields: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nhost: counter.test\r\nx-id: 7\r\n{fields}\r\n\r\n")
}

async fn read_answer(reader: &mut Reader) -> (Head, Vec<u8>) {
    let head = reader.head().await.expect("the connection is not reset");
    let head = head.expect("the connection is not closed");
    let mut rest = Rest::of_response(&head, false);
    let mut body = Vec::new();
    loop {
        match reader.part(&mut rest).await {
            Part::Data(data) => body.extend_from_slice(&data),
            Part::End(_) => return (head, body),
            Part::Broken => panic!("the answer was cut after {} bytes", body.len()),
        }
    }
}

/// Guards against an answer to an upload that is lost, because the node resets the connection of a
/// caller that reads slowly, while the server reads on; and against an upload that the server does not
/// get to its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_answers_to_uploads_are_whole_and_the_server_gets_the_rest() {
    let mut failures = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        for client in [Client::ReadsSlowly, Client::ReadsAfterSending, Client::SendsNextBehind] {
            for answer_after in [AnswerAfter::Head, AnswerAfter::FourKilobytes] {
                let body_bytes = 360_000;
                let row = Row { path, client, answer_after, body_bytes, ..Row::plain() };
                if let Err(failure) = play(row).await {
                    failures.push(format!("{row}: {failure}"));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a server that gets a part of an upload only, because the caller closes its connection
/// after it has sent all of it and has its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_gets_the_rest_of_an_upload_whose_caller_has_its_answer() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        for answer_after in [AnswerAfter::Head, AnswerAfter::FourKilobytes] {
            let (framing, pace) = (Framing::Chunks, Pace::PauseWithin);
            let row = Row { path, answer_after, framing, pace, ..Row::plain() };
            rows.extend([row; 6]);
        }
    }
    let played = join_all(rows.into_iter().map(play)).await;
    let failures: Vec<String> = played.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an upload that is given up after its answer, because the caller or a node on its way
/// stands still for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_gets_the_rest_of_an_upload_that_pauses_after_the_answer() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        let meanwhile = Meanwhile::Pause(At::Entry, Duration::from_millis(3_500));
        let (framing, pace) = (Framing::Chunks, Pace::PauseWithin);
        let answer_after = AnswerAfter::Head;
        let row = Row { path, framing, pace, answer_after, meanwhile, ..Row::plain() };
        rows.extend([row; 3]);
    }
    let played = join_all(rows.into_iter().map(play)).await;
    let failures: Vec<String> = played.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against trailers of an upload that reach the server without the end of the body, because the
/// answer was whole before they came.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_answers_early_gets_the_trailers() {
    let mut rows = Vec::new();
    for path in [Path::Local, Path::OneHop] {
        let (framing, pace) = (Framing::ChunksWithTrailer, Pace::PauseWithin);
        let answer_after = AnswerAfter::Head;
        rows.extend([Row { path, framing, pace, answer_after, ..Row::plain() }; 3]);
    }
    let played = join_all(rows.into_iter().map(play)).await;
    let failures: Vec<String> = played.into_iter().filter_map(Result::err).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Starts a node whose gate refuses requests, and one that is asked through it.
async fn start_refusing_nodes() -> (Cluster, Node, Node) {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = configured_cluster();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    for node in [&owner, &entry] {
        crate::routed::wait_until_routed(node).await;
    }
    owner.gate.set_drain(true);
    (cluster, owner, entry)
}

/// Guards against refusals of the node itself that are lost with a connection which is reset, also for
/// callers that read only after they have sent their whole request, and against connections that are
/// closed although the request ends soon.
#[tokio::test]
async fn refusals_of_uploads_arrive_and_keep_the_connection() {
    let (_cluster, owner, entry) = start_refusing_nodes().await;
    let body = vec![b'u'; LARGE_UPLOAD_BYTES];
    // Draining, no such route, more than the configuration allows.
    for (target, length, status) in
        [("/once/7", 900, "503"), ("/unknown/7", body.len(), "404"), ("/once/7", body.len(), "413")]
    {
        for node in [&owner, &entry] {
            let (mut reader, mut writer) = connect(node).await;
            for round in 0..2 {
                let head = upload_head(
                    target,
                    &format!("x-host: orchard.example\r\ncontent-length: {length}"),
                );
                writer.write_all(head.as_bytes()).await.unwrap();
                let sent = writer.write_all(&body[..length]).await;
                assert!(sent.is_ok(), "{target}, {length} bytes, round {round}: {sent:?}");
                let (head, _) = read_answer(&mut reader).await;
                assert_eq!(head.second_word(), status, "{target}, {length} bytes, round {round}");
            }
        }
    }
}

/// Guards against a refusal that is lost, and against a caller that waits for more, where the rest of
/// the request is too large to be read.
#[tokio::test]
async fn the_refusal_of_a_very_large_upload_says_that_the_connection_is_closed() {
    let (_cluster, owner, _entry) = start_refusing_nodes().await;
    let (mut reader, mut writer) = connect(&owner).await;
    let fields = "x-host: orchard.example\r\ncontent-length: 1000000000";
    writer.write_all(upload_head("/once/7", fields).as_bytes()).await.unwrap();
    writer.write_all(&vec![b'u'; 100_000]).await.unwrap();
    let (head, _) = read_answer(&mut reader).await;
    assert_eq!((head.second_word().as_str(), head.text("connection").as_str()), ("413", "close"));
    drop(writer);
    assert!(reader.head().await.unwrap().is_none(), "bytes after the last answer");
}

/// Guards against connections that stay open for a caller that sends for ever.
#[tokio::test]
async fn a_refused_upload_without_end_is_cut_off_in_bounded_time() {
    let (_cluster, owner, _entry) = start_refusing_nodes().await;
    let (_reader, mut writer) = connect(&owner).await;
    let fields = "x-host: orchard.example\r\ntransfer-encoding: chunked";
    writer.write_all(upload_head("/unknown/7", fields).as_bytes()).await.unwrap();
    let started = Instant::now();
    let sending = async {
        while writer.write_all(b"5\r\nbytes\r\n").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let ended = tokio::time::timeout(CLOSE_BOUND, sending).await;
    assert!(ended.is_ok(), "still open after {:?}", started.elapsed());
}

/// Guards against the loss of the refusal of a head that is not read to its end.
#[tokio::test]
async fn the_refusal_of_a_head_over_the_limit_arrives() {
    let (_cluster, owner, _entry) = start_refusing_nodes().await;
    let (mut reader, mut writer) = connect(&owner).await;
    let long_field = format!("x-long: {}", "v".repeat(1 << 20));
    let sent = writer.write_all(upload_head("/once/7", &long_field).as_bytes()).await;
    assert!(sent.is_ok(), "{sent:?}");
    let (head, _) = read_answer(&mut reader).await;
    assert_eq!(head.second_word(), "431");
}

/// Guards against asking for a body that is refused, and against taking what follows for it.
#[tokio::test]
async fn a_refused_request_that_expects_to_continue_ends_its_connection() {
    let (_cluster, owner, _entry) = start_refusing_nodes().await;
    let (mut reader, mut writer) = connect(&owner).await;
    let fields = "x-host: orchard.example\r\ncontent-length: 900\r\nexpect: 100-continue";
    writer.write_all(upload_head("/unknown/7", fields).as_bytes()).await.unwrap();
    let (head, _) = read_answer(&mut reader).await;
    assert_eq!((head.second_word().as_str(), head.text("connection").as_str()), ("404", "close"));
    drop(writer);
    assert!(reader.head().await.unwrap().is_none(), "bytes after the last answer");
}

/// Starts a server that answers as soon as it has the head, and never reads on.
async fn start_unreading_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (read_half, mut writer) = stream.into_split();
                let mut reader = Reader::new(read_half);
                while let Ok(Some(head)) = reader.head().await {
                    let answer = b"HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 4\r\n\r\nseen";
                    if writer.write_all(answer).await.is_err() {
                        return;
                    }
                    if head.length().unwrap_or(0) > 0 {
                        std::future::pending::<()>().await;
                    }
                }
            });
        }
    });
    address
}

/// Guards against an answer that a caller never reads, because the server stops to read what the caller
/// sends first; and against later requests on connections that lead to such a server.
#[tokio::test]
async fn an_early_answer_arrives_although_the_server_does_not_read_on() {
    let backend = start_unreading_backend().await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend)).await;
    let entry = cluster.start_node("entry", None).await;
    for node in [&owner, &entry] {
        wait_until_answered(node).await;
        let (mut reader, mut writer) = connect(node).await;
        let fields = format!("content-length: {LARGE_UPLOAD_BYTES}");
        writer.write_all(upload_head("/weigh", &fields).as_bytes()).await.unwrap();
        let sent = writer.write_all(&vec![b'u'; LARGE_UPLOAD_BYTES]).await;
        assert!(sent.is_ok(), "{sent:?}");
        let (head, body) = read_answer(&mut reader).await;
        assert_eq!((head.second_word().as_str(), &body[..]), ("200", &b"seen"[..]));
        writer.write_all(b"GET / HTTP/1.1\r\nhost: counter.test\r\n\r\n").await.unwrap();
        let (head, body) = read_answer(&mut reader).await;
        assert_eq!((head.second_word().as_str(), &body[..]), ("200", &b"seen"[..]));
    }
}

/// Guards against an upload that is broken off at a planned stop, although its answer has begun.
#[tokio::test]
async fn a_refusal_at_a_stop_arrives() {
    let backend = start_closing_backend(b"").await;
    let cluster = Cluster::new();
    let node = cluster.start_node("node", Some(backend)).await;
    let (mut reader, mut writer) = connect(&node).await;
    let fields = format!("content-length: {LARGE_UPLOAD_BYTES}");
    let stop = node.stop.clone();
    writer.write_all(upload_head("/unknown-service", &fields).as_bytes()).await.unwrap();
    stop.cancel();
    let sent = writer.write_all(&vec![b'u'; LARGE_UPLOAD_BYTES]).await;
    assert!(sent.is_ok(), "{sent:?}");
    let (head, _) = read_answer(&mut reader).await;
    assert_eq!(head.text("connection"), "close");
    drop(writer);
    assert!(tokio::time::timeout(CLOSE_BOUND, node.stop()).await.is_ok(), "the stop ends");
}
