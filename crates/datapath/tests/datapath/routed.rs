//! Requests that are matched to the routes of a configuration, with headers of a platform.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tarragon_datapath::datapath::ServingState;
use tarragon_model::configuration::CallerLimits;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::RepeatRule;
use tarragon_model::configuration::Route;
use tarragon_model::configuration::RouteTarget;
use tarragon_model::configuration::ServiceLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::support::request;
use crate::support::start_closing_backend;
use crate::support::start_keep_alive_backend;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Reply;
use crate::support::TestBackendInterface;
use crate::support::TestCallerInterface;

const HEADERS: [(&str, &str); 2] = [("x-host", "orchard.example"), ("x-id", "7")];

fn route(path_prefix: &str, repeat: RepeatRule, max_attempts: u32, time_limit_ms: u64) -> Route {
    Route {
        name: path_prefix.trim_matches('/').into(),
        host: "orchard.example".into(),
        path_prefix: path_prefix.into(),
        repeat,
        time_limit_ms,
        objective_ms: 1_000,
        rank: 0,
        max_attempts,
        targets: vec![RouteTarget { service: "counter".into(), weight: 1 }],
    }
}

/// Cluster with a configuration that has several routes to the service `counter`.
pub fn configured_cluster() -> Cluster {
    configured_cluster_with(1_000)
}

/// The same cluster with another maximum size of request bodies, in bytes.
pub fn configured_cluster_with(max_body_bytes: u64) -> Cluster {
    let routes = vec![
        route("/one/", RepeatRule::Idempotent, 1, 20_000),
        route("/two/", RepeatRule::Idempotent, 2, 20_000),
        route("/once/", RepeatRule::AtMostOnce, 2, 20_000),
        route("/brief/", RepeatRule::Idempotent, 1, 200),
        route("/brief-once/", RepeatRule::AtMostOnce, 2, 400),
    ];
    let services = vec![ServiceLimits { name: "counter".into(), max_connections: 10 }];
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let mut cluster = Cluster::new();
    cluster.caller_interface = Arc::new(TestCallerInterface::default());
    cluster.backend_interface = Arc::new(TestBackendInterface);
    cluster.configure(&Configuration::new((1, 0), routes, services, limits, String::new()));
    cluster
}

pub async fn send(node: &Node, path: &str) -> Reply {
    request(node.caller, "POST", path, &HEADERS, "12 kg").await
}

