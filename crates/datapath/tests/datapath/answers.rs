//! Responses of backend servers that are malformed, or do not match their announced length.

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

/// Sends the same request through the node of the backend server and through a peer.
async fn request_through_owner_and_peer(response: &'static [u8]) -> [Reply; 2] {
    let cluster = Cluster::new();
    let address = start_closing_backend(response).await;
    let owner = cluster.start_node("owner", Some(address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&owner).await;
    wait_until_routed(&entry).await;
    let post = |address| request(address, "POST", "/weigh", &[], "12 kg");
    [post(owner.caller).await, post(entry.caller).await]
}

/// Checks that the connection to the caller was closed early; or, if the fault was detected before
/// the head was sent, that the outcome is `unknown`.
fn assert_truncated(replies: [Reply; 2]) {
    for reply in replies {
        let is_truncated = reply.body.is_err() || reply.outcome() == "unknown";
        assert!(is_truncated, "the response looks complete: {reply:?}");
    }
}

fn assert_unknown(replies: [Reply; 2], reason: &str) {
    for reply in replies {
        let reported = (reply.status.as_u16(), reply.outcome(), reply.reason());
        assert_eq!(reported, (502, "unknown", reason));
    }
}

/// Guards against a truncated response that looks complete to the caller.
#[tokio::test]
async fn a_short_response_closes_the_callers_connection() {
    assert_truncated(
        request_through_owner_and_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").await,
    );
}

/// Guards against a response that is truncated to its announced length and so looks complete.
#[tokio::test]
async fn a_long_response_closes_the_callers_connection() {
    assert_truncated(
        request_through_owner_and_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcdef").await,
    );
}

/// Guards against bytes after an empty response that are read as the response to the next request.
#[tokio::test]
async fn bytes_after_an_empty_response_are_a_bad_answer() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nabcdef";
    assert_unknown(request_through_owner_and_peer(response).await, "bad-answer");
}

/// Guards against a chunked response without its last chunk that looks complete to the caller.
#[tokio::test]
async fn a_truncated_chunked_response_closes_the_callers_connection() {
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    assert_truncated(request_through_owner_and_peer(response).await);
}

/// Guards against a response with malformed chunk framing that looks complete to the caller.
#[tokio::test]
async fn garbage_between_chunks_closes_the_callers_connection() {
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n";
    assert_truncated(request_through_owner_and_peer(response).await);
}

/// Guards against an outcome other than `unknown` for a request that may have run.
#[tokio::test]
async fn garbage_instead_of_a_response_is_unknown() {
    assert_unknown(
        request_through_owner_and_peer(b"\x00\x01garbage\r\n\r\n\r\n").await,
        "bad-answer",
    );
}

/// Guards against `not-run` for a request whose bytes reached the backend server.
#[tokio::test]
async fn a_connection_closed_without_a_response_is_unknown() {
    assert_unknown(request_through_owner_and_peer(b"").await, "connection-lost");
}

/// Guards against accepting a response whose end is marked only by the end of the connection,
/// because a truncated one cannot be distinguished from a complete one.
#[tokio::test]
async fn a_response_without_length_is_a_bad_answer() {
    assert_unknown(
        request_through_owner_and_peer(b"HTTP/1.1 200 OK\r\n\r\nabc").await,
        "bad-answer",
    );
}

/// Guards against passing on outcome headers that a backend server sets.
#[tokio::test]
async fn the_outcome_headers_of_a_backend_server_are_not_passed_on() {
    let response = b"HTTP/1.1 503 Busy\r\ntarragon-outcome: not-run\r\n\
        tarragon-reason: shed\r\ncontent-length: 0\r\n\r\n";
    for reply in request_through_owner_and_peer(response).await {
        let reported = (reply.status.as_u16(), reply.outcome(), reply.reason());
        assert_eq!(reported, (503, "answered", ""));
    }
}

/// Checks that each of 20 calls gets the complete response `abc` of the backend server.
async fn check_20_responses(cluster: &Cluster, backend: std::net::SocketAddr) {
    let owner = cluster.start_node("owner", Some(backend)).await;
    wait_until_answered(&owner).await;
    for _ in 0..20 {
        let reply = request(owner.caller, "POST", "/weigh", &[], "12 kg").await;
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "abc"));
    }
}

/// Guards against reusing a pooled connection after a faulty response.
#[tokio::test]
async fn calls_after_a_faulty_response_are_answered() {
    let cluster = Cluster::new();
    let address = start_closing_backend(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
    // The backend server closes each connection after its response.
    check_20_responses(&cluster, address).await;
}

/// Guards against bytes after a chunked response that are read as the response to the next request.
#[tokio::test]
async fn bytes_after_a_chunked_response_reach_no_other_caller() {
    let cluster = Cluster::new();
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil";
    let address = start_keep_alive_backend(response).await;
    check_20_responses(&cluster, address).await;
}

/// Guards against a response with large headers that only the node of the backend server passes on.
#[tokio::test]
async fn large_response_headers_pass_through_owner_and_peer() {
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
