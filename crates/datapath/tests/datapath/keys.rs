//! Requests with idempotency keys, which run at most once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarragon_datapath::datapath::ServingState;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::calls::wait_until_answered;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;

/// Deadline of a request that runs while its node stops, in ms.
const LONG_DEADLINE_MS: u128 = 30_000;

/// Number of calls of which one at least must be served. A call that is delayed on its way does not
/// expire together with its execution, as its deadline is sent as the time left.
const MAX_CALLS: usize = 50;

/// Key that the node has issued.
async fn issued_key(node: &Node) -> String {
    let path = "/tarragon/keys?service=counter&count=1";
    let reply = request(node.caller, "POST", path, &[], "").await;
    let issued: serde_json::Value = serde_json::from_str(&reply.text()).unwrap();
    issued["keys"][0].as_str().unwrap().to_string()
}

/// Backend server that responds to each POST request only when a permit is added to the semaphore,
/// and notifies when such a request has started.
async fn blocking_backend() -> (FakeBackend, Arc<Notify>, Arc<Semaphore>) {
    let (started, permits) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let (notify_start, response_permits) = (Arc::clone(&started), Arc::clone(&permits));
    let backend = FakeBackend::start(move |request| {
        let (notify_start, response_permits) =
            (Arc::clone(&notify_start), Arc::clone(&response_permits));
        async move {
            if request.method() == "POST" {
                notify_start.notify_one();
                response_permits.acquire().await.unwrap().forget();
            }
            text_response("weighed")
        }
    });
    (backend.await, started, permits)
}

