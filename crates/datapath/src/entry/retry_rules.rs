use tarragon_model::call::Reason;

use crate::entry::outgoing_call::OutgoingCall;
use crate::transport::CallFailure;

/// Converts a failure before the owner of the idempotency key was reached: instead of "not run",
/// it reports that the owner is unreachable.
pub(crate) fn owner_not_reached(failure: CallFailure) -> CallFailure {
    if failure.is_not_run() {
        CallFailure { retry_after_ms: failure.retry_after_ms, ..Reason::OwnerUnreachable.into() }
    } else {
        failure
    }
}

/// Whether another attempt is safe and may succeed.
pub(crate) fn may_retry(call: &OutgoingCall, failure: CallFailure) -> bool {
    let may_succeed = match failure.reason {
        Reason::NoServer | Reason::Shed | Reason::Draining | Reason::Rejected | Reason::Fenced => {
            true
        }
        // The request may have run, so only idempotent requests are sent again.
        Reason::ConnectionLost | Reason::BadAnswer | Reason::WrongInstance => call.is_idempotent,
        _ => false,
    };
    may_succeed && call.body.is_replayable()
}
