use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of the driver since its start.
#[derive(Debug, Default)]
pub struct DriverCounters {
    pub(crate) received: AtomicU64,
    pub(crate) received_bytes: AtomicU64,
    pub(crate) dropped: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) send_errors: AtomicU64,
    pub(crate) fetch_errors: AtomicU64,
}

impl DriverCounters {
    /// Adds `amount` to a counter.
    pub(crate) fn add(counter: &AtomicU64, amount: u64) {
        counter.fetch_add(amount, Ordering::Relaxed);
    }

    /// Names and values of all counters, for the metrics of the daemon.
    pub fn values(&self) -> [(&'static str, u64); 7] {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("member.received", value(&self.received)),
            ("member.received_bytes", value(&self.received_bytes)),
            ("member.dropped", value(&self.dropped)),
            ("member.sent", value(&self.sent)),
            ("member.sent_bytes", value(&self.sent_bytes)),
            ("member.send_errors", value(&self.send_errors)),
            ("member.fetch_errors", value(&self.fetch_errors)),
        ]
    }

    /// Datagrams dropped because they are malformed or not authenticated.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
