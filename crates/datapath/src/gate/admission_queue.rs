use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRefusal;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::MeanRunTime;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;
use tarragon_policy::stop::CallDurations;
use tarragon_policy::stop::CallEnd;
use tarragon_policy::stop::CallTicket;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::error;

use crate::datapath::Clock;
use crate::transport::CallFailure;

type AdmissionResult = Result<(), AdmissionRefusal>;

struct AdmissionState {
    policy: Box<dyn AdmissionPolicy>,
    waiting: HashMap<Ticket, oneshot::Sender<AdmissionResult>>,
    running_count: usize,
    /// Time for which the timer of the next poll is set, in µs.
    timer_due_us: Option<u64>,
}

/// Numbers of requests at the gate.
pub(crate) struct RequestCounts {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

/// Runs the admission policy: lets requests wait for a slot and reports the end of their runs.
pub(crate) struct AdmissionQueue {
    state: Mutex<AdmissionState>,
    timer_changed: Notify,
    /// How long runs take, by which a node that stops decides which requests it still runs.
    durations: Mutex<CallDurations>,
    clock: Clock,
}

impl AdmissionQueue {
    pub(crate) fn new(policy: Box<dyn AdmissionPolicy>, clock: Clock) -> Self {
        let state = AdmissionState {
            policy,
            waiting: HashMap::new(),
            running_count: 0,
            timer_due_us: None,
        };
        let durations = Mutex::default();
        Self { state: Mutex::new(state), timer_changed: Notify::new(), durations, clock }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Waits for a slot until the deadline. Dropping the future withdraws the request.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest,
        deadline: Instant,
    ) -> Result<ExecutionSlot, CallFailure> {
        let (ticket, receiver) = {
            let now_us = self.clock.now_us();
            let mut state = self.lock();
            match state.policy.offer(request, now_us) {
                AdmissionDecision::Run(ticket) => {
                    state.running_count += 1;
                    self.reset_timer_if_earlier(&state);
                    return Ok(ExecutionSlot::new(Arc::clone(self), ticket, request.kind));
                }
                AdmissionDecision::Refuse(refusal) => {
                    // The policy may evict less important requests even if it refuses the new one.
                    self.apply_decisions(&mut state);
                    return Err(refusal.into());
                }
                AdmissionDecision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    self.apply_decisions(&mut state);
                    (ticket, receiver)
                }
            }
        };
        let mut queued =
            QueuedRequest { queue: Arc::clone(self), ticket, receiver, is_decided: false };
        let decision = tokio::time::timeout_at(deadline.into(), &mut queued.receiver).await;
        match decision {
            Ok(Ok(decision)) => {
                queued.is_decided = true;
                decision?;
                Ok(ExecutionSlot::new(Arc::clone(self), ticket, request.kind))
            }
            _ => Err(Reason::Late.into()),
        }
    }

