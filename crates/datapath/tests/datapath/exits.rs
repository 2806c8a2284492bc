//! Calls that backend servers make to other services through the exit listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use tarragon_datapath::transport::empty;

use crate::calls::wait_until_answered;
use crate::support::request;
use crate::support::send;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;

/// Backend server that, for paths that start with `/call`, calls its own service with the rest of
/// the path, with or without the context headers. It responds with the reason and the body that it
/// got from that call.
async fn start_calling_backend(exit: Arc<OnceLock<SocketAddr>>) -> FakeBackend {
    FakeBackend::start(move |incoming| {
        let exit = Arc::clone(&exit);
        async move {
            let Some(next) = incoming.uri().path().strip_prefix("/call") else {
                return text_response("leaf");
            };
            let next = next.to_string();
            let mut call = Request::builder().uri(&next).header("host", "counter");
            if incoming.uri().query() != Some("unlinked") {
                for (name, value) in incoming.headers() {
                    if name.as_str().starts_with("tarragon-") {
                        call = call.header(name, value);
                    }
                }
            }
            let response = send(*exit.get().unwrap(), call.body(empty()).unwrap()).await.unwrap();
            let reason = response.headers().get("tarragon-reason").cloned();
            let body = response.into_body().collect().await.unwrap().to_bytes();
            let reason =
                reason.map_or(String::new(), |reason| reason.to_str().unwrap().to_string());
            text_response(format!("{reason}{}", String::from_utf8_lossy(&body)))
        }
    })
    .await
}

/// Starts a node in front of a backend server and gives the server the exit address of the node.
async fn start_owner_with_exit(
    cluster: &Cluster,
    backend: &FakeBackend,
    exit: &OnceLock<SocketAddr>,
) -> Node {
    let owner = cluster.start_node("owner", Some(backend.address)).await;
    exit.set(owner.exit).unwrap();
    wait_until_answered(&owner).await;
    owner
}

/// Guards against hops of a call tree that differ in request id or importance or extend the
/// deadline, and against linking a call without context headers to a request in progress.
#[tokio::test]
async fn a_call_through_the_exit_keeps_its_context_and_is_unlinked_without_it() {
    let exit = Arc::new(OnceLock::new());
    let backend = start_calling_backend(Arc::clone(&exit)).await;
    let cluster = Cluster::new();
    let owner = start_owner_with_exit(&cluster, &backend, &exit).await;
    let headers = [("tarragon-deadline-ms", "9000")];
    let reply = request(owner.caller, "GET", "/call/leaf", &headers, "").await;
    assert_eq!((reply.outcome(), reply.text().as_str()), ("answered", "leaf"));
    let seen = backend.requests();
    let [.., (_, parent), (path, child)] = seen.as_slice() else {
        panic!("fewer than two hops: {seen:?}")
    };
    assert_eq!(path, "/leaf");
    for name in ["tarragon-request-id", "tarragon-importance"] {
        assert_eq!(parent[name], child[name], "{name}");
    }
    let number = |value: &http::HeaderValue| value.to_str().unwrap().parse::<u64>().unwrap();
    assert!(number(&child["tarragon-deadline-ms"]) <= number(&parent["tarragon-deadline-ms"]));
    assert_eq!(number(&child["tarragon-depth"]), number(&parent["tarragon-depth"]) + 1);
    assert_ne!(parent["tarragon-span"], child["tarragon-span"]);

    let reply = request(owner.caller, "GET", "/call/leaf?unlinked", &headers, "").await;
    assert_eq!(reply.text(), "leaf");
    let seen = backend.requests();
    let [.., (_, parent), (_, child)] = seen.as_slice() else {
        panic!("fewer than two hops: {seen:?}")
    };
    assert_ne!(parent["tarragon-request-id"], child["tarragon-request-id"]);
    assert_eq!(child["tarragon-importance"], "2");
    assert_eq!(owner.metrics.read("exit.unlinked"), 1);
}

/// Guards against a call cycle that never ends.
#[tokio::test]
async fn a_chain_deeper_than_the_limit_is_refused() {
    let exit = Arc::new(OnceLock::new());
    let backend = start_calling_backend(Arc::clone(&exit)).await;
    let cluster = Cluster::new();
    let owner = start_owner_with_exit(&cluster, &backend, &exit).await;
    let before = backend.count();
    let path = format!("{}/leaf", "/call".repeat(40));
    let reply = request(owner.caller, "GET", &path, &[], "").await;
    assert!(reply.text().starts_with("too-deep"), "{reply:?}");
    assert_eq!(backend.count() - before, 33);
}

/// Guards against a failed request that is not counted as caused by a refused call although the
/// call that it made was refused for overload. From this count a gate limits the kinds of requests
/// whose calls are refused.
#[tokio::test]
async fn a_run_that_fails_after_a_refused_call_is_counted_separately() {
    let exit = Arc::new(OnceLock::<SocketAddr>::new());
    let known = Arc::clone(&exit);
    let backend = FakeBackend::start(move |incoming| {
        let exit = Arc::clone(&known);
        async move {
            if incoming.uri().path() != "/call" {
                return text_response("leaf");
            }
            let mut call = Request::builder().uri("/leaf").header("host", "counter");
            for name in ["tarragon-span", "tarragon-request-id"] {
                call = call.header(name, incoming.headers()[name].clone());
            }
            // The request that makes the call occupies the only slot, so the call waits until its
            // deadline and is refused.
            let call = call.header("tarragon-deadline-ms", "50").body(empty()).unwrap();
            let call_response = send(*exit.get().unwrap(), call).await.unwrap();
            let mut response = text_response("");
            if !call_response.status().is_success() {
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
            response
        }
    })
    .await;
    let mut cluster = Cluster::new();
    cluster.concurrency_limit = 1;
    let owner = start_owner_with_exit(&cluster, &backend, &exit).await;
    let reply = request(owner.caller, "GET", "/call", &[], "").await;
    assert_eq!((reply.outcome(), reply.status.as_u16()), ("answered", 500));
    assert_eq!(owner.metrics.read("gate.call_refused"), 1);
}
