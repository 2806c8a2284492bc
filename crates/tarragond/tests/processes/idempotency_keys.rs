//! Non-idempotent requests with an idempotency key whose response is lost.

use rustix::process::Signal;
use tarragon_model::member::BackendState;

use crate::support::issued_key;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::FakeBackend;

const NODES: [&str; 4] = ["replica-1", "plain-1", "plain-2", "plain-3"];

/// Starts a deployment with backend servers at `plain-1` and `plain-2`, and waits until every node
/// considers both ready.
async fn start_cluster_with_backends() -> (Cluster, [FakeBackend; 2]) {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let backends = [
        FakeBackend::start("plain-1", &cluster["plain-1"]).await,
        FakeBackend::start("plain-2", &cluster["plain-2"]).await,
    ];
    for node in &cluster.nodes {
        wait_until_ready(&cluster, node).await;
    }
    (cluster, backends)
}

/// Waits until a node lists two ready backend servers and no earlier instances of nodes, and both
/// idempotent and non-idempotent requests through it are answered. Only the latter need a
/// connection that has proven to work.
async fn wait_until_ready(cluster: &Cluster, node: &Daemon) {
    let is_ready = async || {
        let members = cluster.operator.members(node).await?;
        let ready = members.iter().filter(|member| member.state == BackendState::Ready).count();
        let view = CallerRequest::view("/warm").send(node).await.ok()?;
        let weigh_in = CallerRequest { key: None, ..CallerRequest::weigh_in("/weigh/warm", "") }
            .send(node)
            .await
            .ok()?;
        let is_answered = view.outcome == "answered" && weigh_in.outcome == "answered";
        (ready == 2 && members.len() == NODES.len() && is_answered).then_some(())
    };
    wait_until(&format!("{} has two ready backend servers", node.name), is_ready).await;
}

fn total_run_count(backends: &[FakeBackend], path: &str) -> usize {
    backends.iter().map(|backend| backend.run_count(path)).sum()
}

/// Sends a request to a blocked path through an entry node, and calls `interrupt` and drops the
/// request once it runs, so that its response is lost. Then resends it through two other nodes
/// during the run, and asserts that it runs only once.
async fn assert_single_run_after_lost_response(
    cluster: &Cluster,
    backends: &[FakeBackend],
    request: &CallerRequest,
    (entry, others): (&str, [&str; 2]),
    interrupt: impl FnOnce(&Daemon),
) {
    let is_started = async || (total_run_count(backends, &request.path) > 0).then_some(());
    tokio::select! {
        response = request.send(&cluster[entry]) => panic!("the run is blocked: {response:?}"),
        () = wait_until("the run starts", is_started) => interrupt(&cluster[entry]),
    }
    let resent = others.map(|node| request.send(&cluster[node]));
    let [first, second] = resent;
    let release = async {
        for backend in backends {
            backend.release(&request.path);
        }
    };
    let (first, second, ()) = tokio::join!(first, second, release);
    for response in [first.unwrap(), second.unwrap()] {
        assert_eq!(response.outcome, "answered", "{response:?}");
        assert!(response.text.ends_with(&format!("ran {}", request.path)), "{response:?}");
    }
    let repeated = request.send(&cluster[others[0]]).await.unwrap();
    assert_eq!(repeated.outcome, "answered", "{repeated:?}");
    assert_eq!(total_run_count(backends, &request.path), 1, "number of runs of one key");
}

/// Guards against a second run of a key whose caller closed its connection during the first run.
#[tokio::test]
async fn a_key_runs_once_when_its_caller_disconnects() {
    let (cluster, backends) = start_cluster_with_backends().await;
    let nodes = ("plain-3", ["replica-1", "plain-1"]);
    let issued = issued_key(&cluster["plain-3"]).await;
    let request = CallerRequest::weigh_in("/weigh/held/issued", &issued);
    assert_single_run_after_lost_response(&cluster, &backends, &request, nodes, |_| ()).await;
    let request = CallerRequest::weigh_in("/weigh/held/foreign", "the caller's own key");
    assert_single_run_after_lost_response(&cluster, &backends, &request, nodes, |_| ()).await;
}

