//! What backend servers say about themselves in their responses: a limit on requests, or that they
//! are leaving.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tarragon_model::member::BackendState;

use crate::routed::configured_cluster;
use crate::routed::send;
use crate::routed::wait_until_routed;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;

/// Limit that the backend server names, in requests per second.
const LIMIT_PER_S: usize = 5;

/// Most requests that may reach that server within 4 s: one and a half times the limit, and 5 more.
const MAX_REQUESTS_IN_4_S: usize = LIMIT_PER_S * 4 * 3 / 2 + 5;

/// Requests sent at about the same time, far more than the limit allows.
const BURST: usize = 3 * MAX_REQUESTS_IN_4_S;

/// Backend server that sends a header with each response, after 50 ms.
async fn start_backend(name: &'static str, value: &'static str) -> FakeBackend {
    FakeBackend::start(move |request| async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut response = text_response("weighed");
        let map = response.headers_mut();
        map.insert("x-id", request.headers().get("x-id").cloned().unwrap());
        map.insert(name, HeaderValue::from_static(value));
        response
    })
    .await
}

fn cluster_with_slots() -> Cluster {
    let mut cluster = configured_cluster();
    cluster.uses_slots = true;
    cluster
}

/// Starts a node with a backend server that has a slot for each request and never says in an
/// announcement that it leaves.
async fn start_server_node(cluster: &Cluster, backend: &FakeBackend) -> Node {
    let node = cluster.start_node("server", Some(backend.address)).await;
    node.set_status(|status| {
        status.slots = u32::try_from(2 * BURST).unwrap();
        status.started_at_ms = Some(1);
    });
    node
}

async fn restart(cluster: &Cluster, node: Node, backend: &FakeBackend) -> Node {
    cluster.remove(node.instance);
    node.stop().await;
    start_server_node(cluster, backend).await
}

/// Sends many requests at once, which wait for no more than a moment at the gate.
async fn send_burst(node: &Arc<Node>) {
    let send_one = || {
        let node = Arc::clone(node);
        tokio::spawn(async move { send(&node, "/brief/7").await })
    };
    let requests: Vec<_> = (0..BURST).map(|_| send_one()).collect();
    for request in requests {
        request.await.unwrap();
    }
}

/// Sends one request to a server that sends this header, restarts its gate if asked to, and sends a
/// burst. Returns how many requests of the burst reached the server.
async fn count_burst(name: &'static str, value: &'static str, is_restarted: bool) -> usize {
    let backend = start_backend(name, value).await;
    let cluster = cluster_with_slots();
    let mut server = start_server_node(&cluster, &backend).await;
    let entry = Arc::new(cluster.start_node("entry", None).await);
    wait_until_routed(&entry).await;
    if is_restarted {
        server = restart(&cluster, server, &backend).await;
    }
    let before = backend.count();
    send_burst(&entry).await;
    let count = backend.count() - before;
    server.stop().await;
    count
}

#[tokio::test]
async fn a_server_gets_no_more_requests_than_the_limit_it_names() {
    let count = count_burst("x-limit", "5", false).await;
    assert!(count <= MAX_REQUESTS_IN_4_S, "{count} requests reached the server");
}

#[tokio::test]
async fn a_restarted_gate_keeps_the_limit_that_other_nodes_know() {
    let count = count_burst("x-limit", "5", true).await;
    assert!(count <= MAX_REQUESTS_IN_4_S, "{count} requests reached the server");
}

#[tokio::test]
async fn a_server_that_says_it_is_leaving_gets_no_more_requests() {
    assert_eq!(count_burst("x-leaving", "1", false).await, 0);
}

#[tokio::test]
async fn a_restarted_gate_sends_nothing_to_a_server_that_other_nodes_know_to_be_leaving() {
    assert_eq!(count_burst("x-leaving", "1", true).await, 0);
}

/// Guards against requests to a server whose departure was acknowledged by its node before that was
/// restarted. The restarted node hears of an earlier, late announcement only.
#[tokio::test]
async fn a_restarted_gate_sends_nothing_to_a_server_that_had_announced_its_departure() {
    let backend = start_backend("x-other", "1").await;
    let mut cluster = cluster_with_slots();
    cluster.settings.heartbeat_interval_ms = 20;
    let server = start_server_node(&cluster, &backend).await;
    let entry = Arc::new(cluster.start_node("entry", None).await);
    wait_until_routed(&entry).await;
    server.set_status(|status| {
        status.is_leaving = true;
        status.state = BackendState::Draining;
    });
    // The entry hears of it with the next heartbeats.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let server = restart(&cluster, server, &backend).await;
    let before = backend.count();
    send_burst(&entry).await;
    assert_eq!(backend.count() - before, 0);
    server.stop().await;
}

#[tokio::test]
async fn other_nodes_hear_that_a_server_says_it_is_leaving() {
    let backend = start_backend("x-leaving", "1").await;
    let cluster = cluster_with_slots();
    let server = start_server_node(&cluster, &backend).await;
    server.set_status(|status| status.server_id = Some("s-1".into()));
    let entry = cluster.start_node("entry", None).await;
    wait_until_routed(&entry).await;
    assert_eq!(server.backend_state(), BackendState::Draining);
}

/// Guards against keeping a server out of use that was started again after it had left.
#[tokio::test]
async fn a_later_start_of_a_server_that_left_gets_requests() {
    let backend = start_backend("x-leaving", "1").await;
    let cluster = cluster_with_slots();
    let server = start_server_node(&cluster, &backend).await;
    let entry = Arc::new(cluster.start_node("entry", None).await);
    wait_until_routed(&entry).await;
    server.set_status(|status| status.started_at_ms = Some(2));
    let before = backend.count();
    assert_eq!(send(&entry, "/one/7").await.status.as_u16(), 200);
    assert_eq!(backend.count(), before + 1);
}
