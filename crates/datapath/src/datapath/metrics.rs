/// Receives the counters and timings of the data path.
pub trait Metrics: Send + Sync {
    /// Adds to a counter.
    fn count(&self, name: &'static str, amount: u64);

    /// Records a time span, in µs.
    fn record_duration_us(&self, name: &'static str, span_us: u64);
}

/// Drops every metric.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoMetrics;

impl Metrics for NoMetrics {
    fn count(&self, _name: &'static str, _amount: u64) {}

    fn record_duration_us(&self, _name: &'static str, _span_us: u64) {}
}
