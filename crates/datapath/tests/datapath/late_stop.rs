//! Calls that a backend server makes late in the stop of its node, and requests for it early in the stop.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarragon_datapath::datapath::ServingState;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::calls::wait_until_answered;
use crate::support::request;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Reply;

/// Time that is left until the process is killed.
const LEFT: Duration = Duration::from_secs(3);

/// Number of calls after which the node knows how long calls of a kind take.
const KNOWN_CALLS: usize = 20;

/// Size of an upload, more than a node buffers for retries.
const UPLOAD_BYTES: usize = 300_000;

/// Backend server whose run of a POST request waits for a permit, and whose GET and PUT requests
/// end at once or, with `/slow` in their path, only after a long time.
struct CallingBackend {
    backend: FakeBackend,
    started: Arc<Notify>,
    permits: Arc<Semaphore>,
}

impl CallingBackend {
    async fn start() -> Self {
        let (started, permits) = (Arc::new(Notify::new()), Arc::new(Semaphore::new(0)));
        let (start, response_permits) = (Arc::clone(&started), Arc::clone(&permits));
        let backend = FakeBackend::start(move |request| {
            let (start, permits) = (Arc::clone(&start), Arc::clone(&response_permits));
            async move {
                if request.method() == "POST" {
                    start.notify_one();
                    permits.acquire().await.unwrap().forget();
                }
                if request.uri().path().starts_with("/slow") {
                    tokio::time::sleep(2 * LEFT).await;
                }
                text_response("done")
            }
        });
        Self { backend: backend.await, started, permits }
    }

    /// Headers by which a call names the run that makes it.
    fn call_headers(&self) -> Vec<(String, String)> {
        let requests = self.backend.requests();
        let (_, headers) = requests.iter().rfind(|(path, _)| path == "/weigh").unwrap();
        ["tarragon-span", "tarragon-request-id"]
            .map(|name| (name.to_string(), headers[name].to_str().unwrap().to_string()))
            .to_vec()
    }

    /// Makes a call from within the run, and returns the reply and whether the call ran.
    async fn call(&self, node: &Node, method: &str, path: &str) -> (Reply, bool) {
        let before = self.backend.count();
        let headers = self.call_headers();
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let reply = request(node.exit, method, path, &headers, "").await;
        (reply, self.backend.count() > before)
    }
}

/// Starts a node with a backend server, which has answered a number of short calls.
async fn start_node(known_calls: usize) -> (Cluster, Node, CallingBackend) {
    let server = CallingBackend::start().await;
    let cluster = Cluster::new();
    let node = cluster.start_node("leaving", Some(server.backend.address)).await;
    wait_until_answered(&node).await;
    for _ in 0..known_calls {
        assert_eq!(request(node.caller, "GET", "/", &[], "").await.outcome(), "answered");
    }
    (cluster, node, server)
}

fn stop_within(left: Duration) -> ServingState {
    ServingState::BackendCallsOnly { calls_end_at: Instant::now() + left }
}

/// Runs a POST request at the node, and the calls of `during` within it.
async fn during_run(node: &Node, server: &CallingBackend, during: impl Future<Output = ()>) {
    let run = request(node.caller, "POST", "/weigh", &[], "12 kg");
    let calls = async {
        server.started.notified().await;
        during.await;
        server.permits.add_permits(1);
    };
    let (reply, ()) = tokio::join!(run, calls);
    assert_eq!(reply.outcome(), "answered", "the run itself was aborted");
}

/// Guards against calls that are passed on late in a stop and cut when the process is killed (case 2
/// of the review): a call of a kind that the node does not know may take any time.
#[tokio::test]
async fn a_stopping_node_refuses_calls_that_may_outlast_it() {
    let (cluster, node, server) = start_node(/* known_calls */ 0).await;
    during_run(&node, &server, async {
        cluster.serving.send_replace(stop_within(LEFT));
        for (method, path) in [("GET", "/"), ("PUT", "/photo"), ("POST", "/weigh/again")] {
            let (reply, has_run) = server.call(&node, method, path).await;
            assert_eq!((reply.outcome(), reply.reason()), ("not-run", "draining"), "{method}");
            assert!(!has_run, "{method}");
        }
        assert_eq!(node.metrics.read("entry.refused_before_stop"), 3);
    })
    .await;
}

