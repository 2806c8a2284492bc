//! Calls that succeed, and refusals of requests that certainly did not run.

use http_body_util::BodyExt;

use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;

/// Backend server that responds with the path and the body of the request.
async fn start_echo_backend() -> FakeBackend {
    FakeBackend::start(|request| async move {
        let path = request.uri().to_string();
        let body = request.into_body().collect().await.unwrap().to_bytes();
        text_response(format!("{path} {}", String::from_utf8_lossy(&body)))
    })
    .await
}

/// Waits until the routing policy of the node has candidates.
pub async fn wait_until_routed(node: &crate::support::Node) {
    for _ in 0..1_000 {
        if request(node.caller, "GET", "/ready", &[], "").await.reason() != "no-server" {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("the routing policy of the node has no candidates");
}

/// Waits until requests through the node get a response of a backend server.
pub async fn wait_until_answered(node: &crate::support::Node) {
    for _ in 0..1_000 {
        if request(node.caller, "GET", "/ready", &[], "").await.outcome() == "answered" {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("requests through the node get no response of a backend server");
}

/// Starts a node in front of a backend server and another node, and waits until requests through
/// the other node get a response of that backend server.
pub async fn start_owner_and_entry(
    cluster: &Cluster,
    backend: std::net::SocketAddr,
) -> (crate::support::Node, crate::support::Node) {
    let owner = cluster.start_node("owner", Some(backend)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    (owner, entry)
}

/// Guards the complete path from the caller through the entry, the peer connection and the gate to
/// the backend server, and back.
#[tokio::test]
async fn a_request_through_another_node_is_answered_with_its_context() {
    let backend = start_echo_backend().await;
    let cluster = Cluster::new();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    let reply = request(entry.caller, "POST", "/weigh?x=1", &[], "12 kg").await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (200, "answered"));
    assert_eq!(reply.text(), "/weigh?x=1 12 kg");
    let (_, headers) = backend.requests().pop().unwrap();
    assert_eq!(headers["tarragon-importance"], "0");
    assert_eq!(headers["tarragon-span"].len(), 16);
    assert!(headers["tarragon-request-id"]
        .to_str()
        .unwrap()
        .starts_with(&entry.instance.to_string()));
    assert!(!headers.contains_key("tarragon-mac"));
    entry.stop().await;
    owner.stop().await;
}

/// Guards against refusals without an outcome, and against a wrong outcome, reason or status.
#[tokio::test]
async fn definite_refusals_name_their_reason() {
    let backend = start_echo_backend().await;
    let cluster = Cluster::new();
    let node = cluster.start_node("one", Some(backend.address)).await;
    wait_until_answered(&node).await;
    let before = backend.count();
    let large = "x".repeat(40_000);
    type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], u16, &'a str);
    let cases: [Case<'_>; 7] = [
        ("GET", "/", &[("tarragon-service", "ghost")], 404, "unknown-service"),
        ("DELETE", "/", &[], 404, "unknown-operation"),
        ("GET", "/", &[("tarragon-deadline-ms", "soon")], 400, "bad-request"),
        ("GET", "/", &[("tarragon-deadline-ms", "0")], 503, "late"),
        ("GET", "/", &[("x-large", &large)], 431, "bad-request"),
        ("POST", "/weigh", &[("idempotency-key", "")], 400, "bad-request"),
        ("POST", "/tarragon/keys?service=counter&count=0", &[], 400, "bad-request"),
    ];
    for (method, path, headers, status, reason) in cases {
        let reply = request(node.caller, method, path, headers, "").await;
        let reported = (reply.status.as_u16(), reply.outcome(), reply.reason());
        assert_eq!(reported, (status, "not-run", reason), "{method} {path}");
    }
    node.set_status(|status| status.address = None);
    let reply = request(node.caller, "GET", "/", &[], "").await;
    assert_eq!((reply.status.as_u16(), reply.reason()), (503, "no-server"));
    assert_eq!(backend.count(), before, "a refused request reached the backend server");
}

/// Guards against responses that reach the wrong caller when they arrive late and out of order.
#[tokio::test]
async fn responses_reach_only_their_own_callers() {
    let backend = FakeBackend::start(|request| async move {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        for _ in 0..rand::random_range(0..50) {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(std::time::Duration::from_micros(rand::random_range(0..5_000))).await;
        let id = String::from_utf8(body.to_vec()).unwrap();
        text_response(id.repeat(rand::random_range(1..40)))
    })
    .await;
    let cluster = Cluster::new();
    let _owner = cluster.start_node("owner", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    let calls = (0..200).map(|at| async move {
        let id = format!("<{at}>");
        let reply = request(entry.caller, "PUT", "/photo", &[], id.clone()).await;
        assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
        assert_eq!(reply.text().replace(&id, ""), "", "response to another request");
    });
    futures_util::future::join_all(calls).await;
}

/// Guards against a caller that sustains an overload by retrying without delay, and against
/// throttling the requests of other callers because of one caller's retries.
#[tokio::test]
async fn a_caller_that_repeats_failing_requests_is_throttled_alone() {
    let cluster = Cluster::new();
    let node = cluster.start_node("entry", None).await;
    let retrying_caller = [("authorization", "hard")];
    let mut reasons = Vec::new();
    for _ in 0..300 {
        reasons.push(
            request(node.caller, "GET", "/view", &retrying_caller, "").await.reason().to_string(),
        );
    }
    assert_eq!(reasons[0], "no-server");
    assert!(reasons.iter().any(|reason| reason == "throttled"), "the caller is never throttled");
    let other_caller = [("authorization", "other")];
    let reply = request(node.caller, "GET", "/view", &other_caller, "").await;
    assert_eq!(reply.reason(), "no-server");
}
