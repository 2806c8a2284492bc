//! Peers that stand still for a while with requests in progress: what they send later is not lost.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::stream;
use futures_util::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::BoxError;
use tokio::sync::Notify;

use crate::calls::wait_until_answered;
use crate::lost::cluster_with_short_heartbeats;
use crate::lost::node_behind_relay;
use crate::support::request;
use crate::support::send;
use crate::support::text_response;
use crate::support::Cluster;
use crate::support::FakeBackend;
use crate::support::Node;
use crate::support::Relay;

/// Pause of a peer, twice the heartbeat timeout of [`cluster_with_short_heartbeats`].
const PAUSE: Duration = Duration::from_millis(400);

/// Number and size of the pieces in which bodies are sent.
const PIECES: usize = 10;
const PIECE_BYTES: usize = 30_000;

/// Pause of a peer while the node whose answer it is about to read stops.
const STOP_PAUSE: Duration = Duration::from_millis(1_600);

/// Size of the last answer of a node that stops, less than the receive window of a stream.
const STOP_ANSWER_BYTES: usize = 200_000;

/// Time after a deadline within which a caller hears that it has passed, also on a busy machine.
const DEADLINE_BOUND: Duration = Duration::from_secs(5);

/// Body in pieces, with this much time before each but the first.
fn body_in_pieces(pause: Duration) -> Body {
    let pieces = stream::iter(0..PIECES).then(move |number| async move {
        if number > 0 {
            tokio::time::sleep(pause).await;
        }
        let piece = Bytes::from(vec![u8::try_from(number).unwrap(); PIECE_BYTES]);
        Ok::<_, Infallible>(Frame::data(piece))
    });
    StreamBody::new(pieces).map_err(BoxError::from).boxed_unsync()
}

/// Starts a backend server that runs each POST request for a while and answers it in pieces. Also returns
/// what it notifies when it begins to run one.
async fn start_running_backend(
    run_time: Duration,
    piece_pause: Duration,
) -> (FakeBackend, Arc<Notify>) {
    let started = Arc::new(Notify::new());
    let notify_start = Arc::clone(&started);
    let backend = FakeBackend::start(move |request| {
        let notify_start = Arc::clone(&notify_start);
        async move {
            if request.method() != "POST" {
                return text_response("seen");
            }
            notify_start.notify_one();
            tokio::time::sleep(run_time).await;
            http::Response::new(body_in_pieces(piece_pause))
        }
    })
    .await;
    (backend, started)
}

async fn start_nodes(backend: &FakeBackend) -> (Cluster, Node, Relay, Node) {
    let cluster = cluster_with_short_heartbeats();
    let (owner, relay) = node_behind_relay(&cluster, backend).await;
    let entry = cluster.start_node("entry", None).await;
    wait_until_answered(&entry).await;
    (cluster, owner, relay, entry)
}

/// Guards against answers of requests that may run once which are given up, or cut off in their bodies,
/// because the peer was paused while it ran them, even if the run goes on for longer than the heartbeat
/// timeout afterwards.
#[tokio::test]
async fn answers_of_a_peer_that_was_paused_twice_are_whole() {
    let (backend, started) = start_running_backend(PAUSE * 3, Duration::from_millis(20)).await;
    let (_cluster, _owner, relay, entry) = start_nodes(&backend).await;
    let before = backend.count();
    let running = join_all((0..8).map(|_| request(entry.caller, "POST", "/weigh", &[], "12 kg")));
    let pauses = async {
        started.notified().await;
        for _ in 0..2 {
            relay.set_paused(true);
            tokio::time::sleep(PAUSE).await;
            relay.set_paused(false);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    };
    let (replies, ()) = tokio::join!(running, pauses);
    for reply in replies {
        assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
        let length = reply.body.map(|body| body.len());
        assert_eq!(length, Ok(PIECES * PIECE_BYTES));
    }
    assert_eq!(backend.count(), before + 8);
    assert!(entry.metrics.read("route.connection_lost") >= 1, "the connection was not silent");
}

/// Guards against an answer that is cut off in its body because the peer was paused, also for a request
/// that could run again: a caller has seen the head already.
#[tokio::test]
async fn an_answer_that_has_begun_goes_on_after_a_pause_of_the_peer() {
    let backend = FakeBackend::start(|request| async move {
        if request.uri().path() != "/rows" {
            return text_response("seen");
        }
        http::Response::new(body_in_pieces(Duration::from_millis(50)))
    })
    .await;
    let (_cluster, _owner, relay, entry) = start_nodes(&backend).await;
    let rows = Request::get("/rows").header("host", "counter.test");
    let rows = rows.body(tarragon_datapath::transport::empty()).unwrap();
    let response = send(entry.caller, rows).await.unwrap();
    relay.set_paused(true);
    tokio::time::sleep(PAUSE).await;
    relay.set_paused(false);
    let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
    assert_eq!(body.len(), PIECES * PIECE_BYTES);
    assert!(entry.metrics.read("route.connection_lost") >= 1, "the connection was not silent");
}

/// Guards against an upload that is given up because the peer was paused while it arrived, also for an
/// operation that may be repeated: what was sent of a large body cannot be sent again.
#[tokio::test]
async fn an_upload_goes_on_after_a_pause_of_the_peer() {
    let backend = FakeBackend::start(|request| async move {
        let body = request.into_body().collect().await;
        text_response(body.map_or("broken".into(), |body| body.to_bytes().len().to_string()))
    })
    .await;
    let (_cluster, _owner, relay, entry) = start_nodes(&backend).await;
    for (method, path) in [("POST", "/weigh"), ("PUT", "/photo")] {
        let lost_before = entry.metrics.read("route.connection_lost");
        let upload = Request::builder().method(method).uri(path).header("host", "counter.test");
        let upload = upload.body(body_in_pieces(Duration::from_millis(50))).unwrap();
        let pause = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            relay.set_paused(true);
            tokio::time::sleep(PAUSE).await;
            relay.set_paused(false);
        };
        let (response, ()) = tokio::join!(send(entry.caller, upload), pause);
        let response = response.unwrap();
        assert_eq!(response.status().as_u16(), 200, "{method}");
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body, (PIECES * PIECE_BYTES).to_string(), "{method}");
        let lost = entry.metrics.read("route.connection_lost");
        assert!(lost > lost_before, "the connection was not silent during {method}");
    }
}

