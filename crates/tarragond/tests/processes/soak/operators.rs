use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::catalogue::SubmitAnswer;
use tokio_util::sync::CancellationToken;

use crate::support::next_note;
use crate::support::Operator;

/// Longest wait for one answer to an operator.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Longest pause of an operator between two notes, in ms.
const MAX_PAUSE_MS: u64 = 500;

/// Notes by the clear answer to them, with their versions. Those without one may be in force or not.
#[derive(Debug, Clone, Default)]
pub struct Notes {
    pub accepted: Vec<(u64, String)>,
    pub refused: Vec<(u64, String)>,
}

/// Submits notes through random nodes, each again until the answer is clear. Several operators race for
/// the same versions.
pub async fn run_operator(
    number: u64,
    seed: u64,
    operator: Operator,
    nodes: Vec<SocketAddr>,
    notes: Arc<Mutex<Notes>>,
    stop: CancellationToken,
) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (number << 48));
    let mut version = 2;
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        let id = format!("operator-{number}-note-{count}");
        let note = next_note(&id, version);
        let answer = loop {
            let node = nodes[rng.random_range(0..nodes.len())];
            let answer = tokio::time::timeout(ANSWER_LIMIT, operator.submit_to(node, &note)).await;
            match answer {
                Ok(Some(answer)) => break Some(answer),
                _ if stop.is_cancelled() => break None,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        match answer {
            Some(SubmitAnswer::Accepted { .. }) => {
                notes.lock().unwrap().accepted.push((version, id));
                version += 1;
            }
            Some(SubmitAnswer::Conflict { next_version, .. }) => {
                notes.lock().unwrap().refused.push((version, id));
                version = next_version;
            }
            Some(SubmitAnswer::Invalid { mistakes }) => panic!("{id} is valid: {mistakes:?}"),
            None => return,
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}
