use serde::Deserialize;
use serde::Serialize;

/// Settings of the admission policies. The defaults suit services of 20 to 100 slots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Slots assumed until the backend server announces its own.
    pub default_slots: u32,
    /// Limit at which a new or undrained server starts, as a share of its slots. The uncongested
    /// latency is measured on the way up from there.
    pub initial_share: f64,
    /// Lowest limit, as a share of the slots and at least one. Fewer runs would give too few
    /// samples to notice within a second that the server is fast again.
    pub min_share: f64,
    /// Interval at which demand is counted and the cutoff is set, and the shortest interval
    /// between two changes of the limit, in µs.
    pub window_us: u64,
    /// Longest interval between two changes of the limit when samples are few, in µs.
    pub max_window_us: u64,
    /// Samples that a decrease of the limit needs.
    pub min_samples: u32,
    /// Latency, relative to the uncongested latency, from which the limit decreases.
    pub latency_tolerance: f64,
    /// Time of uninterrupted congestion after which the limit is reduced briefly, to learn whether
    /// the server queues requests or has become slower at any concurrency, in µs.
    pub reduction_after_us: u64,
    /// Most requests that wait.
    pub max_queue: usize,
    /// Queueing delay that the cutoff aims at under overload, in µs. A short queue keeps every
    /// slot busy although arrivals vary.
    pub queue_target_us: u64,
    /// Time in which the cutoff corrects a queueing delay off its target, in µs.
    pub queue_horizon_us: u64,
    /// Share of the limit that long work may use even when short work wants all of it.
    pub long_share: f64,
    /// Time to retry told to a shed caller at twice the capacity, in ms; it grows with demand.
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
