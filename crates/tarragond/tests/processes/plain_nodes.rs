//! One control replica and up to two nodes with backend servers, one of which is killed or stopped.

use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use serde_json::json;
use serde_json::Value;
use tarragon_model::member::BackendState;

use crate::support::send_view;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::FakeBackend;

/// Number of requests that are sent after a failure, enough to reach every routable backend server.
const REQUESTS: usize = 40;

/// Waits until an entry node lists this number of ready backend servers and serves callers.
async fn wait_until_ready(cluster: &Cluster, entry: &str, backend_count: usize) {
    let entry = &cluster[entry];
    let is_ready = async || {
        let members = cluster.operator.members(entry).await?;
        let ready = members.iter().filter(|member| member.state == BackendState::Ready).count();
        let response = CallerRequest::view("/warm").send(entry).await.ok()?;
        (ready == backend_count && response.outcome == "answered").then_some(())
    };
    wait_until("all backend servers are ready and the entry node serves callers", is_ready).await;
}

/// Guards against requests that fail because the entry node still routes them to a killed node.
#[tokio::test]
async fn requests_are_routed_around_a_killed_node() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster.start().await;
    let _first = FakeBackend::start("first", &cluster["plain-1"]).await;
    let second = FakeBackend::start("second", &cluster["plain-2"]).await;
    wait_until_ready(&cluster, "replica-1", 2).await;
    let response = send_view(&cluster["plain-1"], "/rows").await;
    assert!(response.text.ends_with("ran /rows"), "{response:?}");
    cluster["plain-1"].kill();
    for index in 0..REQUESTS {
        let path = format!("/after/{index}");
        assert_eq!(
            send_view(&cluster["replica-1"], &path).await.text,
            format!("second ran {path}")
        );
        assert!(second.run_count(&path) >= 1);
    }
}

/// Guards against a stopping node that aborts a request, accepts new requests or exits with an
/// error.
#[tokio::test]
async fn a_node_drains_on_sigterm() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster.start().await;
    let backends = [
        FakeBackend::start("plain-1", &cluster["plain-1"]).await,
        FakeBackend::start("plain-2", &cluster["plain-2"]).await,
    ];
    wait_until_ready(&cluster, "replica-1", 2).await;
    let (stopping, other) = {
        let entry = &cluster["replica-1"];
        let blocked_request = CallerRequest::view("/held");
        let blocked = blocked_request.send(entry);
        let drain = async {
            let started =
                async || backends.iter().position(|backend| backend.run_count("/held") > 0);
            let index = wait_until("the blocked request runs", started).await;
            let (stopping, other) = (&cluster[&*backends[index].name], &backends[1 - index]);
            stopping.signal(Signal::TERM);
            let is_draining = async || {
                let members = cluster.operator.members(entry).await?;
                let state = members.iter().find(|member| member.node == stopping.name)?.state;
                (state == BackendState::Draining).then_some(())
            };
            wait_until("the entry node lists the stopping node as draining", is_draining).await;
            for request_index in 0..REQUESTS {
                let path = format!("/during/{request_index}");
                let expected = format!("{} ran {path}", other.name);
                assert_eq!(send_view(entry, &path).await.text, expected);
            }
            backends[index].release("/held");
            (stopping.name.clone(), other.name.clone())
        };
        let (response, names) = tokio::join!(blocked, drain);
        let response = response.unwrap();
        assert_eq!(response.outcome, "answered");
        assert_eq!(response.text, format!("{} ran /held", names.0));
        names
    };
    let status = cluster[&*stopping].wait_for_exit().await;
    assert_eq!(status.code(), Some(0), "exit code of a node stopped with SIGTERM");
    let response = send_view(&cluster["replica-1"], "/after").await;
    assert_eq!(response.text, format!("{other} ran /after"));
}

/// Guards against a healthy backend server that gets no requests while its stopping node waits for
/// callers to switch to other nodes. It may be the only backend server of its service.
#[tokio::test]
async fn a_stopping_node_serves_its_backend_server_until_the_drain_is_announced() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1"]);
    // The notice lasts longer than the requests below take on a busy machine.
    let limits = json!({ "drain_notice_ms": 60_000, "gate_notice_ms": 500 });
    cluster["plain-1"].settings["limits"] = limits;
    cluster.start().await;
    let _backend = FakeBackend::start("only", &cluster["plain-1"]).await;
    wait_until_ready(&cluster, "replica-1", 1).await;
    cluster["plain-1"].signal(Signal::TERM);
    let is_stopping =
        async || cluster["plain-1"].read_log().contains("stop requested").then_some(());
    wait_until("the node logs the stop", is_stopping).await;
    for index in 0..REQUESTS {
        let path = format!("/during/{index}");
        assert_eq!(send_view(&cluster["replica-1"], &path).await.text, format!("only ran {path}"));
    }
}

/// Time within which a node that is alone announces its backend server, far below the time for which
/// it would try to ask others.
const ALONE_TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against a node that waits for others although its settings name only itself.
#[tokio::test]
async fn a_node_that_is_alone_announces_its_backend_server_at_once() {
    let mut cluster = Cluster::new(&["replica-1"]);
    cluster.start().await;
    let _backend = FakeBackend::start("alone", &cluster["replica-1"]).await;
    let ready = wait_until_ready(&cluster, "replica-1", 1);
    assert!(tokio::time::timeout(ALONE_TIMEOUT, ready).await.is_ok());
}

/// Guards against a server that operators drain and that gets requests again because the process of its
/// node was killed, and against one that stays drained after they ended the drain.
#[tokio::test]
async fn a_drain_outlives_the_process_that_acknowledged_it() {
    let mut cluster = Cluster::new(&["replica-1", "plain-1", "plain-2"]);
    cluster.start().await;
    let first = FakeBackend::start("first", &cluster["plain-1"]).await;
    let _second = FakeBackend::start("second", &cluster["plain-2"]).await;
    wait_until_ready(&cluster, "replica-1", 2).await;
    let drained = &cluster["plain-1"];
    let order = cluster.operator.send(drained, Method::POST, "/v1/drain", &json!({})).await;
    assert!(order.is_some_and(|response| response.status.is_success()));
    cluster["plain-1"].kill();
    cluster["plain-1"].start();
    let is_announced = async || {
        let status = cluster.operator.status(&cluster["plain-1"]).await?;
        (status.backend.state != BackendState::Absent).then_some(status.backend.state)
    };
    let state = wait_until("the server is announced again", is_announced).await;
    assert_eq!(state, BackendState::Draining);
    for index in 0..REQUESTS {
        let path = format!("/drained/{index}");
        let response = send_view(&cluster["replica-1"], &path).await;
        assert_eq!(response.text, format!("second ran {path}"));
        assert_eq!(first.run_count(&path), 0);
    }
    let drained = &cluster["plain-1"];
    let order = cluster.operator.send(drained, Method::DELETE, "/v1/drain", &Value::Null).await;
    assert!(order.is_some_and(|response| response.status.is_success()));
    cluster["plain-1"].kill();
    cluster["plain-1"].start();
    wait_until_ready(&cluster, "replica-1", 2).await;
}
