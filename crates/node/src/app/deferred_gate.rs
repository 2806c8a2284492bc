use std::sync::OnceLock;

use tarragon_control::control::GateReport;
use tarragon_control::control::GateView;
use tarragon_datapath::gate::GateHandle;

/// View of the gate for the control API, which starts before the data path. It reports an idle gate
/// until [`Self::set`] is called.
#[derive(Default)]
pub struct DeferredGateView {
    handle: OnceLock<GateHandle>,
}

impl DeferredGateView {
    /// Sets the gate that is reported from now on; later calls have no effect.
    pub fn set(&self, handle: GateHandle) {
        // A node has only one gate.
        let _ = self.handle.set(handle);
    }
}

impl GateView for DeferredGateView {
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
