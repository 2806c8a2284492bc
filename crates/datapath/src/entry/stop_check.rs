use tarragon_model::call::Reason;
use tracing::info;

use crate::datapath::ServingState;
use crate::entry::outgoing_call::OutgoingCall;
use crate::entry::Forwarder;
use crate::transport::CallFailure;

impl Forwarder {
    /// Refuses an attempt that may still run when the process is killed at the end of its stop. Its
    /// response would be lost, while a refusal now is true.
    pub(super) fn check_end_before_stop(&self, call: &OutgoingCall) -> Result<(), CallFailure> {
        let calls_end_at = match *self.dependencies.serving.borrow() {
            ServingState::NotReady | ServingState::Ready | ServingState::Closing { .. } => {
                return Ok(())
            }
            ServingState::BackendCallsOnly { calls_end_at } => calls_end_at,
            ServingState::FinishingOnly => return Err(Reason::Draining.into()),
        };
        let now_us = self.dependencies.clock.now_us();
        let end_us = now_us + crate::datapath::remaining_us(calls_end_at);
        let deadline_us = now_us + crate::datapath::remaining_us(call.deadline);
        let durations = self.durations.lock().expect("no thread panics while it holds the lock");
        if durations.ends_by(end_us, call.duration_kind, deadline_us, now_us) {
            return Ok(());
        }
        drop(durations);
        self.dependencies.metrics.count("entry.refused_before_stop", 1);
        info!(
            request = call.caller_request_id,
            id = %call.context.request_id,
            service = call.service,
            left_ms = (end_us - now_us) / 1_000,
            allowed_ms = (deadline_us - now_us) / 1_000,
            "drain: call refused, it may outlast the process"
        );
        Err(Reason::Draining.into())
    }
}
