//! At most once, with keys.

use std::sync::Arc;

use tarragon_datapath::datapath::ServingState;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::calls::wait_until_answered;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;

async fn issued_key(node: &Node) -> String {
    let path = "/tarragon/keys?service=counter&count=1";
    let reply = request(node.caller, "POST", path, &[], "").await;
    let answer: serde_json::Value = serde_json::from_str(&reply.text()).unwrap();
    answer["keys"][0].as_str().unwrap().to_string()
}

/// Backend server whose answers wait for permits; tells when a request has started.
async fn held() -> (FakeBackend, Arc<Notify>, Arc<Semaphore>) {
    let (started, permits) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
    let (tell, wait) = (Arc::clone(&started), Arc::clone(&permits));
    let backend = FakeBackend::start(move |request| {
        let (tell, wait) = (Arc::clone(&tell), Arc::clone(&wait));
        async move {
            if request.method() == "POST" {
                tell.notify_one();
                wait.acquire().await.unwrap().forget();
            }
            text_response("weighed")
        }
    });
    (backend.await, started, permits)
}

/// Guards against `not-run` from a node that has just started, for a key that may have run through another
/// one: it cannot ask the owner yet.
#[tokio::test]
async fn a_node_that_does_not_serve_yet_says_nothing_about_a_key() {
    let cluster = Cluster::new();
    let entry = cluster.start_node("entry", None).await;
    cluster.serving.send_replace(ServingState::NotReady);
    let keyed = [("idempotency-key", "the caller's own key")];
    let reply = request(entry.caller, "POST", "/weigh", &keyed, "12 kg").await;
    let told = (reply.status.as_u16(), reply.outcome(), reply.reason());
    assert_eq!(told, (502, "unknown", "owner-unreachable"));
    let reply = request(entry.caller, "POST", "/weigh", &[], "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("not-run", "not-ready"));
}

/// Guards against `not-run` for a key that may have run, from an entry that throttles the caller.
#[tokio::test]
async fn a_throttled_caller_is_told_nothing_about_its_keys() {
    let cluster = Cluster::new();
    let entry = cluster.start_node("entry", None).await;
    let caller = ("authorization", "hard");
    for at in 0..300 {
        let key = format!("key {at}");
        let keyed = [caller, ("idempotency-key", &*key)];
        let reply = request(entry.caller, "POST", "/weigh", &keyed, "12 kg").await;
        assert_eq!(reply.outcome(), "unknown", "{at}: {}", reply.reason());
    }
    let mut reasons = Vec::new();
    for _ in 0..20 {
        let reply = request(entry.caller, "POST", "/weigh", &[caller], "12 kg").await;
        reasons.push(reply.reason().to_string());
    }
    assert!(reasons.iter().any(|reason| reason == "throttled"), "{reasons:?}");
}

/// Guards against a node that takes requests until it is killed, because a long run at its gate keeps it
/// from ending: they would be cut. The calls of that run are still served.
#[tokio::test]
async fn a_node_whose_last_runs_end_serves_their_calls_alone() {
    let (backend, started, permits) = held().await;
    let cluster = Cluster::new();
    let node = cluster.start_node("leaving", Some(backend.address)).await;
    wait_until_answered(&node).await;
    let deadline = |ms| [("tarragon-deadline-ms", ms)];
    let long = deadline("30000");
    let running = request(node.caller, "POST", "/weigh", &long, "12 kg");
    let meanwhile = async {
        started.notified().await;
        cluster.serving.send_replace(ServingState::BackendCallsOnly);
        let before = backend.count();
        let late = request(node.caller, "GET", "/", &deadline("60000"), "").await;
        assert_eq!((late.outcome(), late.reason()), ("not-run", "draining"));
        assert_eq!(late.header("connection"), "close");
        assert_eq!(backend.count(), before);
        let call = request(node.caller, "GET", "/", &deadline("5000"), "").await;
        assert_eq!(call.outcome(), "answered");
        permits.add_permits(1);
    };
    let (reply, ()) = tokio::join!(running, meanwhile);
    assert_eq!(reply.outcome(), "answered", "the run itself is cut");
}

/// Guards against a second run of a key, during and after the first one, through another entry.
#[tokio::test]
async fn repeats_of_a_key_get_the_answer_of_its_one_run() {
    for is_issued in [true, false] {
        let (backend, started, permits) = held().await;
        let cluster = Cluster::new();
        let owner = cluster.start_node("owner", Some(backend.address)).await;
        let other = cluster.start_node("other", None).await;
        wait_until_answered(&owner).await;
        wait_until_answered(&other).await;
        let views = backend.count();
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
        assert_eq!(backend.count(), views + 1, "the key ran more than once");
        let stranger = [headers[0], ("authorization", "someone else")];
        let reply = request(other.caller, "POST", "/weigh", &stranger, "12 kg").await;
        assert_eq!((reply.outcome(), reply.reason()), ("not-run", "key-mismatch"));
        let other_path = request(other.caller, "POST", "/weigh/2", &headers, "").await;
        assert_eq!((other_path.outcome(), other_path.reason()), ("not-run", "key-mismatch"));
    }
}

/// Guards against a run that is cut short, with an unknown result, because its caller hung up.
#[tokio::test]
async fn a_keyed_run_goes_on_when_its_caller_hangs_up() {
    let (backend, started, permits) = held().await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", None).await;
    wait_until_answered(&other).await;
    let views = backend.count();
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
    assert_eq!(backend.count(), views + 1, "the key ran more than once");
    other.stop().await;
    owner.stop().await;
}

/// Guards against a key that another instance runs after its owner is gone, and against a foreign
/// key that runs without a claim.
#[tokio::test]
async fn keys_without_their_owner_or_a_claim_do_not_run() {
    let (backend, _, permits) = held().await;
    permits.add_permits(100);
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", Some(backend.address)).await;
    wait_until_answered(&other).await;
    let views = backend.count();
    let key = format!("tl1-{}-0000000000000001", owner.instance);
    cluster.remove(owner.instance);
    owner.stop().await;
    let headers = [("idempotency-key", key.as_str())];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "key-unknown"));
    let headers = [("idempotency-key", "no-majority")];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "claim-unavailable"));
    assert_eq!(backend.count(), views);
}

/// Guards against an answer that is cut because it is too large to keep, and against a second run
/// because it was not kept.
#[tokio::test]
async fn an_answer_that_is_too_large_to_keep_is_whole_and_its_key_does_not_run_again() {
    let backend = FakeBackend::start(|_| async { text_response("x".repeat(100_000)) }).await;
    let cluster = Cluster::new();
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    let other = cluster.start_node("other", None).await;
    wait_until_answered(&other).await;
    let views = backend.count();
    let key = issued_key(&owner).await;
    let headers = [("idempotency-key", key.as_str())];
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.text().len()), ("answered", 100_000));
    let reply = request(other.caller, "POST", "/weigh", &headers, "12 kg").await;
    assert_eq!((reply.outcome(), reply.reason()), ("unknown", "key-unknown"));
    assert_eq!(backend.count(), views + 1);
}
