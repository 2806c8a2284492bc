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
use crate::support::OperatorClient;

/// Timeout for one response to an operator.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Upper bound of the delay of an operator between two notes, in ms.
const MAX_NOTE_DELAY_MS: u64 = 500;

/// Versions and ids of the notes that got a definite response. A note without one may or may not be
/// in force.
#[derive(Debug, Clone, Default)]
pub struct SubmittedNotes {
    pub accepted: Vec<(u64, String)>,
    pub refused: Vec<(u64, String)>,
}

/// Submits notes through random nodes until it is stopped, each note until it gets a definite
/// response. Several operators compete for the same versions.
pub async fn run_operator(
    operator_index: u64,
    seed: u64,
    operator: OperatorClient,
    control_addresses: Vec<SocketAddr>,
    notes: Arc<Mutex<SubmittedNotes>>,
    stop: CancellationToken,
) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (operator_index << 48));
    let mut version = 2;
    let mut note_count = 0;
    while !stop.is_cancelled() {
        note_count += 1;
        let id = format!("operator-{operator_index}-note-{note_count}");
        let note = next_note(&id, version);
        let response = loop {
            let address = control_addresses[rng.random_range(0..control_addresses.len())];
            let response =
                tokio::time::timeout(RESPONSE_TIMEOUT, operator.submit_to(address, &note)).await;
            match response {
                Ok(Some(response)) => break Some(response),
                _ if stop.is_cancelled() => break None,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        match response {
            Some(SubmitAnswer::Accepted { .. }) => {
                notes.lock().unwrap().accepted.push((version, id));
                version += 1;
            }
            Some(SubmitAnswer::Conflict { next_version, .. }) => {
                notes.lock().unwrap().refused.push((version, id));
                version = next_version;
            }
            Some(SubmitAnswer::Invalid { mistakes }) => {
                panic!("{id} was rejected as invalid: {mistakes:?}")
            }
            None => return,
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_NOTE_DELAY_MS))).await;
    }
}
