use tarragon_model::call::Reason;
use tarragon_policy::quarantine::RequestFingerprint;
use tarragon_policy::quarantine::Suspicion;
use tracing::debug;

use crate::datapath::ServingState;
use crate::gate::Gate;
use crate::gate::GateCall;
use crate::transport::CallFailure;

impl Gate {
    /// Fails if the request must not run because servers crashed each time they ran it.
    pub(super) fn check_quarantine(
        &self,
        fingerprint: Option<RequestFingerprint>,
    ) -> Result<(), CallFailure> {
        let suspicion = fingerprint.map(|fingerprint| self.crashes.suspicion(fingerprint));
        if suspicion == Some(Suspicion::Quarantined) {
            return Err(Reason::Quarantined.into());
        }
        Ok(())
    }

    /// Refuses a call that may still run when the process is killed at the end of its stop. Its response
    /// would be lost, while another server can run it now.
    pub(super) fn check_end_before_stop(&self, call: &GateCall) -> Result<(), CallFailure> {
        let runs_end_at = match *self.serving.borrow() {
            ServingState::NotReady | ServingState::Ready => return Ok(()),
            ServingState::Closing { calls_end_at }
            | ServingState::BackendCallsOnly { calls_end_at } => calls_end_at,
            ServingState::FinishingOnly => return Err(Reason::Draining.into()),
        };
        if self.admission_queue.ends_by(runs_end_at, call.request_kind, call.deadline) {
            return Ok(());
        }
        self.metrics.count("gate.refused_before_stop", 1);
        debug!(
            id = %call.context.request_id,
            service = call.service,
            left_ms = crate::datapath::remaining_us(runs_end_at) / 1_000,
            allowed_ms = crate::datapath::remaining_us(call.deadline) / 1_000,
            "drain: request refused, it may outlast the process"
        );
        Err(Reason::Draining.into())
    }
}