/// Guards against a second run of a key whose entry node was killed during the first run.
#[tokio::test]
async fn a_key_runs_once_when_its_entry_node_is_killed() {
    let (cluster, backends) = start_cluster_with_backends().await;
    let nodes = ("plain-3", ["replica-1", "plain-2"]);
    let issued = issued_key(&cluster["plain-3"]).await;
    let request = CallerRequest::weigh_in("/weigh/held/issued", &issued);
    let kill_entry = |entry: &Daemon| entry.signal(Signal::KILL);
    assert_single_run_after_lost_response(&cluster, &backends, &request, nodes, kill_entry).await;
}

/// Guards against a second run of a foreign key that two nodes receive at the same time.
#[tokio::test]
async fn a_foreign_key_runs_once_through_two_nodes() {
    let (cluster, backends) = start_cluster_with_backends().await;
    for index in 0..10 {
        let path = format!("/weigh/{index}");
        let request = CallerRequest::weigh_in(&path, &format!("key {index} of the caller"));
        let (first, second) =
            tokio::join!(request.send(&cluster["replica-1"]), request.send(&cluster["plain-3"]));
        let (first, second) = (first.unwrap(), second.unwrap());
        assert_eq!((first.outcome.as_str(), second.outcome.as_str()), ("answered", "answered"));
        assert_eq!(first.text, second.text);
        assert_eq!(total_run_count(&backends, &path), 1, "number of runs of key {index}");
    }
}

/// Guards against a second run of a key whose owner has lost the record of the first run in a
/// restart, and against a response that claims that there was no run.
#[tokio::test]
async fn a_key_of_a_restarted_owner_is_unknown_and_never_runs() {
    let (mut cluster, backends) = start_cluster_with_backends().await;
    let issued = issued_key(&cluster["plain-3"]).await;
    let keys = [("/weigh/issued", issued.as_str()), ("/weigh/foreign", "the caller's own key")];
    let requests = keys.map(|(path, key)| CallerRequest::weigh_in(path, key));
    for request in &requests {
        let response = request.send(&cluster["plain-3"]).await.unwrap();
        assert_eq!(response.outcome, "answered", "{response:?}");
    }
    for name in ["plain-1", "plain-2"] {
        cluster[name].kill();
        cluster[name].start();
    }
    for node in &cluster.nodes {
        wait_until_ready(&cluster, node).await;
    }
    for request in &requests {
        for node in &cluster.nodes {
            let response = request.send(node).await.unwrap();
            assert_eq!(response.outcome, "unknown", "through {}: {response:?}", node.name);
        }
        assert_eq!(total_run_count(&backends, &request.path), 1, "number of runs of {request:?}");
    }
}

/// Guards against the outcome `not-run` for a key that did run, while its owner has failed but the
/// other nodes have not detected that yet. The caller would resend the request with a new key, and
/// it would run twice.
#[tokio::test]
async fn a_key_that_ran_is_never_reported_as_not_run() {
    let (mut cluster, backends) = start_cluster_with_backends().await;
    let issued = issued_key(&cluster["plain-3"]).await;
    let request = CallerRequest::weigh_in("/weigh/once", &issued);
    let response = request.send(&cluster["plain-3"]).await.unwrap();
    assert_eq!(response.outcome, "answered", "{response:?}");
    let owner = backends.iter().find(|backend| backend.run_count("/weigh/once") > 0).unwrap();
    cluster[&*owner.name].kill();
    for node in cluster.running_nodes() {
        let response = request.send(node).await.unwrap();
        assert_eq!(response.outcome, "unknown", "through {}: {response:?}", node.name);
    }
    assert_eq!(total_run_count(&backends, "/weigh/once"), 1);
}