/// Guards against callers that wait for ever, and against slots that stay taken, when the path of an
/// answer is cut for good in its middle.
#[tokio::test]
async fn an_answer_on_a_path_that_is_cut_for_good_ends_at_the_deadline() {
    let deadline = Duration::from_secs(1);
    let backend = FakeBackend::start(|request| async move {
        if request.method() != "POST" {
            return text_response("seen");
        }
        http::Response::new(body_in_pieces(Duration::from_millis(50)))
    })
    .await;
    let (_cluster, owner, relay, entry) = start_nodes(&backend).await;
    for _ in 0..3 {
        let started = Instant::now();
        let weighing = Request::post("/weigh")
            .header("host", "counter.test")
            .header("tarragon-deadline-ms", deadline.as_millis().to_string());
        let weighing = weighing.body(tarragon_datapath::transport::empty()).unwrap();
        let response = send(entry.caller, weighing).await.unwrap();
        relay.freeze_connections();
        let body = response.into_body().collect().await;
        assert!(body.is_err(), "an answer that was cut looks whole");
        let elapsed = started.elapsed();
        assert!(elapsed >= deadline, "given up after {elapsed:?}");
        assert!(elapsed < deadline + DEADLINE_BOUND, "ended after {elapsed:?}");
        owner.gate.wait_until_idle().await;
        let reply = request(entry.caller, "GET", "/", &[], "").await;
        assert_eq!(reply.outcome(), "answered", "the connection was not replaced");
    }
}

/// Guards against answers that are cut off because the peer which sends them takes no new requests.
#[tokio::test]
async fn an_answer_under_way_outlasts_the_stop_of_the_peers_listener() {
    let (backend, started) = start_running_backend(PAUSE, Duration::from_millis(50)).await;
    let (_cluster, owner, _relay, entry) = start_nodes(&backend).await;
    let running = join_all((0..4).map(|_| request(entry.caller, "POST", "/weigh", &[], "12 kg")));
    let stop = async {
        started.notified().await;
        owner.stop.cancel();
        // A request after the stop shows the entry that the connection takes no more of them.
        request(entry.caller, "GET", "/", &[], "").await;
    };
    let (replies, _) = tokio::join!(running, stop);
    for reply in replies {
        assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
        assert_eq!(reply.body.map(|body| body.len()), Ok(PIECES * PIECE_BYTES));
    }
}

/// Guards against answers that are lost on their way to a peer that stands still, because the node which
/// sends them stops and drops the connection.
#[tokio::test]
async fn the_last_answers_of_a_stopping_node_reach_a_paused_peer() {
    let (started, go_on) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (notify_start, answer) = (Arc::clone(&started), Arc::clone(&go_on));
    let backend = FakeBackend::start(move |request| {
        let (notify_start, answer) = (Arc::clone(&notify_start), Arc::clone(&answer));
        async move {
            if request.method() != "POST" {
                return text_response("seen");
            }
            notify_start.notify_one();
            answer.notified().await;
            text_response("a".repeat(STOP_ANSWER_BYTES))
        }
    })
    .await;
    let (_cluster, owner, relay, entry) = start_nodes(&backend).await;
    let running = request(entry.caller, "POST", "/weigh", &[], "12 kg");
    let stopping = async {
        started.notified().await;
        relay.set_paused(true);
        go_on.notify_one();
        owner.gate.wait_until_idle().await;
        owner.stop.cancel();
        tokio::time::sleep(STOP_PAUSE).await;
        relay.set_paused(false);
    };
    let (reply, ()) = tokio::join!(running, stopping);
    assert_eq!((reply.outcome(), reply.reason()), ("answered", ""));
    assert_eq!(reply.body.map(|body| body.len()), Ok(STOP_ANSWER_BYTES));
}
