use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio_util::sync::CancellationToken;

use crate::support::Call;

/// Longest wait for an answer; a node whose process is paused gives none.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Longest pause of a client between two requests, in ms.
const MAX_PAUSE_MS: u64 = 40;

/// Times that a client sends a request with a key while it does not know what became of it.
const KEYED_SENDS: usize = 3;

/// What a client was told about one request, in the order of its attempts.
#[derive(Debug, Clone)]
pub struct Told {
    pub call: Call,
    /// Outcome and text of each attempt; none if there was no whole answer.
    pub answers: Vec<Option<(String, String)>>,
}

/// Sends requests through random nodes until it is stopped.
pub async fn run_client(
    number: u64,
    seed: u64,
    entries: Vec<SocketAddr>,
    told: Arc<Mutex<Vec<Told>>>,
    stop: CancellationToken,
) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (number << 32));
    let mut requests = 0;
    while !stop.is_cancelled() {
        requests += 1;
        let name = format!("{number}-{requests}");
        let call = match rng.random_range(0..3) {
            0 => Call::view(&format!("/slow/{name}")),
            1 => Call { key: None, ..Call::weigh(&format!("/weigh/slow/{name}"), "") },
            _ => Call::weigh(&format!("/weigh/slow/{name}"), &format!("key {name} of {seed}")),
        };
        let sends = if call.key.is_some() { KEYED_SENDS } else { 1 };
        let mut answers: Vec<Option<(String, String)>> = Vec::new();
        while answers.len() < sends {
            let entry = entries[rng.random_range(0..entries.len())];
            let reply = tokio::time::timeout(ANSWER_LIMIT, call.send_to(entry)).await;
            let reply = reply.ok().and_then(Result::ok);
            let answer = reply.map(|reply| (reply.outcome, reply.text));
            let is_settled = answer.as_ref().is_some_and(|(outcome, _)| outcome != "unknown");
            answers.push(answer);
            if is_settled {
                break;
            }
        }
        told.lock().unwrap().push(Told { call, answers });
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS))).await;
    }
}