    /// Polls the policy and sends its decisions to the waiting requests.
    fn apply_decisions(&self, state: &mut AdmissionState) {
        let now_us = self.clock.now_us();
        for queue_decision in state.policy.poll(now_us) {
            let (ticket, decision) = match queue_decision {
                QueueDecision::Run(ticket) => (ticket, Ok(())),
                QueueDecision::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if decision.is_ok() {
                state.running_count += 1;
            }
            // The result of the send is ignored: if the request is being dropped at the same time,
            // its guard reads the decision from the channel.
            match state.waiting.remove(&ticket) {
                Some(sender) => drop(sender.send(decision)),
                None => error!("gate: the policy decided on {ticket:?}, which is not waiting"),
            }
        }
        self.reset_timer_if_earlier(state);
    }

    /// Wakes the timer task if the next poll is due earlier than the timer is set for.
    fn reset_timer_if_earlier(&self, state: &AdmissionState) {
        let next_us = state.policy.next_poll_us();
        if next_us.is_some_and(|next| state.timer_due_us.is_none_or(|due| next < due)) {
            self.timer_changed.notify_one();
        }
    }

    fn finish(&self, ticket: Ticket, result: &RunResult) {
        let mut state = self.lock();
        state.running_count -= 1;
        state.policy.finish(ticket, result, self.clock.now_us());
        self.apply_decisions(&mut state);
    }

    /// Polls the policy whenever a poll is due, until `stop` is cancelled.
    pub(crate) async fn run_timer(&self, stop: &CancellationToken) {
        loop {
            let next_us = {
                let mut state = self.lock();
                state.timer_due_us = state.policy.next_poll_us();
                state.timer_due_us
            };
            let due = async {
                match next_us {
                    Some(at_us) => {
                        tokio::time::sleep_until(self.clock.instant_at(at_us).into()).await;
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.timer_changed.notified() => {}
                () = due => {
                    self.apply_decisions(&mut self.lock());
                    // Avoids a busy loop if the policy remains due after the poll.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }

    pub(crate) fn set_drain(&self, is_draining: bool) {
        let mut state = self.lock();
        state.policy.set_drain(is_draining, self.clock.now_us());
        self.apply_decisions(&mut state);
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.policy.set_slots(slots, self.clock.now_us());
        self.apply_decisions(&mut state);
    }

    pub(crate) fn set_rate_limit(&self, max_requests_per_s: Option<f64>) {
        let mut state = self.lock();
        state.policy.set_rate_limit(max_requests_per_s, self.clock.now_us());
        self.apply_decisions(&mut state);
    }

    pub(crate) fn advice(&self) -> AdmissionAdvice {
        self.lock().policy.advice(self.clock.now_us())
    }

    pub(crate) fn mean_run_time(&self, kind: u32) -> Option<MeanRunTime> {
        self.lock().policy.mean_run_time(kind)
    }

    /// Whether a request of this kind that runs now will have ended by `end`.
    pub(crate) fn ends_by(&self, end: Instant, kind: u32, deadline: Instant) -> bool {
        let now_us = self.clock.now_us();
        let end_us = now_us + crate::datapath::remaining_us(end);
        let deadline_us = now_us + crate::datapath::remaining_us(deadline);
        self.lock_durations().ends_by(end_us, u64::from(kind), deadline_us, now_us)
    }

    fn lock_durations(&self) -> MutexGuard<'_, CallDurations> {
        self.durations.lock().expect("no thread panics while it holds the lock")
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let state = self.lock();
        RequestCounts { running: state.running_count, waiting: state.waiting.len() }
    }
}

/// Guard of a request in the queue; dropping it withdraws the request.
struct QueuedRequest {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    receiver: oneshot::Receiver<AdmissionResult>,
    is_decided: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let was_waiting = {
            let mut state = self.queue.lock();
            let was_waiting = state.waiting.remove(&self.ticket).is_some();
            if was_waiting {
                state.policy.withdraw(self.ticket, self.queue.clock.now_us());
                self.queue.apply_decisions(&mut state);
            }
            was_waiting
        };
        if !was_waiting && matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            // The policy admitted the request while it was being dropped; the unused slot is freed.
            let result = RunResult { run_us: 0, first_byte_us: 0, outcome: RunOutcome::Cancelled };
            self.queue.finish(self.ticket, &result);
        }
    }
}

/// Permission to run one request; dropping it reports the end of the run to the policy.
pub(crate) struct ExecutionSlot {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    duration: CallTicket,
    started: Instant,
    first_byte_us: Option<u64>,
    outcome: RunOutcome,
}

impl ExecutionSlot {
    fn new(queue: Arc<AdmissionQueue>, ticket: Ticket, kind: u32) -> Self {
        let started = Instant::now();
        let duration = queue.lock_durations().start(u64::from(kind), queue.clock.now_us());
        let outcome = RunOutcome::Cancelled;
        Self { queue, ticket, duration, started, first_byte_us: None, outcome }
    }

    fn run_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Records the time of the first byte of the response.
    pub(crate) fn record_first_byte(&mut self) {
        self.first_byte_us = Some(self.run_us());
    }

    /// Sets the outcome that is reported when the slot is dropped; the default is `Cancelled`.
    pub(crate) fn set_outcome(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ExecutionSlot {
    fn drop(&mut self) {
        let run_us = self.run_us();
        let first_byte_us = self.first_byte_us.unwrap_or(run_us);
        let end = match self.outcome {
            RunOutcome::Answered | RunOutcome::CallRefused => CallEnd::Complete,
            RunOutcome::Failed | RunOutcome::Cancelled => CallEnd::Incomplete,
            RunOutcome::Rejected => CallEnd::NotRun,
        };
        self.queue.lock_durations().end(self.duration, end, self.queue.clock.now_us());
        self.queue.finish(self.ticket, &RunResult { run_us, first_byte_us, outcome: self.outcome });
    }
}
