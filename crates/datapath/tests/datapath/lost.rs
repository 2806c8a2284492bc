//! Unresponsive connections, restarted nodes, failing backend servers and passed deadlines.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tarragon_datapath::transport::BoxError;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::calls::start_owner_and_entry;
use crate::calls::wait_until_answered;
use crate::calls::wait_until_routed;
use crate::support::request;
use crate::support::start_closing_backend;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Relay;

/// Cluster that detects unresponsive connections within a fraction of a second.
pub fn cluster_with_short_heartbeats() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.settings.heartbeat_interval_ms = 50;
    cluster.settings.heartbeat_timeout_ms = 200;
    cluster
}

/// Node that other nodes reach through a relay.
pub async fn node_behind_relay(cluster: &Cluster, backend: &FakeBackend) -> (Node, Relay) {
    let (relay, forward) = Relay::bind();
    let address = relay.address;
    let forward = std::sync::Mutex::new(Some(forward));
    let through = move |target| {
        forward.lock().unwrap().take().unwrap()(target);
        address
    };
    let node = cluster.start_node_behind("owner", Some(backend.address), Some(&through)).await;
    (node, relay)
}

/// Guards against a request that gets lost or runs twice when the connection it was sent on has
/// become unresponsive: the attempt is fenced over a new connection and sent again.
#[tokio::test]
async fn a_request_lost_on_a_silent_connection_runs_once() {
    let backend = FakeBackend::start(|_| async { text_response("weighed") }).await;
    let cluster = cluster_with_short_heartbeats();
    let (_owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    for _ in 0..3 {
        let before = backend.count();
        relay.freeze_connections();
        let reply = request(entry.caller, "POST", "/weigh", &[], "12 kg").await;
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
        assert_eq!(backend.count(), before + 1);
    }
    assert!(entry.metrics.read("route.connection_lost") >= 3);
}

/// Guards against `not-run` for a request that had started when its connection became unresponsive, and
/// against a wait beyond its deadline.
#[tokio::test]
async fn a_started_request_on_a_silent_connection_is_unknown_at_its_deadline() {
    let started = Arc::new(Notify::new());
    let notify_start = Arc::clone(&started);
    let backend = FakeBackend::start(move |request| {
        let notify_start = Arc::clone(&notify_start);
        async move {
            if request.method() == "POST" {
                notify_start.notify_one();
                std::future::pending::<()>().await;
            }
            text_response("seen")
        }
    })
    .await;
    let cluster = cluster_with_short_heartbeats();
    let (owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    let before = backend.count();
    let deadline = Duration::from_secs(2);
    let headers = [("tarragon-deadline-ms", &*deadline.as_millis().to_string())];
    let sent_at = Instant::now();
    let running = request(entry.caller, "POST", "/weigh", &headers, "12 kg");
    let silence_relay = async {
        started.notified().await;
        relay.freeze_connections();
    };
    let (reply, ()) = tokio::join!(running, silence_relay);
    let result = (reply.status.as_u16(), reply.outcome(), reply.reason());
    assert_eq!(result, (504, "unknown", "deadline-passed"));
    let elapsed = sent_at.elapsed();
    assert!(elapsed >= deadline && elapsed < deadline * 3, "told after {elapsed:?}");
    assert_eq!(owner.metrics.read("gate.fence_late"), 1);
    assert_eq!(backend.count(), before + 1);
    let reply = request(entry.caller, "GET", "/", &[], "").await;
    assert_eq!(reply.outcome(), "answered", "the connection was not replaced");
}

/// Guards against giving up a request that runs at a peer which is only paused: its response is
/// delivered when the peer goes on, long after the heartbeat timeout, and it runs once.
#[tokio::test]
async fn the_response_of_a_paused_peer_is_delivered_when_it_goes_on() {
    let started = Arc::new(Notify::new());
    let notify_start = Arc::clone(&started);
    let backend = FakeBackend::start(move |request| {
        let notify_start = Arc::clone(&notify_start);
        async move {
            if request.method() == "POST" {
                notify_start.notify_one();
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            text_response("weighed")
        }
    })
    .await;
    let cluster = cluster_with_short_heartbeats();
    let (_owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    let before = backend.count();
    let running = request(entry.caller, "POST", "/weigh", &[], "12 kg");
    let pause = async {
        started.notified().await;
        relay.set_paused(true);
        while entry.metrics.read("route.connection_lost") == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        relay.set_paused(false);
    };
    let (reply, ()) = tokio::join!(running, pause);
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
    assert_eq!(backend.count(), before + 1);
}

/// Guards against requests that are sent to an unresponsive peer until the heartbeat timeout of its
/// connection. Other peers are preferred as soon as a heartbeat response is late, and the
/// connection stays open.
#[tokio::test]
async fn other_servers_are_preferred_while_a_peer_is_late() {
    let unresponsive = FakeBackend::start(|_| async { text_response("silent") }).await;
    let other = FakeBackend::start(|_| async { text_response("other") }).await;
    let mut cluster = cluster_with_short_heartbeats();
    cluster.settings.heartbeat_timeout_ms = 600_000;
    cluster.settings.suspect_after_ms = 50;
    let (_unresponsive_node, relay) = node_behind_relay(&cluster, &unresponsive).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    relay.set_paused(true);
    while entry.metrics.read("route.suspected") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let _other_node = cluster.start_node("other", Some(other.address)).await;
    let short = [("tarragon-deadline-ms", "200")];
    while other.count() == 0 {
        // Until the entry has the membership record of the other node, it can only use the
        // unresponsive one.
        request(entry.caller, "GET", "/", &short, "").await;
    }
    for _ in 0..20 {
        let reply = request(entry.caller, "GET", "/", &short, "").await;
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "other"));
    }
    assert_eq!(entry.metrics.read("route.connection_lost"), 0);
}

/// Guards against a node that cannot stop because a peer is frozen and never closes its connection.
#[tokio::test]
async fn a_node_stops_while_a_peer_answers_nothing() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let mut cluster = cluster_with_short_heartbeats();
    // The entry keeps the unresponsive connection open, as a frozen process would.
    cluster.settings.heartbeat_timeout_ms = 600_000;
    let (owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    relay.freeze_connections();
    let stopped = tokio::time::timeout(Duration::from_secs(20), owner.stop()).await;
    assert!(stopped.is_ok(), "the node waits for an unresponsive peer");
}

/// Guards against a request that runs at a node which was restarted after the request was addressed
/// to it.
#[tokio::test]
async fn a_restarted_node_does_not_run_requests_for_its_previous_instance() {
    let backend = FakeBackend::start(|_| async { text_response("weighed") }).await;
    let mut cluster = cluster_with_short_heartbeats();
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    let (previous_instance, peer_address) = (owner.instance, owner.peer);
    owner.stop().await;
    cluster.settings.peer_address = peer_address;
    let restarted = cluster.start_node("owner", None).await;
    restarted.set_status(|status| {
        status.service = "counter".into();
        status.address = Some(backend.address);
        status.state = tarragon_model::member::BackendState::Ready;
    });
    let before = backend.count();
    let reply = request(entry.caller, "POST", "/weigh", &[], "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("not-run", "no-server"));
    assert_eq!(backend.count(), before);
    let headers = [("idempotency-key", &*format!("tl1-{previous_instance}-0000000000000001"))];
    cluster.remove(previous_instance);
    let reply = request(entry.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "key-unknown"));
    assert_eq!(backend.count(), before);
}

/// Guards against a retry of a request that may have run and is not idempotent, and against a
/// failed idempotent request while another backend server is available.
#[tokio::test]
async fn only_idempotent_requests_are_retried_after_a_server_failed() {
    let failing = start_closing_backend(b"").await;
    let backend = FakeBackend::start(|request| async move {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        text_response(String::from_utf8(body.to_vec()).unwrap())
    })
    .await;
    let cluster = Cluster::new();
    let first = cluster.start_node("first", Some(failing)).await;
    let _second = cluster.start_node("second", Some(backend.address)).await;
    wait_until_answered(&first).await;
    let before = backend.count();
    let retried = first.metrics.read("route.retried");
    for _ in 0..5 {
        let reply = request(first.caller, "PUT", "/photo", &[], "a small body").await;
        assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "a small body"));
    }
    assert_eq!(first.metrics.read("route.retried"), retried + 5);
    let reply = request(first.caller, "POST", "/weigh", &[], "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "connection-lost"));
    let reply = request(first.caller, "PUT", "/photo", &[], vec![7; 100_000]).await;
    assert_eq!(reply.outcome(), "unknown", "a body that was partly sent was sent again");
    assert_eq!(backend.count(), before + 5);
}

/// Guards against `not-run` for a request whose first attempt may have run, because a later attempt
/// was refused.
#[tokio::test]
async fn a_refused_retry_of_a_request_that_may_have_run_is_unknown() {
    let failing = start_closing_backend(b"").await;
    let cluster = Cluster::new();
    let first = cluster.start_node("first", Some(failing)).await;
    let second = cluster.start_node("second", Some(failing)).await;
    second.gate.set_drain(true);
    wait_until_routed(&first).await;
    let retried = first.metrics.read("route.retried");
    let reply = request(first.caller, "GET", "/", &[], "").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "connection-lost"));
    assert!(first.metrics.read("route.retried") > retried);
}

