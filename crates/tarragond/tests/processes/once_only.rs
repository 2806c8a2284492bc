//! Keyed non-idempotent calls whose answer is lost.

use rustix::process::Signal;
use tarragon_model::member::BackendState;

use crate::support::issued_key;
use crate::support::until;
use crate::support::Backend;
use crate::support::Call;
use crate::support::Cluster;
use crate::support::Daemon;

const NODES: [&str; 4] = ["replica-1", "plain-1", "plain-2", "plain-3"];

/// A deployment with backend servers at `plain-1` and `plain-2`, known and ready everywhere.
async fn start() -> (Cluster, [Backend; 2]) {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let backends = [
        Backend::start("plain-1", &cluster["plain-1"]).await,
        Backend::start("plain-2", &cluster["plain-2"]).await,
    ];
    for node in &cluster.nodes {
        until_ready(&cluster, node).await;
    }
    (cluster, backends)
}

/// Waits until a node knows two ready backend servers and no earlier lives of nodes, and has calls
/// answered with and without a connection that must be proven.
async fn until_ready(cluster: &Cluster, node: &Daemon) {
    let is_ready = async || {
        let members = cluster.operator.members(node).await?;
        let ready = members.iter().filter(|m| m.state == BackendState::Ready).count();
        let view = Call::view("/warm").send(node).await.ok()?;
        let weighed = Call { key: None, ..Call::weigh("/weigh/warm", "") }.send(node).await.ok()?;
        let is_answered = view.outcome == "answered" && weighed.outcome == "answered";
        (ready == 2 && members.len() == NODES.len() && is_answered).then_some(())
    };
    until(&format!("{} sees two ready servers", node.name), is_ready).await;
}

fn runs(backends: &[Backend], path: &str) -> usize {
    backends.iter().map(|backend| backend.runs(path)).sum()
}

/// Sends a held call through an entry and loses its answer by `lose`, then sends it again through
/// two other nodes, both during the run.
async fn lose_answer(
    cluster: &Cluster,
    backends: &[Backend],
    weigh: &Call,
    (entry, others): (&str, [&str; 2]),
    lose: impl FnOnce(&Daemon),
) {
    let started = async || (runs(backends, &weigh.path) > 0).then_some(());
    tokio::select! {
        reply = weigh.send(&cluster[entry]) => panic!("the run is held, but gave {reply:?}"),
        () = until("the run starts", started) => lose(&cluster[entry]),
    }
    let again = others.map(|node| weigh.send(&cluster[node]));
    let [left, right] = again;
    let release = async {
        for backend in backends {
            backend.release(&weigh.path);
        }
    };
    let (left, right, ()) = tokio::join!(left, right, release);
    for reply in [left.unwrap(), right.unwrap()] {
        assert_eq!(reply.outcome, "answered", "{reply:?}");
        assert!(reply.text.ends_with(&format!("ran {}", weigh.path)), "{reply:?}");
    }
    let after = weigh.send(&cluster[others[0]]).await.unwrap();
    assert_eq!(after.outcome, "answered", "{after:?}");
    assert_eq!(runs(backends, &weigh.path), 1, "runs of one key");
}

/// Guards against a second run of a key whose caller hung up during the first.
#[tokio::test]
async fn a_key_runs_once_when_its_caller_hangs_up() {
    let (cluster, backends) = start().await;
    let nodes = ("plain-3", ["replica-1", "plain-1"]);
    let issued = issued_key(&cluster["plain-3"]).await;
    let weigh = Call::weigh("/weigh/held/issued", &issued);
    lose_answer(&cluster, &backends, &weigh, nodes, |_| ()).await;
    let weigh = Call::weigh("/weigh/held/foreign", "the caller's own key");
    lose_answer(&cluster, &backends, &weigh, nodes, |_| ()).await;
}

/// Guards against a second run of a key whose entry was killed during the first.
#[tokio::test]
async fn a_key_runs_once_when_its_entry_is_killed() {
    let (cluster, backends) = start().await;
    let nodes = ("plain-3", ["replica-1", "plain-2"]);
    let issued = issued_key(&cluster["plain-3"]).await;
    let weigh = Call::weigh("/weigh/held/issued", &issued);
    let kill = |entry: &Daemon| entry.signal(Signal::KILL);
    lose_answer(&cluster, &backends, &weigh, nodes, kill).await;
}

/// Guards against a second run of a foreign key that arrives at two nodes at the same time.
#[tokio::test]
async fn a_foreign_key_runs_once_through_two_nodes() {
    let (cluster, backends) = start().await;
    for at in 0..10 {
        let path = format!("/weigh/{at}");
        let weigh = Call::weigh(&path, &format!("key {at} of the caller"));
        let (left, right) =
            tokio::join!(weigh.send(&cluster["replica-1"]), weigh.send(&cluster["plain-3"]));
        let (left, right) = (left.unwrap(), right.unwrap());
        assert_eq!((left.outcome.as_str(), right.outcome.as_str()), ("answered", "answered"));
        assert_eq!(left.text, right.text);
        assert_eq!(runs(&backends, &path), 1, "runs of key {at}");
    }
}

/// Guards against a second run of a key whose owner has forgotten the first, and against an answer
/// that lets the caller believe that there was none.
#[tokio::test]
async fn a_key_of_a_restarted_owner_is_unknown_and_never_runs() {
    let (mut cluster, backends) = start().await;
    let issued = issued_key(&cluster["plain-3"]).await;
    let keys = [("/weigh/issued", issued.as_str()), ("/weigh/foreign", "the caller's own key")];
    let calls = keys.map(|(path, key)| Call::weigh(path, key));
    for weigh in &calls {
        let reply = weigh.send(&cluster["plain-3"]).await.unwrap();
        assert_eq!(reply.outcome, "answered", "{reply:?}");
    }
    for name in ["plain-1", "plain-2"] {
        cluster[name].kill();
        cluster[name].start();
    }
    for node in &cluster.nodes {
        until_ready(&cluster, node).await;
    }
    for weigh in &calls {
        for node in &cluster.nodes {
            let reply = weigh.send(node).await.unwrap();
            assert_eq!(reply.outcome, "unknown", "through {}: {reply:?}", node.name);
        }
        assert_eq!(runs(&backends, &weigh.path), 1, "runs of {weigh:?}");
    }
}

/// Guards against `not-run` for a key that did run, at the time when its owner is dead but not yet
/// known to be. The caller would take a new key and run the request twice.
#[tokio::test]
async fn a_key_that_ran_is_never_reported_as_not_run() {
    let (mut cluster, backends) = start().await;
    let issued = issued_key(&cluster["plain-3"]).await;
    let weigh = Call::weigh("/weigh/once", &issued);
    let reply = weigh.send(&cluster["plain-3"]).await.unwrap();
    assert_eq!(reply.outcome, "answered", "{reply:?}");
    let owner = backends.iter().find(|backend| backend.runs("/weigh/once") > 0).unwrap();
    cluster[&*owner.name].kill();
    for node in cluster.running() {
        let reply = weigh.send(node).await.unwrap();
        assert_eq!(reply.outcome, "unknown", "through {}: {reply:?}", node.name);
    }
    assert_eq!(runs(&backends, "/weigh/once"), 1);
}
