use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRefusal;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::error;

use crate::datapath::Clock;
use crate::transport::CallFailure;

type Decision = Result<(), AdmissionRefusal>;

struct DeskState {
    policy: Box<dyn AdmissionPolicy>,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    running: usize,
    /// When the timer polls next, in µs.
    armed_us: Option<u64>,
}

/// Shell around the admission policy: parks waiting requests and accounts for slots.
pub(crate) struct Desk {
    state: Mutex<DeskState>,
    changed: Notify,
    clock: Clock,
}

impl Desk {
    pub(crate) fn new(policy: Box<dyn AdmissionPolicy>, clock: Clock) -> Self {
        let state = DeskState { policy, waiting: HashMap::new(), running: 0, armed_us: None };
        Self { state: Mutex::new(state), changed: Notify::new(), clock }
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Waits for a slot. Dropping the future withdraws the request.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        offer: &AdmissionRequest,
        deadline: Instant,
    ) -> Result<Slot, CallFailure> {
        let (ticket, receiver) = {
            let now_us = self.clock.now_us();
            let mut state = self.lock();
            match state.policy.offer(offer, now_us) {
                AdmissionDecision::Run(ticket) => {
                    state.running += 1;
                    self.rearm(&state);
                    return Ok(Slot::new(Arc::clone(self), ticket));
                }
                AdmissionDecision::Refuse(refusal) => {
                    // A new offer may evict less important requests even if it is refused.
                    self.release(&mut state);
                    return Err(refusal.into());
                }
                AdmissionDecision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    self.release(&mut state);
                    (ticket, receiver)
                }
            }
        };
        let mut waiting = WaitingOffer { desk: Arc::clone(self), ticket, receiver, is_done: false };
        let decision = tokio::time::timeout_at(deadline.into(), &mut waiting.receiver).await;
        match decision {
            Ok(Ok(decision)) => {
                waiting.is_done = true;
                decision?;
                Ok(Slot::new(Arc::clone(self), ticket))
            }
            _ => Err(Reason::Late.into()),
        }
    }

    /// Tells the waiting requests what the policy decided about them.
    fn release(&self, state: &mut DeskState) {
        let now_us = self.clock.now_us();
        for release in state.policy.poll(now_us) {
            let (ticket, decision) = match release {
                QueueDecision::Run(ticket) => (ticket, Ok(())),
                QueueDecision::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if decision.is_ok() {
                state.running += 1;
            }
            // A send that fails means that the request is being dropped; its guard then reads
            // the decision from the channel, which holds it as long as the guard lives.
            match state.waiting.remove(&ticket) {
                Some(sender) => drop(sender.send(decision)),
                None => error!("gate: the policy released {ticket:?}, which was not waiting"),
            }
        }
        self.rearm(state);
    }

    /// Wakes the timer if the policy wants to be polled earlier than the timer is set for.
    fn rearm(&self, state: &DeskState) {
        let next_us = state.policy.next_poll_us();
        if next_us.is_some_and(|at| state.armed_us.is_none_or(|armed| at < armed)) {
            self.changed.notify_one();
        }
    }

    fn finish(&self, ticket: Ticket, result: &RunResult) {
        let mut state = self.lock();
        state.running -= 1;
        state.policy.finish(ticket, result, self.clock.now_us());
        self.release(&mut state);
    }

    /// Polls the policy whenever it is due, until stopped.
    pub(crate) async fn run_timer(&self, stop: &CancellationToken) {
        loop {
            let next_us = {
                let mut state = self.lock();
                state.armed_us = state.policy.next_poll_us();
                state.armed_us
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
                () = self.changed.notified() => {}
                () = due => {
                    self.release(&mut self.lock());
                    // A policy that stays due must not turn this loop into a busy one.
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
            }
        }
    }

    pub(crate) fn set_drain(&self, is_draining: bool) {
        let mut state = self.lock();
        state.policy.set_drain(is_draining, self.clock.now_us());
        self.release(&mut state);
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.policy.set_slots(slots, self.clock.now_us());
        self.release(&mut state);
    }

    pub(crate) fn advice(&self) -> AdmissionAdvice {
        self.lock().policy.advice(self.clock.now_us())
    }

    /// Numbers of running and of waiting requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.running, state.waiting.len())
    }
}

/// A request in the queue; dropping it withdraws the request.
struct WaitingOffer {
    desk: Arc<Desk>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Decision>,
    is_done: bool,
}

impl Drop for WaitingOffer {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let was_waiting = {
            let mut state = self.desk.lock();
            let was_waiting = state.waiting.remove(&self.ticket).is_some();
            if was_waiting {
                state.policy.withdraw(self.ticket, self.desk.clock.now_us());
                self.desk.release(&mut state);
            }
            was_waiting
        };
        if !was_waiting && matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            // Released in the same moment; the slot goes back unused.
            let result = RunResult { run_us: 0, first_byte_us: 0, outcome: RunOutcome::Cancelled };
            self.desk.finish(self.ticket, &result);
        }
    }
}

/// The right to run one request; dropping it ends the run.
pub(crate) struct Slot {
    desk: Arc<Desk>,
    ticket: Ticket,
    started: Instant,
    first_byte_us: Option<u64>,
    end: RunOutcome,
}

impl Slot {
    fn new(desk: Arc<Desk>, ticket: Ticket) -> Self {
        let started = Instant::now();
        Self { desk, ticket, started, first_byte_us: None, end: RunOutcome::Cancelled }
    }

    fn run_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Records that the answer began.
    pub(crate) fn first_byte(&mut self) {
        self.first_byte_us = Some(self.run_us());
    }

    /// Sets how the run ends when the slot is dropped; without this it counts as cancelled.
    pub(crate) fn set_end(&mut self, end: RunOutcome) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let run_us = self.run_us();
        let first_byte_us = self.first_byte_us.unwrap_or(run_us);
        self.desk.finish(self.ticket, &RunResult { run_us, first_byte_us, outcome: self.end });
    }
}