/// Guards against an unlimited number of retries while every backend server fails.
#[tokio::test]
async fn the_retries_of_a_request_are_limited_by_its_retry_tokens() {
    let failing = start_closing_backend(b"").await;
    let cluster = Cluster::new();
    let mut nodes = Vec::new();
    for _ in 0..6 {
        nodes.push(cluster.start_node("failing", Some(failing)).await);
    }
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    let retried = entry.metrics.read("route.retried");
    let reply = request(entry.caller, "GET", "/", &[], "").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "connection-lost"));
    let tokens = u64::from(cluster.settings.retry_tokens);
    assert_eq!(entry.metrics.read("route.retried"), retried + tokens);
}

/// Guards against an `unknown` outcome of a request that a draining gate refused while another gate
/// is available.
#[tokio::test]
async fn a_refused_request_is_sent_to_another_gate() {
    let backend = FakeBackend::start(|_| async { text_response("weighed") }).await;
    let cluster = Cluster::new();
    let first = cluster.start_node("first", Some(backend.address)).await;
    let _second = cluster.start_node("second", Some(backend.address)).await;
    first.gate.set_drain(true);
    wait_until_answered(&first).await;
    let retried = first.metrics.read("route.retried");
    let reply = request(first.caller, "POST", "/weigh", &[], "12 kg").await;
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
    assert_eq!(first.metrics.read("route.retried"), retried + 1);
}

