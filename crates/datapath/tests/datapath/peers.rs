//! Requests between nodes that must be rejected, fences and retry delays.

use http::HeaderValue;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tarragon_datapath::peer::PeerAuth;
use tarragon_datapath::transport::empty;
use tarragon_datapath::transport::Body;
use tarragon_model::call::CallContext;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tokio::net::TcpStream;

use crate::calls::wait_until_answered;
use crate::calls::wait_until_routed;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Reply;

/// A signed call without retry tokens.
fn signed_call(target: InstanceId, attempt: u64, method: Method, path: &str) -> Request<Body> {
    let mut request = Request::new(empty());
    *request.uri_mut() = format!("http://node{path}").parse().unwrap();
    let context = CallContext {
        request_id: RequestId { instance: InstanceId(7), counter: 1 },
        span: None,
        deadline_ms: 5_000,
        importance: 2,
        depth: 0,
        key: None,
    };
    let map = request.headers_mut();
    context.write_headers(map);
    map.insert("tarragon-service", HeaderValue::from_static("counter"));
    map.insert("tarragon-target", target.to_string().parse().unwrap());
    map.insert("tarragon-attempt", attempt.into());
    map.insert("tarragon-retry-tokens", 0.into());
    sign(&mut request, method, path);
    request
}

fn sign(request: &mut Request<Body>, method: Method, path: &str) {
    let auth = PeerAuth::new(Cluster::deployment_key());
    auth.sign(&method, path, request.headers_mut());
    *request.method_mut() = method;
}

async fn send(node: &Node, request: Request<Body>) -> Reply {
    let stream = TcpStream::connect(node.peer).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).map_err(|e| e.to_string());
    Reply { status: parts.status, headers: parts.headers, body }
}

/// Guards against a call that is forged or was modified in transit.
#[tokio::test]
async fn a_call_without_a_valid_hash_is_refused() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let node = cluster.start_node("one", Some(backend.address)).await;
    let call = || signed_call(node.instance, 1, Method::GET, "/");
    assert_eq!(send(&node, call()).await.outcome(), "answered");
    let changes: [(&str, &str); 9] = [
        ("tarragon-importance", "0"),
        ("tarragon-deadline-ms", "9000"),
        ("tarragon-depth", "1"),
        ("tarragon-service", "other"),
        ("tarragon-retry-tokens", "9"),
        ("tarragon-repeat-share", "1000"),
        ("tarragon-span", "0000000000000001"),
        ("idempotency-key", "stolen"),
        ("tarragon-mac", "00"),
    ];
    for (name, value) in changes {
        let mut request = call();
        request.headers_mut().insert(name, HeaderValue::from_static(value));
        assert_eq!(send(&node, request).await.status.as_u16(), 403, "{name}");
    }
    let mut request = call();
    request.headers_mut().remove("tarragon-mac");
    assert_eq!(send(&node, request).await.status.as_u16(), 403);
    let mut request = call();
    *request.uri_mut() = "http://node/other".parse().unwrap();
    assert_eq!(send(&node, request).await.status.as_u16(), 403);
    assert_eq!(backend.count(), 1);
    assert_eq!(node.metrics.read("peer.bad_mac"), 11);
}

/// Guards against an attempt that runs at a node which was restarted after the attempt was
/// addressed to it.
#[tokio::test]
async fn a_call_for_another_instance_does_not_run_and_is_unknown_if_it_has_a_key() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let node = cluster.start_node("one", Some(backend.address)).await;
    let reply = send(&node, signed_call(InstanceId(1), 1, Method::GET, "/")).await;
    // A call without a key has no other copy, so it did not run.
    assert_eq!((reply.outcome(), reply.reason()), ("not-run", "no-server"));
    // A keyed call may have run at the previous instance of the node.
    let mut keyed = signed_call(InstanceId(1), 2, Method::GET, "/");
    keyed.headers_mut().insert("idempotency-key", HeaderValue::from_static("k1"));
    sign(&mut keyed, Method::GET, "/");
    let reply = send(&node, keyed).await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "wrong-instance"));
    assert_eq!(backend.count(), 0);
}

fn fence(target: InstanceId, attempt: u64) -> Request<Body> {
    let mut request = signed_call(target, attempt, Method::POST, "/tarragon/fence");
    request.headers_mut().remove("tarragon-service");
    sign(&mut request, Method::POST, "/tarragon/fence");
    request
}

/// Guards against a late copy that runs after its attempt was reported as `not-run`, and against
/// `not-run` for an attempt that has started.
#[tokio::test]
async fn a_fence_stops_an_attempt_that_has_not_started_and_no_other() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let node = cluster.start_node("one", Some(backend.address)).await;
    wait_until_answered(&node).await;
    let before = backend.count();
    assert_eq!(send(&node, fence(node.instance, 1)).await.outcome(), "not-run");
    let fenced = send(&node, signed_call(node.instance, 1, Method::GET, "/")).await;
    assert_eq!((fenced.outcome(), fenced.reason()), ("not-run", "fenced"));
    assert_eq!(backend.count(), before);
    let run = send(&node, signed_call(node.instance, 2, Method::GET, "/")).await;
    assert_eq!(run.outcome(), "answered");
    assert_eq!(send(&node, fence(node.instance, 2)).await.outcome(), "unknown");
    assert_eq!(send(&node, fence(InstanceId(1), 3)).await.outcome(), "unknown");
}

/// Guards against a retry delay that is up to one second longer than the gate specified, because it
/// was passed between nodes in a header that counts whole seconds.
#[tokio::test]
async fn the_retry_delay_keeps_its_milliseconds_between_nodes() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let node = cluster.start_node("one", Some(backend.address)).await;
    wait_until_answered(&node).await;
    node.gate.set_drain(true);
    let reply = send(&node, signed_call(node.instance, 1, Method::GET, "/")).await;
    assert_eq!((reply.outcome(), reply.reason()), ("not-run", "draining"));
    assert_eq!(reply.header("tarragon-retry-after-ms"), "1250");
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    // Callers receive the delay in whole seconds, rounded up.
    let reply = request(entry.caller, "GET", "/", &[], "").await;
    assert_eq!((reply.reason(), reply.header("retry-after")), ("draining", "2"));
    assert_eq!(reply.header("tarragon-retry-after-ms"), "");
}
