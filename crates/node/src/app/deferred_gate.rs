use std::sync::OnceLock;

use tarragon_control::control::GateReport;
use tarragon_control::control::GateView;
use tarragon_datapath::gate::GateHandle;

/// The gate as the control API sees it, which is there before the data path is.
#[derive(Default)]
pub struct LateGate {
    handle: OnceLock<GateHandle>,
}

impl LateGate {
    /// Shows the gate from now on.
    pub fn set(&self, handle: GateHandle) {
        // Only the first gate of a node is ever set.
        let _ = self.handle.set(handle);
    }
}

impl GateView for LateGate {
    fn report(&self) -> GateReport {
        let Some(gate) = self.handle.get() else { return GateReport::default() };
        GateReport {
            in_flight: u32::try_from(gate.in_flight()).unwrap_or(u32::MAX),
            waiting: u32::try_from(gate.waiting()).unwrap_or(u32::MAX),
            limit: gate.advice().limit,
            oldest_ms: gate.requests().first().map_or(0, |request| request.age_ms),
        }
    }
}