/// Waits until the routing policy of the node has candidates, whatever their response.
pub async fn wait_until_routed(node: &Node) {
    for _ in 0..1_000 {
        if send(node, "/one/ready").await.reason() != "no-server" {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("the routing policy of the node has no candidates");
}

/// Backend server that echoes the request id.
pub async fn start_answering_backend() -> FakeBackend {
    FakeBackend::start(|request| async move {
        let mut response = text_response("weighed");
        let id = request.headers().get("x-id").cloned();
        response.headers_mut().insert("x-id", id.unwrap_or(HeaderValue::from_static("none")));
        response
    })
    .await
}

/// Backend server that runs no request and states this in its response.
async fn start_rejecting_backend() -> FakeBackend {
    FakeBackend::start(|_| async {
        let mut response = text_response("full");
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
        response
    })
    .await
}

/// Guards against sending a request to more backend servers than its route allows, and against
/// reporting a rejection with an outcome other than `not-run`.
#[tokio::test]
async fn a_rejected_request_reaches_no_more_servers_than_its_route_allows() {
    let backend = start_rejecting_backend().await;
    let cluster = configured_cluster();
    for name in ["first", "second", "third", "fourth"] {
        cluster.start_node(name, Some(backend.address)).await;
    }
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    for (path, most) in [("/one/7", 1), ("/two/7", 2), ("/once/7", 2)] {
        let before = backend.count();
        let reply = send(&entry, path).await;
        assert_eq!((reply.outcome(), reply.reason()), ("not-run", "rejected"), "{path}");
        assert_eq!(backend.count() - before, most, "{path}");
    }
}

/// Guards against refusing a request while another backend server has capacity: a refusal by a gate
/// whose backend server did not receive the request must not count as an attempt.
#[tokio::test]
async fn gates_that_refuse_cost_no_attempt() {
    let backend = start_answering_backend().await;
    let cluster = configured_cluster();
    for name in ["first", "second"] {
        cluster.start_node(name, Some(backend.address)).await.gate.set_drain(true);
    }
    cluster.start_node("third", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    for _ in 0..5 {
        assert_eq!(send(&entry, "/one/7").await.status.as_u16(), 200);
    }
}

/// Guards against a second run of a request that is not idempotent, after its response was lost.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let lost = FakeBackend::start(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        async { text_response("a response without a request id") }
    })
    .await;
    let cluster = configured_cluster();
    cluster.start_node("first", Some(lost.address)).await;
    cluster.start_node("second", Some(lost.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    let before = runs.load(Ordering::SeqCst);
    let reply = send(&entry, "/once/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (502, "bad-answer"));
    assert_eq!(runs.load(Ordering::SeqCst) - before, 1);
}

/// Guards against delivering the response to another request.
#[tokio::test]
async fn a_response_to_another_request_reaches_no_caller() {
    const OTHER_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 5\r\n\r\nother";
    let cluster = configured_cluster();
    let node =
        cluster.start_node("one", Some(start_keep_alive_backend(OTHER_RESPONSE).await)).await;
    wait_until_routed(&node).await;
    let reply = send(&node, "/once/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (502, "bad-answer"));
}

/// Guards against discarding complete responses because they have no length, or because more bytes
/// follow them.
#[tokio::test]
async fn responses_without_a_length_or_with_trailing_bytes_are_delivered() {
    const CLOSE_DELIMITED: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nweighed";
    const TRAILING_BYTES: &[u8] =
        b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 7\r\n\r\nweighedHTTP/1.1 200 OK\r\n";
    for backend in [
        start_closing_backend(CLOSE_DELIMITED).await,
        start_keep_alive_backend(TRAILING_BYTES).await,
    ] {
        let cluster = configured_cluster();
        let node = cluster.start_node("one", Some(backend)).await;
        wait_until_routed(&node).await;
        for _ in 0..3 {
            let reply = send(&node, "/once/7").await;
            assert_eq!(reply.status.as_u16(), 200);
            assert_eq!(reply.body.as_deref(), Ok(&b"weighed"[..]));
        }
    }
}

#[tokio::test]
async fn a_response_that_ends_within_its_head_is_no_success() {
    const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 17\r\n\r\n";
    const CLOSE_DELIMITED: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: 17\r\n\r\n";
    for head in [WITH_LENGTH, CLOSE_DELIMITED] {
        for length in 0..head.len() {
            let cluster = configured_cluster();
            let backend = start_closing_backend(&head[..length]).await;
            let owner = cluster.start_node("owner", Some(backend)).await;
            let entry = cluster.start_node("entry", None).await;
            wait_until_routed(&owner).await;
            wait_until_routed(&entry).await;
            for node in [&owner, &entry] {
                let reply = send(node, "/once/7").await;
                let result = (reply.status.as_u16(), reply.outcome());
                assert_eq!(result, (502, "unknown"), "after {length} bytes of {head:?}");
            }
        }
    }
}

/// Backend server that writes its refusal of the first request once more before the response to any
/// later request on the same connection.
async fn start_repeating_backend() -> (SocketAddr, Arc<AtomicUsize>) {
    const REFUSAL: &[u8] =
        b"HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 7\r\n\r\nweighed";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let mut has_refused = false;
                let mut bytes = Vec::new();
                while stream.read_buf(&mut bytes).await.unwrap_or(0) > 0 {
                    if !bytes.ends_with(b"12 kg") {
                        continue;
                    }
                    bytes.clear();
                    let response = if has_refused {
                        counted.fetch_add(1, Ordering::SeqCst);
                        [REFUSAL, RESPONSE].concat()
                    } else {
                        REFUSAL.to_vec()
                    };
                    has_refused = true;
                    if stream.write_all(&response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, runs)
}

#[tokio::test]
async fn a_repeated_refusal_is_no_answer_to_a_later_request() {
    let (backend, runs) = start_repeating_backend().await;
    let cluster = configured_cluster();
    let node = cluster.start_node("one", Some(backend)).await;
    for _ in 0..20 {
        let before = runs.load(Ordering::SeqCst);
        let reply = send(&node, "/once/7").await;
        let is_run = runs.load(Ordering::SeqCst) > before;
        assert!(!(is_run && reply.outcome() == "not-run"), "a request that ran is refused");
    }
}

/// Guards against a caller that waits longer than the time limit of its route.
#[tokio::test]
async fn the_time_limit_of_a_route_ends_the_wait() {
    let backend = FakeBackend::start(|_| async {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
        text_response("too late")
    })
    .await;
    let cluster = configured_cluster();
    let node = cluster.start_node("one", Some(backend.address)).await;
    let reply = send(&node, "/brief/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (504, "deadline-passed"));
    let header =
        backend.requests().pop().and_then(|(_, headers)| headers.get("x-ms").cloned()).unwrap();
    let deadline_ms: u64 = header.to_str().unwrap().parse().unwrap();
    assert!(deadline_ms <= 200, "deadline at the backend server: {deadline_ms} ms");
}

#[tokio::test]
async fn requests_outside_the_configuration_are_refused_and_do_not_run() {
    let backend = start_answering_backend().await;
    let cluster = configured_cluster();
    let node = cluster.start_node("one", Some(backend.address)).await;
    wait_until_routed(&node).await;
    let before = backend.count();
    assert_eq!(send(&node, "/unknown/7").await.status.as_u16(), 404);
    let large = "x".repeat(1_001);
    let reply = request(node.caller, "POST", "/one/7", &HEADERS, large).await;
    assert_eq!(reply.status.as_u16(), 413);
    assert_eq!(backend.count(), before);
}

/// Guards against passing the headers that nodes exchange to a backend server or a caller of a
/// platform with headers of its own, and against accepting such headers from a caller.
#[tokio::test]
async fn headers_between_nodes_stay_between_them() {
    let backend = start_answering_backend().await;
    let cluster = configured_cluster();
    let _owner = cluster.start_node("owner", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    let forged = [HEADERS[0], HEADERS[1], ("tarragon-repeat-share", "7"), ("tarragon-other", "7")];
    let reply = request(entry.caller, "POST", "/one/7", &forged, "12 kg").await;
    assert_eq!(reply.status.as_u16(), 200);
    let (_, seen) = backend.requests().pop().unwrap();
    let is_native = |name: &&http::HeaderName| name.as_str().starts_with("tarragon-");
    assert_eq!(seen.keys().find(is_native), None, "at the backend server");
    // The caller interface of the test reports the outcome in the native headers.
    let outcome_headers = ["tarragon-outcome", "tarragon-reason"];
    let others = reply
        .headers
        .keys()
        .filter(is_native)
        .find(|name| !outcome_headers.contains(&name.as_str()));
    assert_eq!(others, None, "at the caller");
}

/// Guards against serving requests under an outdated configuration while a node starts.
#[tokio::test]
async fn a_node_that_is_not_ready_refuses_until_it_serves() {
    let backend = start_answering_backend().await;
    let cluster = configured_cluster();
    cluster.serving.send_replace(ServingState::NotReady);
    let node = cluster.start_node("one", Some(backend.address)).await;
    let reply = send(&node, "/one/7").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (503, "not-ready"));
    assert!(!reply.header("retry-after").is_empty());
    assert_eq!(backend.count(), 0);
    cluster.serving.send_replace(ServingState::Ready);
    assert_eq!(send(&node, "/one/7").await.status.as_u16(), 200);
}
