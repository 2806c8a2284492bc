/// Receives the counters and durations of the data path.
pub trait Metrics: Send + Sync {
    /// Adds an amount to the counter of this name.
    fn count(&self, name: &'static str, amount: u64);

    /// Records a duration, in µs, under this name.
    fn record_duration_us(&self, name: &'static str, duration_us: u64);
}

/// Discards all metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoMetrics;

impl Metrics for NoMetrics {
    fn count(&self, _name: &'static str, _amount: u64) {}

    fn record_duration_us(&self, _name: &'static str, _duration_us: u64) {}
}