/// Guards against a queued request that runs after its deadline, and against a definite outcome for
/// a request that was running at its deadline.
#[tokio::test]
async fn a_passed_deadline_is_late_for_a_queued_and_unknown_for_a_running_request() {
    let backend = FakeBackend::start(|request| async move {
        if request.uri().path() != "/ready" {
            std::future::pending::<()>().await;
        }
        text_response("")
    })
    .await;
    let mut cluster = Cluster::new();
    cluster.concurrency_limit = 1;
    // The gate's response may take long on a busy machine; the test checks only its content.
    cluster.settings.response_grace_ms = 10_000;
    let (owner, entry) = start_owner_and_entry(&cluster, backend.address).await;
    let before = backend.count();
    for caller in [owner.caller, entry.caller] {
        let headers = [("tarragon-deadline-ms", "400")];
        let running = request(caller, "POST", "/weigh", &headers, "");
        let queued = async {
            while owner.gate.in_flight() == 0 {
                tokio::task::yield_now().await;
            }
            request(caller, "POST", "/weigh", &[("tarragon-deadline-ms", "100")], "").await
        };
        let (running, queued) = tokio::join!(running, queued);
        assert_eq!((queued.status.as_u16(), queued.reason()), (503, "late"));
        assert_eq!((running.status.as_u16(), running.reason()), (504, "deadline-passed"));
    }
    assert_eq!(backend.count(), before + 2);
    owner.gate.wait_until_idle().await;
}

