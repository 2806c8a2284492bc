use std::time::Duration;
use std::time::Instant;

/// Longest wait for a condition, well above what the slowest of them needs on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const PAUSE: Duration = Duration::from_millis(50);

/// Checks a condition until it yields a value.
///
/// # Panics
/// The condition yields nothing within the limit.
pub async fn until<T>(what: &str, condition: impl AsyncFn() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if let Some(value) = condition().await {
            return value;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("not within {} s: {what}", LIMIT.as_secs());
}
