use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

use super::first_success;
use crate::hedging::ArrivingResponses;

/// Time in which a busy peer responds, in ms: many nodes fetch a large revision from the first member of
/// their data centre that has it.
const BUSY_RESPONSE_MS: u64 = 200;

/// Time limit for one peer, in ms.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Time in which a new revision has to be in force, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 2_000;

/// Time until a busy peer has sent the whole of a large response, in ms.
const TRANSFER_MS: u64 = 900;

/// Behaviour of a peer.
#[derive(Clone, Copy)]
enum Peer {
    /// Sends its whole response after this time, in ms.
    Responds(u64),
    /// Begins to send at once and is done after this time, in ms.
    Transfers(u64),
    Silent,
}

/// Result of a request to peers, and which of them were asked.
struct Played {
    result: Result<usize, Vec<usize>>,
    asked: Vec<usize>,
    elapsed_ms: u128,
}

async fn play(peers: &[Peer]) -> Played {
    let asked = RefCell::new(Vec::new());
    let started = Instant::now();
    let mut indices = 0..peers.len();
    let arriving = ArrivingResponses::default();
    let request = |index: usize| {
        asked.borrow_mut().push(index);
        let (peer, arriving) = (peers[index], &arriving);
        async move {
            let (time_ms, is_arriving) = match peer {
                Peer::Responds(time_ms) => (time_ms, false),
                Peer::Transfers(time_ms) => (time_ms, true),
                Peer::Silent => (PEER_TIMEOUT_MS, false),
            };
            let _response = is_arriving.then(|| arriving.begin());
            tokio::time::sleep(Duration::from_millis(time_ms)).await;
            if matches!(peer, Peer::Silent) {
                Err(index)
            } else {
                Ok(index)
            }
        }
    };
    let result = first_success(|| indices.next(), &arriving, request).await;
    let elapsed_ms = started.elapsed().as_millis();
    Played { result, asked: asked.into_inner(), elapsed_ms }
}

/// Guards against large revisions that are sent twice between data centres.
#[tokio::test(start_paused = true)]
async fn no_other_peer_is_asked_while_the_first_one_is_only_busy() {
    for first in [Peer::Responds(BUSY_RESPONSE_MS), Peer::Transfers(TRANSFER_MS)] {
        let played = play(&[first, Peer::Responds(0)]).await;
        assert_eq!((played.result, played.asked), (Ok(0), vec![0]));
    }
}

#[tokio::test(start_paused = true)]
async fn peers_that_never_respond_are_passed_in_time() {
    for silent_count in 1..=4 {
        let mut peers = vec![Peer::Silent; silent_count];
        peers.push(Peer::Responds(BUSY_RESPONSE_MS));
        let played = play(&peers).await;
        assert_eq!(played.result, Ok(silent_count));
        assert!(played.elapsed_ms < u128::from(CONVERGENCE_TIMEOUT_MS), "{silent_count} peers");
    }
}

#[tokio::test(start_paused = true)]
async fn a_transfer_that_takes_long_does_not_keep_other_peers_out() {
    let played = play(&[Peer::Transfers(60_000), Peer::Responds(BUSY_RESPONSE_MS)]).await;
    assert_eq!(played.result, Ok(1));
    assert!(played.elapsed_ms < u128::from(CONVERGENCE_TIMEOUT_MS), "{} ms", played.elapsed_ms);
}

#[tokio::test(start_paused = true)]
async fn the_failures_of_all_peers_are_returned() {
    let played = play(&[Peer::Silent, Peer::Silent]).await;
    assert_eq!((played.result, played.asked), (Err(vec![0, 1]), vec![0, 1]));
}
