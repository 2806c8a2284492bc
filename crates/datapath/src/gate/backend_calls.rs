use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tarragon_policy::retry::RepeatShare;

use crate::datapath::Clock;
use crate::gate::call_refusals::CallRefusals;
use crate::gate::spans::ActiveSpans;

/// Tolerance by which the deadline of a call may exceed that of the execution that makes it: both
/// are transmitted in whole ms and are read with a small delay.
const DEADLINE_SLACK: Duration = Duration::from_millis(5);

/// Time by which the deadline of a call may precede that of the execution that makes it although both
/// expire together: the time left is cut to whole ms at each hop, and passes meanwhile.
const DEADLINE_ROUNDING: Duration = Duration::from_millis(10);

/// Statistics on the calls that the backend server makes while it runs requests.
///
/// Backend servers need not identify the execution that a call belongs to, so these are statistics
/// on all executions and all calls together, see `docs/overload.md`.
pub(crate) struct BackendCalls {
    clock: Clock,
    spans: Arc<ActiveSpans>,
    refusals: CallRefusals,
    repeat_share: Mutex<RepeatShare>,
}

impl BackendCalls {
    pub(crate) fn new(clock: Clock, spans: Arc<ActiveSpans>) -> Self {
        Self { clock, spans, refusals: CallRefusals::default(), repeat_share: Mutex::default() }
    }

    /// Whether a request that entered at this node may be a call made by the backend server. A call
    /// has no later deadline than the execution that makes it, so a request whose deadline is later
    /// than those of all executions is not such a call.
    pub(crate) fn may_come_from_backend(&self, caller_deadline: Instant) -> bool {
        let earliest = caller_deadline.checked_sub(DEADLINE_SLACK).unwrap_or(caller_deadline);
        self.spans.any_running_until(earliest..)
    }

    /// Whether a request that entered at this node expires together with an execution, like the calls
    /// that the execution makes. Few other requests do.
    pub(crate) fn expires_with_execution(&self, caller_deadline: Instant) -> bool {
        let earliest = caller_deadline.checked_sub(DEADLINE_SLACK).unwrap_or(caller_deadline);
        self.spans.any_running_until(earliest..=caller_deadline + DEADLINE_ROUNDING)
    }

    /// Records that a call was refused for overload.
    pub(crate) fn record_refusal(&self) {
        self.refusals.record(self.clock.now_us());
    }

    /// Whether a response of the backend server is a failure caused by a refused call.
    pub(crate) fn is_caused_by_refused_call(&self, status: StatusCode) -> bool {
        self.refusals.are_likely_cause_of(status, self.clock.now_us())
    }

    /// Records the start of an execution with the probability that it repeats an earlier one.
    pub(crate) fn record_run(&self, repeat_share: f64) {
        self.lock().record_run(repeat_share, self.clock.now_us());
    }

    /// Probability that a call is made by an execution that repeats an earlier one.
    pub(crate) fn repeat_share(&self) -> f64 {
        self.lock().share_at(self.clock.now_us())
    }

    fn lock(&self) -> MutexGuard<'_, RepeatShare> {
        self.repeat_share.lock().expect("no thread panics while it holds the lock")
    }
}
