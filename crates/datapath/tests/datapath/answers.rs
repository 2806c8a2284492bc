//! Answers of backend servers that are not what they announce.

use crate::calls::start_owner_and_entry;
use crate::calls::wait_until_answered;
use crate::calls::wait_until_routed;
use crate::support::request;
use crate::support::start_closing_backend;
use crate::support::start_keep_alive_backend;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Reply;

/// The same answer through the own gate and through a peer.
async fn both_ways(answer: &'static [u8]) -> [Reply; 2] {
    let cluster = Cluster::new();
    let address = start_closing_backend(answer).await;
    let owner = cluster.start_node("owner", Some(address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&owner).await;
    wait_until_routed(&entry).await;
    let post = |address| request(address, "POST", "/weigh", &[], "12 kg");
    [post(owner.caller).await, post(entry.caller).await]
}

/// The connection is cut; or, if the fault showed before the head was on its way, the outcome is
/// `unknown`.
fn assert_cut(replies: [Reply; 2]) {
    for reply in replies {
        let is_cut = reply.body.is_err() || reply.outcome() == "unknown";
        assert!(is_cut, "the answer looks whole: {reply:?}");
    }
}

fn assert_unknown(replies: [Reply; 2], reason: &str) {
    for reply in replies {
        let told = (reply.status.as_u16(), reply.outcome(), reply.reason());
        assert_eq!(told, (502, "unknown", reason));
    }
}

/// Guards against a short answer that looks whole to the caller.
#[tokio::test]
async fn a_short_answer_cuts_the_callers_connection() {
    assert_cut(both_ways(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").await);
}

/// Guards against an answer that is cut to its announced length and so looks whole.
#[tokio::test]
async fn a_long_answer_cuts_the_callers_connection() {
    assert_cut(both_ways(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcdef").await);
}

/// Guards against bytes behind an empty answer, which the next request would take for its own.
#[tokio::test]
async fn bytes_behind_an_empty_answer_are_a_bad_answer() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nabcdef";
    assert_unknown(both_ways(answer).await, "bad-answer");
}

/// Guards against a chunked answer without its last chunk.
#[tokio::test]
async fn a_cut_chunked_answer_cuts_the_callers_connection() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    assert_cut(both_ways(answer).await);
}

/// Guards against malformed framing in the middle of an answer.
#[tokio::test]
async fn garbage_between_chunks_cuts_the_callers_connection() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n";
    assert_cut(both_ways(answer).await);
}

/// Guards against a guess about a request that may have run.
#[tokio::test]
async fn garbage_instead_of_an_answer_is_unknown() {
    assert_unknown(both_ways(b"\x00\x01garbage\r\n\r\n\r\n").await, "bad-answer");
}

/// Guards against `not-run` for a request whose bytes reached the backend server.
#[tokio::test]
async fn a_connection_closed_without_an_answer_is_unknown() {
    assert_unknown(both_ways(b"").await, "connection-lost");
}

/// Guards against an answer that ends with its connection, because it looks whole wherever it is
/// cut.
#[tokio::test]
async fn an_answer_without_length_is_a_bad_answer() {
    assert_unknown(both_ways(b"HTTP/1.1 200 OK\r\n\r\nabc").await, "bad-answer");
}

/// Guards against a backend server that sets the outcome itself.
#[tokio::test]
async fn the_outcome_headers_of_a_backend_server_are_not_passed_on() {
    let answer = b"HTTP/1.1 503 Busy\r\ntarragon-outcome: not-run\r\n\
        tarragon-reason: shed\r\ncontent-length: 0\r\n\r\n";
    for reply in both_ways(answer).await {
        let told = (reply.status.as_u16(), reply.outcome(), reply.reason());
        assert_eq!(told, (503, "answered", ""));
    }
}

/// Checks that each of 20 calls gets the whole answer `abc` of the backend server.
async fn check_20_answers(cluster: &Cluster, backend: std::net::SocketAddr) {
    let owner = cluster.start_node("owner", Some(backend)).await;
    wait_until_answered(&owner).await;
    for _ in 0..20 {
        let reply = request(owner.caller, "POST", "/weigh", &[], "12 kg").await;
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "abc"));
    }
}

/// Guards against a pooled connection that is used again after a faulty answer.
#[tokio::test]
async fn calls_after_a_faulty_answer_are_answered() {
    let cluster = Cluster::new();
    let address = start_closing_backend(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
    // The backend server closes each connection after its answer.
    check_20_answers(&cluster, address).await;
}

/// Guards against bytes behind a chunked answer that the next request takes for its own answer.
#[tokio::test]
async fn bytes_behind_a_chunked_answer_reach_no_other_caller() {
    let cluster = Cluster::new();
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let address = start_keep_alive_backend(answer).await;
    check_20_answers(&cluster, address).await;
}

/// Guards against an answer with large headers that only the own node passes on.
#[tokio::test]
async fn large_answer_headers_pass_both_ways() {
    let large = FakeBackend::start(|_| async {
        let mut response = text_response("large");
        response.headers_mut().insert("x-large", "y".repeat(60_000).parse().unwrap());
        response
    });
    let large = large.await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, large.address).await;
    for caller in [owner.caller, entry.caller] {
        let reply = request(caller, "GET", "/", &[], "").await;
        assert_eq!((reply.outcome(), reply.header("x-large").len()), ("answered", 60_000));
    }
}
