use serde::Deserialize;
use serde::Serialize;

/// Settings of the admission policies. The defaults suit services of 20 to 100 slots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Number of slots assumed until the backend server announces its own.
    pub default_slots: u32,
    /// Initial limit of a new server or one whose drain has ended, as a share of its slots. The
    /// uncongested latency is measured while the limit grows from there.
    pub initial_share: f64,
    /// Minimum limit, as a share of the slots; never below one. With fewer concurrent runs there
    /// are too few samples to detect within a second that the server has recovered.
    pub min_share: f64,
    /// Interval at which demand is counted and the cutoff is set, in µs. It is also the minimum
    /// interval between two changes of the limit.
    pub window_us: u64,
    /// Maximum interval between two changes of the limit when samples are few, in µs.
    pub max_window_us: u64,
    /// Minimum number of samples for a decrease of the limit.
    pub min_samples: u32,
    /// Latency above which the limit decreases, relative to the uncongested latency.
    pub latency_tolerance: f64,
    /// Duration of uninterrupted congestion after which the limit is reduced briefly, in µs. The
    /// reduction shows whether the server queues requests or is slower at any concurrency.
    pub reduction_after_us: u64,
    /// Maximum number of waiting requests.
    pub max_queue: usize,
    /// Target queueing delay under overload, in µs. A short queue keeps every slot busy although
    /// arrivals vary.
    pub queue_target_us: u64,
    /// Time within which the cutoff corrects a deviation from the target delay, in µs.
    pub queue_horizon_us: u64,
    /// Share of the limit that long work may use even when short work could use all of it.
    pub long_share: f64,
    /// Retry delay for shed requests at twice the capacity, in ms. It grows with demand.
    pub retry_after_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            default_slots: 16,
            initial_share: 0.25,
            min_share: 0.1,
            window_us: 50_000,
            max_window_us: 200_000,
            min_samples: 24,
            latency_tolerance: 1.4,
            reduction_after_us: 500_000,
            max_queue: 1024,
            queue_target_us: 20_000,
            queue_horizon_us: 200_000,
            long_share: 0.25,
            retry_after_ms: 200,
        }
    }
}
