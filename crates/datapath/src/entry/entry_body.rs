use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tarragon_model::identity::InstanceId;
use tarragon_policy::routing::CallOutcome;
use tarragon_policy::routing::CallResult;
use tarragon_policy::routing::RoutePolicy;
use tarragon_policy::stop::CallDurations;
use tarragon_policy::stop::CallEnd;
use tarragon_policy::stop::CallTicket;

use crate::datapath::Clock;
use crate::entry::outgoing_call::OutgoingCall;
use crate::transport::Body;
use crate::transport::BoxError;

/// A call that the routing policy and the call durations count as in flight. Dropping the guard
/// reports the end of the call to both.
pub(crate) struct RouteGuard {
    route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    durations: Arc<Mutex<CallDurations>>,
    ticket: CallTicket,
    clock: Clock,
    service: String,
    target: InstanceId,
    started: Instant,
    kind: u32,
    latency_us: Option<u64>,
    /// Outcome of the call if the response is received completely.
    outcome_if_complete: CallOutcome,
    /// Outcome that is reported when the guard is dropped.
    outcome: CallOutcome,
}

impl RouteGuard {
    pub(crate) fn start(
        route: &Arc<Mutex<Box<dyn RoutePolicy>>>,
        durations: &Arc<Mutex<CallDurations>>,
        clock: Clock,
        target: InstanceId,
        call: &OutgoingCall,
    ) -> Self {
        let (service, kind, now_us) = (call.service.clone(), call.kind, clock.now_us());
        let mut policy = route.lock().expect("no thread panics while it holds the lock");
        policy.record_call_start(&service, target, now_us);
        drop(policy);
        let ticket = durations
            .lock()
            .expect("no thread panics while it holds the lock")
            .start(call.duration_kind, now_us);
        Self {
            route: Arc::clone(route),
            durations: Arc::clone(durations),
            ticket,
            clock,
            service,
            target,
            started: Instant::now(),
            kind,
            latency_us: None,
            outcome_if_complete: CallOutcome::Answered,
            outcome: CallOutcome::Cancelled,
        }
    }

    /// Records that the head of the response arrived. `outcome_if_complete` is the outcome of the
    /// call if the response is received completely.
    pub(crate) fn record_first_byte(&mut self, outcome_if_complete: CallOutcome) {
        self.outcome_if_complete = outcome_if_complete;
        self.latency_us = Some(crate::datapath::micros(self.started.elapsed()));
    }

    /// Sets the outcome that is reported when the guard is dropped; the default is `Cancelled`.
    pub(crate) fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        let elapsed = || crate::datapath::micros(self.started.elapsed());
        let latency_us = self.latency_us.unwrap_or_else(elapsed);
        let result = CallResult { latency_us, outcome: self.outcome, kind: self.kind };
        let now_us = self.clock.now_us();
        let mut policy = self.route.lock().expect("no thread panics while it holds the lock");
        policy.record_call_end(&self.service, self.target, &result, now_us);
        drop(policy);
        let end = match self.outcome {
            CallOutcome::Answered | CallOutcome::Errored => CallEnd::Complete,
            CallOutcome::Failed | CallOutcome::Cancelled => CallEnd::Incomplete,
            CallOutcome::Rejected | CallOutcome::NotRun => CallEnd::NotRun,
        };
        let mut durations =
            self.durations.lock().expect("no thread panics while it holds the lock");
        durations.end(self.ticket, end, now_us);
    }
}

/// Response body that is streamed to the caller, and reports the outcome of the call to the routing
/// policy.
pub(crate) struct EntryBody {
    body: Body,
    guard: Option<RouteGuard>,
}

impl EntryBody {
    pub(crate) fn new(body: Body, guard: RouteGuard) -> Self {
        let mut this = Self { body, guard: Some(guard) };
        if this.body.is_end_stream() {
            this.complete();
        }
        this
    }

    fn complete(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            let outcome = guard.outcome_if_complete;
            guard.set_outcome(outcome);
        }
    }

    fn fail(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.set_outcome(CallOutcome::Failed);
        }
    }
}

impl HttpBody for EntryBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Err(_))) => this.fail(),
            Poll::Ready(None) => this.complete(),
            Poll::Ready(Some(Ok(_))) if this.body.is_end_stream() => this.complete(),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
