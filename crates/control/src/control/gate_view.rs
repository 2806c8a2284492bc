/// State of the gate, as reported by the control API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateReport {
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Age of the oldest request in progress, in ms.
    pub oldest_ms: u64,
}

/// Read access to the gate for the control API.
pub trait GateView: Send + Sync {
    /// Returns the current state of the gate.
    fn report(&self) -> GateReport;
}
