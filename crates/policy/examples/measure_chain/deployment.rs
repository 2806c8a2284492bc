//! Services, call chains and callers of the simulated deployment.

pub const SECOND_US: u64 = 1_000_000;

/// A service of the simulated deployment, with a server in every data centre.
pub struct Service {
    pub name: &'static str,
    pub slots: u32,
    pub work_us: f64,
    /// Index of the service that every request calls after its own work.
    pub calls: Option<usize>,
}

/// Index of the deepest service, which all chains end with.
pub const DEEPEST_SERVICE: usize = 2;

/// Services with the slots of `docs/design.md`, section 1.3. The deepest one is the bottleneck.
pub const SERVICES: [Service; 3] = [
    Service { name: "passboard", slots: 20, work_us: 5_000.0, calls: Some(1) },
    Service { name: "ripewatch", slots: 75, work_us: 5_000.0, calls: Some(2) },
    Service { name: "scaletally", slots: 75, work_us: 100_000.0, calls: None },
];

pub const DATA_CENTRES: usize = 4;

/// One-way delay between two nodes of different data centres, in µs.
pub const REMOTE_DELAY_US: u64 = 4_500;

/// One-way delay between two nodes of one data centre, in µs.
pub const LOCAL_DELAY_US: u64 = 300;

/// An operation that callers request.
pub struct Operation {
    /// Index of the service that a caller calls.
    pub service: usize,
    /// Importance rank; 0 is the most important.
    pub rank: u8,
    /// Share of this operation in all requests.
    pub share: f64,
}

/// Operations, the most important first. All of them depend on the deepest service.
pub const OPERATIONS: [Operation; 3] = [
    Operation { service: DEEPEST_SERVICE, rank: 0, share: 0.08 },
    Operation { service: 1, rank: 2, share: 0.77 },
    Operation { service: 0, rank: 3, share: 0.15 },
];

/// Deadline of one request, in µs.
pub const DEADLINE_US: u64 = SECOND_US;

/// Maximum number of times that a caller sends a request.
pub const CALLER_ATTEMPTS: u32 = 4;

/// Delay before a caller sends a request again, in µs.
pub const CALLER_RETRY_DELAY_US: u64 = 50_000;

/// Time from the first attempt within which an answer counts as in time, in µs.
pub const CALLER_TIME_LIMIT_US: u64 = 2 * SECOND_US;

/// Capacity in requests per second, with all slots of the deepest service in use.
pub fn capacity() -> f64 {
    let deepest = &SERVICES[DEEPEST_SERVICE];
    DATA_CENTRES as f64 * f64::from(deepest.slots) * SECOND_US as f64 / deepest.work_us
}
