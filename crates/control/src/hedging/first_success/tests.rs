use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

use super::first_success;

/// Time in which a busy peer responds, in ms: many nodes fetch a large revision from the first member of
/// their data centre that has it.
const BUSY_RESPONSE_MS: u64 = 200;

/// Time limit for one peer, in ms.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Time in which a new revision has to be in force, in ms.
const CONVERGENCE_TIMEOUT_MS: u64 = 2_000;

/// Result of a request to peers, and which of them were asked.
struct Played {
    result: Result<usize, Vec<usize>>,
    asked: Vec<usize>,
    elapsed_ms: u128,
}

/// Sends a request to peers that respond after these times, in ms; none responds never.
async fn play(response_times_ms: &[Option<u64>]) -> Played {
    let asked = RefCell::new(Vec::new());
    let started = Instant::now();
    let mut peers = 0..response_times_ms.len();
    let request = |peer: usize| {
        asked.borrow_mut().push(peer);
        async move {
            let time_ms = response_times_ms[peer].filter(|time_ms| *time_ms < PEER_TIMEOUT_MS);
            let wait_ms = time_ms.unwrap_or(PEER_TIMEOUT_MS);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            time_ms.map(|_| peer).ok_or(peer)
        }
    };
    let result = first_success(|| peers.next(), request).await;
    let elapsed_ms = started.elapsed().as_millis();
    Played { result, asked: asked.into_inner(), elapsed_ms }
}

/// Guards against large revisions that are sent twice between data centres.
#[tokio::test(start_paused = true)]
async fn no_other_peer_is_asked_while_the_first_one_is_only_busy() {
    let played = play(&[Some(BUSY_RESPONSE_MS), Some(0)]).await;
    assert_eq!((played.result, played.asked), (Ok(0), vec![0]));
}

#[tokio::test(start_paused = true)]
async fn peers_that_never_respond_are_passed_in_time() {
    for silent_count in 1..=4 {
        let mut response_times_ms = vec![None; silent_count];
        response_times_ms.push(Some(BUSY_RESPONSE_MS));
        let played = play(&response_times_ms).await;
        assert_eq!(played.result, Ok(silent_count));
        assert!(played.elapsed_ms < u128::from(CONVERGENCE_TIMEOUT_MS), "{silent_count} peers");
    }
}

#[tokio::test(start_paused = true)]
async fn the_failures_of_all_peers_are_returned() {
    let played = play(&[None, None]).await;
    assert_eq!((played.result, played.asked), (Err(vec![0, 1]), vec![0, 1]));
}
