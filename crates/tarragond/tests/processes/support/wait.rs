use std::time::Duration;

/// Longest wait for a condition, well above what the slowest of them needs on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const PAUSE: Duration = Duration::from_millis(50);

/// Checks a condition until it yields a value.
///
/// # Panics
/// The condition yields nothing within the limit.
pub async fn until<T>(what: &str, condition: impl AsyncFn() -> Option<T>) -> T {
    let met = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let limited = tokio::time::timeout(LIMIT, met).await;
    limited.unwrap_or_else(|_| panic!("not within {} s: {what}", LIMIT.as_secs()))
}
