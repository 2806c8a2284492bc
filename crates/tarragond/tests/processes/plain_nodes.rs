//! One control replica and two plain nodes with backend servers: a node dies, a node stops.

use rustix::process::Signal;
use serde_json::json;
use tarragon_model::member::BackendState;

use crate::support::call;
use crate::support::until;
use crate::support::Backend;
use crate::support::Call;
use crate::support::Cluster;

/// Calls that are sent after a failure, enough to reach every server with certainty.
const CALLS: usize = 40;

async fn until_ready(cluster: &Cluster, entry: &str, servers: usize) {
    let entry = &cluster[entry];
    let is_ready = async || {
        let members = cluster.operator.members(entry).await?;
        let ready = members.iter().filter(|m| m.state == BackendState::Ready).count();
        let reply = Call::view("/warm").send(entry).await.ok()?;
        (ready == servers && reply.outcome == "answered").then_some(())
    };
    until("all servers are ready and the entry serves callers", is_ready).await;
}

/// Guards against calls that fail because the entry goes on using a node that was killed.
#[tokio::test]
async fn calls_go_elsewhere_when_a_node_is_killed() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster.start().await;
    let _first = Backend::start("first", &cluster["plain-1"]).await;
    let second = Backend::start("second", &cluster["plain-2"]).await;
    until_ready(&cluster, "replica-1", 2).await;
    let through_other = call(&cluster["plain-1"], "/rows").await;
    assert!(through_other.text.ends_with("ran /rows"), "{through_other:?}");
    cluster["plain-1"].kill();
    for at in 0..CALLS {
        let path = format!("/after/{at}");
        assert_eq!(call(&cluster["replica-1"], &path).await.text, format!("second ran {path}"));
        assert!(second.runs(&path) >= 1);
    }
}

/// Guards against a stop that cuts a request short, takes new work or ends with a failure.
#[tokio::test]
async fn sigterm_lets_requests_end_and_takes_no_new_work() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster.start().await;
    let backends = [
        Backend::start("plain-1", &cluster["plain-1"]).await,
        Backend::start("plain-2", &cluster["plain-2"]).await,
    ];
    until_ready(&cluster, "replica-1", 2).await;
    let (stopping, other) = {
        let entry = &cluster["replica-1"];
        let held = Call::view("/held");
        let held = held.send(entry);
        let check = async {
            let started = async || backends.iter().position(|b| b.runs("/held") > 0);
            let at = until("the long request runs", started).await;
            let (stopping, other) = (&cluster[&*backends[at].name], &backends[1 - at]);
            stopping.signal(Signal::TERM);
            let is_draining = async || {
                let members = cluster.operator.members(entry).await?;
                let state = members.iter().find(|m| m.node == stopping.name)?.state;
                (state == BackendState::Draining).then_some(())
            };
            until("the drain is known", is_draining).await;
            for at in 0..CALLS {
                let path = format!("/during/{at}");
                let expected = format!("{} ran {path}", other.name);
                assert_eq!(call(entry, &path).await.text, expected);
            }
            backends[at].release("/held");
            (stopping.name.clone(), other.name.clone())
        };
        let (reply, names) = tokio::join!(held, check);
        let reply = reply.unwrap();
        assert_eq!(reply.outcome, "answered");
        assert_eq!(reply.text, format!("{} ran /held", names.0));
        names
    };
    let status = cluster[&*stopping].exit().await;
    assert_eq!(status.code(), Some(0), "exit code of a node stopped with SIGTERM");
    let after = call(&cluster["replica-1"], "/after").await;
    assert_eq!(after.text, format!("{other} ran /after"));
}

/// Guards against a healthy backend server that gets no work while its node waits for callers to leave: it
/// may be the only one.
#[tokio::test]
async fn a_stopping_node_serves_its_backend_server_until_others_are_told() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1"]);
    // Longer than the calls below take on a busy machine.
    let limits = json!({ "drain_notice_ms": 60_000, "gate_notice_ms": 500 });
    cluster["plain-1"].settings["limits"] = limits;
    cluster.start().await;
    let _backend = Backend::start("only", &cluster["plain-1"]).await;
    until_ready(&cluster, "replica-1", 1).await;
    cluster["plain-1"].signal(Signal::TERM);
    let is_stopping = async || cluster["plain-1"].log().contains("stop requested").then_some(());
    until("the stop is noticed", is_stopping).await;
    for at in 0..CALLS {
        let path = format!("/during/{at}");
        assert_eq!(call(&cluster["replica-1"], &path).await.text, format!("only ran {path}"));
    }
}