/// Guards against `not-run` from a node that has just started, for a key that may have run through
/// another node: the new node cannot reach the owner of the key yet.
#[tokio::test]
async fn a_node_that_is_not_ready_reports_a_keyed_request_as_unknown() {
    let cluster = Cluster::new();
    let entry = cluster.start_node("entry", None).await;
    cluster.serving.send_replace(ServingState::NotReady);
    let keyed = [("idempotency-key", "the caller's own key")];
    let reply = request(entry.caller, "POST", "/weigh", &keyed, "12 kg").await;
    let result = (reply.status.as_u16(), reply.outcome(), reply.reason());
    assert_eq!(result, (502, "unknown", "owner-unreachable"));
    let reply = request(entry.caller, "POST", "/weigh", &[], "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("not-run", "not-ready"));
}

/// Guards against `not-run` from an entry that throttles the caller, for a key that may have run.
#[tokio::test]
async fn a_throttled_request_with_a_key_has_an_unknown_outcome() {
    let cluster = Cluster::new();
    let entry = cluster.start_node("entry", None).await;
    let caller = ("authorization", "hard");
    for index in 0..300 {
        let key = format!("key {index}");
        let keyed = [caller, ("idempotency-key", &*key)];
        let reply = request(entry.caller, "POST", "/weigh", &keyed, "12 kg").await;
        assert_eq!(reply.outcome(), "unknown", "request {index}: {}", reply.reason());
    }
    let mut reasons = Vec::new();
    for _ in 0..20 {
        let reply = request(entry.caller, "POST", "/weigh", &[caller], "12 kg").await;
        reasons.push(reply.reason().to_string());
    }
    assert!(reasons.iter().any(|reason| reason == "throttled"), "{reasons:?}");
}

/// Header with the deadline of a request, in ms.
fn deadline(ms: &str) -> [(&str, &str); 1] {
    [("tarragon-deadline-ms", ms)]
}

/// Guards against a stopping node that accepts requests until it is killed, because a long run at
/// its gate delays its end: those requests would be aborted. The calls of that run are still
/// served.
#[tokio::test]
async fn a_node_whose_last_runs_end_serves_their_calls_alone() {
    let (backend, started, permits) = blocking_backend().await;
    let cluster = Cluster::new();
    let node = cluster.start_node("leaving", Some(backend.address)).await;
    wait_until_answered(&node).await;
    let long_ms = LONG_DEADLINE_MS.to_string();
    let long = deadline(&long_ms);
    let sent_at = Instant::now();
    let running = request(node.caller, "POST", "/weigh", &long, "12 kg");
    let during_run = async {
        started.notified().await;
        let calls_end_at = sent_at + Duration::from_millis(2 * LONG_DEADLINE_MS as u64);
        cluster.serving.send_replace(ServingState::BackendCallsOnly { calls_end_at });
        let before = backend.count();
        for other in ["60000", "5000"] {
            let refused = request(node.caller, "GET", "/", &deadline(other), "").await;
            assert_eq!((refused.outcome(), refused.reason()), ("not-run", "draining"), "{other}");
            assert_eq!(refused.header("connection"), "close");
        }
        assert_eq!(backend.count(), before);
        let mut is_call_answered = false;
        for _ in 0..MAX_CALLS {
            // A call expires together with the execution that makes it.
            let left_ms = LONG_DEADLINE_MS - sent_at.elapsed().as_millis();
            let call = request(node.caller, "GET", "/", &deadline(&left_ms.to_string()), "").await;
            is_call_answered |= call.outcome() == "answered";
        }
        assert!(is_call_answered, "no call is served");
        cluster.serving.send_replace(ServingState::FinishingOnly);
        let before = backend.count();
        for _ in 0..MAX_CALLS {
            let left_ms = LONG_DEADLINE_MS - sent_at.elapsed().as_millis();
            let call = request(node.caller, "GET", "/", &deadline(&left_ms.to_string()), "").await;
            assert_eq!((call.outcome(), call.reason()), ("not-run", "draining"));
        }
        assert_eq!(
            backend.count(),
            before,
            "a call is served shortly before the process is killed"
        );
        permits.add_permits(1);
    };
    let (reply, ()) = tokio::join!(running, during_run);
    assert_eq!(reply.outcome(), "answered", "the run itself was aborted");
}

/// Guards against a second run of a key through another entry, during and after the first run.
#[tokio::test]
async fn repeated_requests_with_a_key_get_the_response_of_its_single_run() {
    for is_issued in [true, false] {
        let (backend, started, permits) = blocking_backend().await;
        let cluster = Cluster::new();
        let owner = cluster.start_node("owner", Some(backend.address)).await;
        let other = cluster.start_node("other", None).await;
        wait_until_answered(&owner).await;
        wait_until_answered(&other).await;
        let requests_before = backend.count();
        let key = if is_issued { issued_key(&other).await } else { "a caller's own key".into() };
        let headers = [("idempotency-key", key.as_str())];
        let first = request(owner.caller, "POST", "/weigh", &headers, "12 kg");
        let during = request(other.caller, "POST", "/weigh", &headers, "12 kg");
        let release = async {
            started.notified().await;
            permits.add_permits(1);
        };
        let (first, during, ()) = tokio::join!(first, during, release);
        let after = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
        for reply in [first, during, after] {
            assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
        }
        assert_eq!(backend.count(), requests_before + 1, "the key ran more than once");
        let other_caller = [headers[0], ("authorization", "someone else")];
        let reply = request(other.caller, "POST", "/weigh", &other_caller, "12 kg").await;
        assert_eq!((reply.outcome(), reply.reason()), ("not-run", "key-mismatch"));
        let other_path = request(other.caller, "POST", "/weigh/2", &headers, "").await;
        assert_eq!((other_path.outcome(), other_path.reason()), ("not-run", "key-mismatch"));
    }
}

/// Guards against a run that is aborted, with an unknown outcome, because its caller disconnected.
#[tokio::test]
async fn a_keyed_run_continues_when_its_caller_disconnects() {
    let (backend, started, permits) = blocking_backend().await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", None).await;
    wait_until_answered(&other).await;
    let requests_before = backend.count();
    let key = issued_key(&owner).await;
    let headers = [("idempotency-key", key.as_str())];
    tokio::select! {
        _ = request(other.caller, "POST", "/weigh", &headers, "12 kg") => panic!("not released"),
        () = started.notified() => {}
    }
    while owner.metrics.read("gate.cancelled") == 0 {
        tokio::task::yield_now().await;
    }
    permits.add_permits(1);
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "weighed"));
    assert_eq!(backend.count(), requests_before + 1, "the key ran more than once");
    other.stop().await;
    owner.stop().await;
}

/// Guards against a key that another instance runs after the owner of the key has left, and against
/// a key chosen by the caller that runs without a claim.
#[tokio::test]
async fn keys_without_their_owner_or_a_claim_do_not_run() {
    let (backend, _, permits) = blocking_backend().await;
    permits.add_permits(100);
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", Some(backend.address)).await;
    wait_until_answered(&other).await;
    let requests_before = backend.count();
    let key = format!("tl1-{}-0000000000000001", owner.instance);
    cluster.remove(owner.instance);
    owner.stop().await;
    let headers = [("idempotency-key", key.as_str())];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "key-unknown"));
    let headers = [("idempotency-key", "no-majority")];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "claim-unavailable"));
    assert_eq!(backend.count(), requests_before);
}

/// Guards against a response that is truncated because it is too large to store, and against a
/// second run because the response was not stored.
#[tokio::test]
async fn a_response_too_large_to_store_is_complete_and_its_key_does_not_run_again() {
    let backend = FakeBackend::start(|_| async { text_response("x".repeat(100_000)) }).await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", None).await;
    wait_until_answered(&other).await;
    let requests_before = backend.count();
    let key = issued_key(&owner).await;
    let headers = [("idempotency-key", key.as_str())];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.text().len()), ("answered", 100_000));
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "key-unknown"));
    assert_eq!(backend.count(), requests_before + 1);
}
