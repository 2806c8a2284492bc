/// What the control API tells of the gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateReport {
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Present concurrency limit.
    pub limit: u32,
    /// Age of the oldest request in progress, in ms.
    pub oldest_ms: u64,
}

/// Read access to the gate for the control API.
pub trait GateView: Send + Sync {
    /// Present state of the gate.
    fn report(&self) -> GateReport;
}
