use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use tarragon_policy::retry::RepeatShare;

use crate::datapath::Clock;
use crate::gate::call_refusals::CallRefusals;
use crate::gate::spans::Spans;

/// By how much the deadline of a call may exceed that of the run that makes it: both are passed on in
/// whole ms and read a little later.
const DEADLINE_SLACK: Duration = Duration::from_millis(5);

/// What a gate knows of the calls that its backend server makes while it runs requests.
///
/// A backend server need not say which run a call belongs to, so what is known is known of its runs and
/// calls as a whole, see `docs/overload.md`.
pub(crate) struct BackendCalls {
    clock: Clock,
    spans: Arc<Spans>,
    refusals: CallRefusals,
    repeats: Mutex<RepeatShare>,
}

impl BackendCalls {
    pub(crate) fn new(clock: Clock, spans: Arc<Spans>) -> Self {
        Self { clock, spans, refusals: CallRefusals::default(), repeats: Mutex::default() }
    }

    /// Whether a request that entered at this node may be a call of the backend server. One that may
    /// wait longer than every run is not: a call expires with the run that makes it.
    pub(crate) fn may_come_from_backend(&self, caller_deadline: Instant) -> bool {
        let latest = caller_deadline.checked_sub(DEADLINE_SLACK).unwrap_or(caller_deadline);
        self.spans.any_runs_until(latest)
    }

    /// Records that a call was refused for overload.
    pub(crate) fn record_refusal(&self) {
        self.refusals.record(self.clock.now_us());
    }

    /// Whether a failure of the backend server follows from a refused call.
    pub(crate) fn explain(&self, status: StatusCode) -> bool {
        self.refusals.explains(status, self.clock.now_us())
    }

    /// Records that a run starts, and the probability that it repeats an earlier one.
    pub(crate) fn record_run(&self, repeat_share: f64) {
        self.repeats().record_run(repeat_share, self.clock.now_us());
    }

    /// Probability that a call is made by a run that repeats an earlier one.
    pub(crate) fn repeat_share(&self) -> f64 {
        self.repeats().share_at(self.clock.now_us())
    }

    fn repeats(&self) -> MutexGuard<'_, RepeatShare> {
        self.repeats.lock().expect("no holder of the lock panics")
    }
}