/// Guards against a caller that stops reading and so occupies a slot, or delays the stop of the
/// node, without a time limit.
#[tokio::test]
async fn a_caller_who_stops_reading_loses_its_slot_at_the_deadline() {
    let backend = FakeBackend::start(|request| async move {
        if request.uri().path() == "/ready" {
            return text_response("");
        }
        let chunks =
            stream::repeat_with(|| Ok::<_, BoxError>(Frame::data(Bytes::from(vec![7; 65_536]))));
        http::Response::new(StreamBody::new(chunks.take(4_096)).boxed_unsync())
    })
    .await;
    let mut cluster = Cluster::new();
    cluster.settings.caller_write_timeout_ms = 500;
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&owner).await;
    wait_until_routed(&entry).await;
    owner.gate.wait_until_idle().await;
    let mut streams = Vec::new();
    for caller in [owner.caller, entry.caller] {
        let mut stream = TcpStream::connect(caller).await.unwrap();
        let head = b"GET / HTTP/1.1\r\nhost: counter\r\ntarragon-deadline-ms: 300\r\n\r\n";
        stream.write_all(head).await.unwrap();
        while owner.gate.in_flight() == 0 {
            tokio::task::yield_now().await;
        }
        owner.gate.wait_until_idle().await;
        streams.push(stream);
    }
    entry.stop().await;
    owner.stop().await;
}

/// Guards against a separate connection for every call between two nodes: there is one for short
/// and one for long work.
#[tokio::test]
async fn two_connections_carry_all_calls_to_a_peer() {
    let backend = FakeBackend::start(|_| async { text_response("seen") }).await;
    let cluster = Cluster::new();
    let (_owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    let calls = (0..100).map(|index| {
        let (method, path) = if index % 2 == 0 { ("GET", "/") } else { ("PUT", "/photo") };
        request(entry.caller, method, path, &[], "")
    });
    for reply in futures_util::future::join_all(calls).await {
        assert_eq!(reply.outcome(), "answered");
    }
    assert_eq!(relay.accepted(), 2);
}

/// Guards against a connection that the HTTP/2 library closes, with all calls on it, because many
/// callers disconnect at the same time.
#[tokio::test]
async fn many_disconnects_do_not_close_the_connection_to_a_peer() {
    let backend = FakeBackend::start(|request| async move {
        if request.method() == "POST" {
            std::future::pending::<()>().await;
        }
        text_response("seen")
    })
    .await;
    let cluster = Cluster::new();
    let (owner, relay) = node_behind_relay(&cluster, &backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    for round in 0..30 {
        let calls = (0..100).map(|_| request(entry.caller, "POST", "/weigh", &[], "12 kg"));
        let disconnect = async {
            // In some rounds the callers disconnect before the calls reach the gate, in others
            // during the run.
            while owner.gate.in_flight() < round * 3 {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = futures_util::future::join_all(calls) => panic!("no response was sent"),
            () = disconnect => {}
        }
    }
    let reply = request(entry.caller, "GET", "/", &[], "").await;
    assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
    owner.gate.wait_until_idle().await;
    assert_eq!(relay.accepted(), 1);
    assert_eq!(entry.metrics.read("route.connection_lost"), 0);
}
