use std::time::Duration;

/// Maximum wait for a condition, well above the time that the slowest one takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls a condition until it returns a value.
///
/// # Panics
/// The condition returns no value within [`TIMEOUT`].
pub async fn wait_until<T>(what: &str, condition: impl AsyncFn() -> Option<T>) -> T {
    let poll = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(TIMEOUT, poll).await;
    result.unwrap_or_else(|_| panic!("timed out after {} s: {what}", TIMEOUT.as_secs()))
}