/// Guards against an upload that is passed on late in a stop, and against one whose refusal does not arrive
/// since its body is not read.
#[tokio::test]
async fn a_stopping_node_refuses_an_upload_that_may_outlast_it() {
    let (cluster, node, server) = start_node(/* known_calls */ 0).await;
    during_run(&node, &server, async {
        cluster.serving.send_replace(stop_within(LEFT));
        let headers = server.call_headers();
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let before = server.backend.count();
        let body = "x".repeat(UPLOAD_BYTES);
        let reply = request(node.exit, "PUT", "/photo", &headers, body).await;
        assert_eq!((reply.outcome(), reply.reason()), ("not-run", "draining"));
        assert_eq!(server.backend.count(), before);
        assert_eq!(node.metrics.read("entry.refused_before_stop"), 1);
    })
    .await;
}

/// Guards against refusing every call: those that are known to be short, and those that expire in
/// time, are answered.
#[tokio::test]
async fn a_stopping_node_serves_calls_that_end_in_time() {
    let (cluster, node, server) = start_node(KNOWN_CALLS).await;
    during_run(&node, &server, async {
        cluster.serving.send_replace(stop_within(LEFT));
        let (reply, _) = server.call(&node, "GET", "/").await;
        assert_eq!(reply.outcome(), "answered");
        // An unknown kind is served where its deadline comes before the end of the process.
        cluster.serving.send_replace(stop_within(Duration::from_secs(3_600)));
        let (reply, _) = server.call(&node, "PUT", "/photo").await;
        assert_eq!(reply.outcome(), "answered");
        cluster.serving.send_replace(ServingState::FinishingOnly);
        let (reply, has_run) = server.call(&node, "GET", "/").await;
        assert_eq!((reply.outcome(), reply.reason(), has_run), ("not-run", "draining", false));
    })
    .await;
}

/// Guards against calls to a server that has become slow, of a kind that used to be short.
#[tokio::test]
async fn a_stopping_node_refuses_calls_of_a_kind_that_became_slow() {
    let (cluster, node, server) = start_node(KNOWN_CALLS).await;
    let slow = request(node.caller, "GET", "/slow", &[], "");
    let calls = during_run(&node, &server, async {
        tokio::time::sleep(LEFT).await;
        cluster.serving.send_replace(stop_within(LEFT));
        let (reply, has_run) = server.call(&node, "GET", "/").await;
        assert_eq!((reply.outcome(), reply.reason(), has_run), ("not-run", "draining", false));
    });
    let (reply, ()) = tokio::join!(slow, calls);
    assert_eq!(reply.outcome(), "answered", "the slow run itself was aborted");
}

/// Guards against requests of other nodes that are cut when the process is killed, because its gate took
/// them at the beginning of the stop. Another server runs them.
#[tokio::test]
async fn requests_that_may_outlast_a_stopping_gate_run_elsewhere() {
    let (mut cluster, leaving, server) = start_node(/* known_calls */ 0).await;
    let ready = watch::Sender::new(ServingState::Ready);
    let leaving_serving = std::mem::replace(&mut cluster.serving, ready);
    let other_server = CallingBackend::start().await;
    let other = cluster.start_node("other", Some(other_server.backend.address)).await;
    wait_until_answered(&other).await;
    leaving_serving.send_replace(ServingState::Closing { calls_end_at: Instant::now() + LEFT });
    let before = server.backend.count();
    for entry in [&other, &leaving] {
        for _ in 0..KNOWN_CALLS {
            let reply = request(entry.caller, "PUT", "/photo", &[], "").await;
            assert_eq!(reply.outcome(), "answered");
        }
    }
    assert_eq!(
        server.backend.count(),
        before,
        "requests of an unknown kind ran at the leaving node"
    );
    assert!(leaving.metrics.read("gate.refused_before_stop") > 0);
}

/// Guards against a stopping gate that refuses what will end in time.
#[tokio::test]
async fn a_stopping_gate_runs_requests_that_end_in_time() {
    let (cluster, node, server) = start_node(KNOWN_CALLS).await;
    let stop_within = |left| ServingState::Closing { calls_end_at: Instant::now() + left };
    cluster.serving.send_replace(stop_within(LEFT));
    let before = server.backend.count();
    assert_eq!(request(node.caller, "GET", "/", &[], "").await.outcome(), "answered");
    // An unknown kind runs where its deadline comes before the end of the process.
    cluster.serving.send_replace(stop_within(Duration::from_secs(3_600)));
    assert_eq!(request(node.caller, "PUT", "/photo", &[], "").await.outcome(), "answered");
    assert_eq!(server.backend.count(), before + 2);
    assert_eq!(node.metrics.read("gate.refused_before_stop"), 0);
}
