use std::future::Future;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tokio::time::Instant;

use crate::hedging::ArrivingResponses;

/// Time without a response after which the next peer is queried as well, in ms. A source from which many
/// nodes fetch a large revision at once takes longer than a round trip, and a second response would
/// cross the link between data centres in vain.
const HEDGE_DELAY_MS: u64 = 250;

/// Time after which the next peer is queried although a response is arriving, in ms. Responses that arrive
/// at the same time share the link of this node, so it is longer; the link of one peer may be the
/// narrow one, so it is limited.
const TRANSFER_HEDGE_DELAY_MS: u64 = 1_000;

/// Maximum number of peers that are queried at a time.
const MAX_PARALLEL_REQUESTS: usize = 4;

/// Sends a request to one peer after the other, until one succeeds. The next peer follows when one
/// has failed, or has not responded within [`HEDGE_DELAY_MS`], or [`TRANSFER_HEDGE_DELAY_MS`] if a
/// response is arriving. Requests that are still running after a success are cancelled.
///
/// # Errors
/// The errors of all peers, in the order in which they occurred.
pub(crate) async fn first_success<P, T, E, F>(
    mut next_peer: impl FnMut() -> Option<P>,
    arriving: &ArrivingResponses,
    request: impl Fn(P) -> F,
) -> Result<T, Vec<E>>
where
    F: Future<Output = Result<T, E>>,
{
    let mut running = FuturesUnordered::new();
    let mut errors = Vec::new();
    let mut queried_at = Instant::now();
    let mut is_next_due = true;
    loop {
        if is_next_due && running.len() < MAX_PARALLEL_REQUESTS {
            running.extend(next_peer().map(&request));
            queried_at = Instant::now();
        }
        let hedge_delay = tokio::time::sleep(Duration::from_millis(HEDGE_DELAY_MS));
        tokio::select! {
            result = running.next() => match result {
                Some(Ok(value)) => return Ok(value),
                Some(Err(error)) => {
                    errors.push(error);
                    is_next_due = true;
                }
                None => return Err(errors),
            },
            () = hedge_delay, if running.len() < MAX_PARALLEL_REQUESTS => {
                let is_transfer_slow =
                    queried_at.elapsed() >= Duration::from_millis(TRANSFER_HEDGE_DELAY_MS);
                is_next_due = !arriving.is_any() || is_transfer_slow;
            }
        }
    }
}

#[cfg(test)]
mod tests;
