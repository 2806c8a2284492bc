use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio_util::sync::CancellationToken;

use crate::support::CallerRequest;

/// Timeout for a response; a node whose process is paused sends none.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Upper bound of the delay of a client between two requests, in ms.
const MAX_REQUEST_DELAY_MS: u64 = 40;

/// Maximum number of times that a client sends a request with an idempotency key while its outcome
/// is unknown.
const MAX_KEYED_SENDS: usize = 3;

/// A request of a client and the responses to it, in the order of its attempts.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub request: CallerRequest,
    /// Outcome and text of the response to each attempt; none without a complete response.
    pub responses: Vec<Option<(String, String)>>,
}

/// Sends requests through random nodes until it is stopped.
pub async fn run_client(
    client_index: u64,
    seed: u64,
    caller_addresses: Vec<SocketAddr>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    stop: CancellationToken,
) {
    let mut rng = Pcg32::seed_from_u64(seed ^ (client_index << 32));
    let mut request_count = 0;
    while !stop.is_cancelled() {
        request_count += 1;
        let name = format!("{client_index}-{request_count}");
        let request = match rng.random_range(0..3) {
            0 => CallerRequest::view(&format!("/slow/{name}")),
            1 => CallerRequest {
                key: None,
                ..CallerRequest::weigh_in(&format!("/weigh/slow/{name}"), "")
            },
            _ => CallerRequest::weigh_in(
                &format!("/weigh/slow/{name}"),
                &format!("key {name} of {seed}"),
            ),
        };
        let max_sends = if request.key.is_some() { MAX_KEYED_SENDS } else { 1 };
        let mut responses: Vec<Option<(String, String)>> = Vec::new();
        while responses.len() < max_sends {
            let address = caller_addresses[rng.random_range(0..caller_addresses.len())];
            let response = tokio::time::timeout(RESPONSE_TIMEOUT, request.send_to(address)).await;
            let response = response.ok().and_then(Result::ok);
            let response = response.map(|response| (response.outcome, response.text));
            let is_settled = response.as_ref().is_some_and(|(outcome, _)| outcome != "unknown");
            responses.push(response);
            if is_settled {
                break;
            }
        }
        records.lock().unwrap().push(RequestRecord { request, responses });
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..MAX_REQUEST_DELAY_MS))).await;
    }
}
