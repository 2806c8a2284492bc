use std::future::Future;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;

/// Time without a response after which the next peer is queried as well, in ms. A source from which many
/// nodes fetch a large revision at once takes longer than a round trip, and a second response would
/// cross the link between data centres in vain.
const HEDGE_DELAY_MS: u64 = 250;

/// Maximum number of peers that are queried at a time.
const MAX_PARALLEL_REQUESTS: usize = 4;

/// Sends a request to one peer after the other, until one succeeds. The next peer follows when one
/// has failed, or has not responded within [`HEDGE_DELAY_MS`]. Requests that are still running after
/// a success are cancelled.
///
/// # Errors
/// The errors of all peers, in the order in which they occurred.
pub(crate) async fn first_success<P, T, E, F>(
    mut next_peer: impl FnMut() -> Option<P>,
    request: impl Fn(P) -> F,
) -> Result<T, Vec<E>>
where
    F: Future<Output = Result<T, E>>,
{
    let mut running = FuturesUnordered::new();
    let mut errors = Vec::new();
    loop {
        if running.len() < MAX_PARALLEL_REQUESTS {
            running.extend(next_peer().map(&request));
        }
        let hedge_delay = tokio::time::sleep(Duration::from_millis(HEDGE_DELAY_MS));
        tokio::select! {
            result = running.next() => match result {
                Some(Ok(value)) => return Ok(value),
                Some(Err(error)) => errors.push(error),
                None => return Err(errors),
            },
            () = hedge_delay, if running.len() < MAX_PARALLEL_REQUESTS => {}
        }
    }
}

#[cfg(test)]
mod tests;
