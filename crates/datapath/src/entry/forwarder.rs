use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::Response;
use http_body_util::BodyExt;
use tarragon_model::call::Reason;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::identity::IdempotencyKey;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tarragon_model::member::MemberRecord;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::routing::CallOutcome;
use tarragon_policy::routing::RouteDecision;
use tarragon_policy::routing::RoutePolicy;
use tarragon_policy::routing::RouteQuery;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;

use crate::claims::KeyClaims;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::entry::entry_body::EntryBody;
use crate::entry::entry_body::RouteGuard;
use crate::entry::outgoing_call::OutgoingCall;
use crate::gate::Gate;
use crate::gate::GateResponse;
use crate::peer::PeerCallError;
use crate::peer::PeerPool;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::LogRateLimiter;

/// Most gates that are asked after others refused a request that reached no backend server.
const MAX_REROUTES: u32 = 8;

/// Most log lines about requests that are sent again, a second.
const RETRY_LINES_PER_S: u32 = 20;

/// What a forwarder is built from.
pub struct ForwarderDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock of the policies.
    pub clock: Clock,
    /// This life of the node.
    pub instance: InstanceId,
    /// The own gate.
    pub gate: Arc<Gate>,
    /// Connections to the other nodes.
    pub peers: Arc<PeerPool>,
    /// Chooses targets.
    pub route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    /// Ledger of the node.
    pub retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    /// Claims foreign keys.
    pub claims: Arc<dyn KeyClaims>,
    /// Catalogue in force.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Known members.
    pub members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    /// Receiver of counters.
    pub metrics: Arc<dyn Metrics>,
}

/// Sends requests to gates, and again where that is safe and the retry tokens allow it.
pub struct Forwarder {
    pub(crate) parts: ForwarderDependencies,
    next_request: AtomicU64,
    next_attempt: AtomicU64,
    retries: LogRateLimiter,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(parts: ForwarderDependencies) -> Self {
        let retries = LogRateLimiter::new(parts.clock, RETRY_LINES_PER_S);
        Self { parts, next_request: AtomicU64::new(1), next_attempt: AtomicU64::new(1), retries }
    }

    /// A request id that this node has not used.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let counter = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId { instance: self.parts.instance, counter }
    }

    fn route(&self) -> MutexGuard<'_, Box<dyn RoutePolicy>> {
        self.parts.route.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn retry(&self) -> MutexGuard<'_, Box<dyn RetryPolicy>> {
        self.parts.retry.lock().expect("no holder of the lock panics")
    }

    /// Forwards a call until there is an answer or nothing more may be tried.
    pub(crate) async fn forward(&self, call: &OutgoingCall) -> Result<Response<Body>, CallFailure> {
        let calls = &self.parts.gate.backend_calls;
        let repeat_share = if call.may_be_server_call { calls.repeat_share() } else { 0.0 };
        self.retry().record_attempt(&call.service, repeat_share, self.parts.clock.now_us());
        let result = match &call.context.key {
            Some(key) => self.forward_keyed(call, key, repeat_share).await,
            None => self.forward_plain(call, repeat_share).await,
        };
        let is_overload = matches!(&result, Err(failure) if failure.reason.is_overload());
        if call.may_be_server_call && is_overload {
            calls.record_refusal();
        }
        result
    }

    async fn forward_plain(
        &self,
        call: &OutgoingCall,
        repeat_share: f64,
    ) -> Result<Response<Body>, CallFailure> {
        let mut unknown = None;
        let result = self.try_targets(call, repeat_share, &mut unknown).await;
        // A refusal of a later attempt says nothing about an earlier one that may have run.
        result.map_err(|failure| match unknown {
            Some(unknown) if failure.is_not_run() => unknown,
            _ => failure,
        })
    }

    /// Sends the call to one target after the other; `unknown` tells of an attempt that may have
    /// run.
    async fn try_targets(
        &self,
        call: &OutgoingCall,
        repeat_share: f64,
        unknown: &mut Option<CallFailure>,
    ) -> Result<Response<Body>, CallFailure> {
        let mut excluded = Vec::new();
        let mut last = None;
        let (mut reached, mut reroutes) = (0, 0);
        loop {
            let target = self.choose_again(call, &excluded, last)?;
            // What follows an attempt that may have run repeats its work and its calls.
            let repeat_share = if unknown.is_some() { 1.0 } else { repeat_share };
            let failure = match self.attempt(call, target, repeat_share).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed.failure,
            };
            if !failure.is_not_run() {
                *unknown = Some(failure);
            }
            if !may_repeat(call, failure) {
                return Err(failure);
            }
            // A refusal before the backend server adds nothing to its work, so where a route bounds
            // the servers that a request may reach, another gate is asked without a token. Such a
            // request was given a token for each server beyond the first.
            let is_free = call.max_attempts.is_some() && !failure.reason.has_reached_server();
            reached += u32::from(failure.reason.has_reached_server());
            reroutes += u32::from(is_free);
            let may_go_on = if is_free { reroutes <= MAX_REROUTES } else { self.take_token(call) };
            if !may_go_on {
                return Err(failure);
            }
            if let Some(unlogged) = self.retries.admit() {
                info!(
                    request = call.caller_request_id,
                    id = %call.context.request_id,
                    service = call.service,
                    target = %target,
                    reason = failure.reason.as_str(),
                    reached,
                    reroutes,
                    unlogged,
                    "route: request is sent again"
                );
            }
            self.parts.metrics.count("route.retried", 1);
            // A fence answers over a new connection, so the gate itself is well.
            if failure.reason != Reason::Fenced {
                excluded.push(target);
            }
            last = Some(failure);
            self.wait_before_retry(call.deadline).await?;
        }
    }

    /// Forwards a keyed request to the owner of its key.
    ///
    /// Only the owner may say that it did not run. Whatever keeps this node from asking the owner
    /// leaves the outcome unknown, because an earlier copy may have run through another node.
    async fn forward_keyed(
        &self,
        call: &OutgoingCall,
        key: &IdempotencyKey,
        repeat_share: f64,
    ) -> Result<Response<Body>, CallFailure> {
        let owner = self.owner(call, key).await.map_err(unsettled)?;
        loop {
            let failure = match self.attempt(call, owner, repeat_share).await {
                Ok(response) => return Ok(response),
                Err(failed) if failed.is_from_gate => return Err(failed.failure),
                Err(failed) => failed.failure,
            };
            if !may_repeat(call, failure) || !self.take_token(call) {
                return Err(unsettled(failure));
            }
            debug!("once: {key} is sent again to its owner after {}", failure.reason);
            self.wait_before_retry(call.deadline).await.map_err(unsettled)?;
        }
    }

    fn take_token(&self, call: &OutgoingCall) -> bool {
        let now_us = self.parts.clock.now_us();
        self.retry().spend_token(call.ledger_span, &call.service, now_us)
    }

    /// Waits for a random time, so that callers of a failed server do not come back together.
    async fn wait_before_retry(&self, deadline: Instant) -> Result<(), CallFailure> {
        let mean_us = self.parts.settings.mean_retry_delay_ms * 1_000;
        let wait_us = rand::random_range(0..=mean_us * 2);
        if wait_us >= crate::datapath::remaining_us(deadline) {
            return Err(Reason::Late.into());
        }
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
        Ok(())
    }

    /// Chooses a target after a failure. If there is no other server, a call whose connection broke
    /// goes to the same one over a new connection; other failures stand.
    fn choose_again(
        &self,
        call: &OutgoingCall,
        excluded: &[InstanceId],
        last: Option<CallFailure>,
    ) -> Result<InstanceId, CallFailure> {
        let chosen = self.choose(call, excluded);
        match (chosen, last) {
            (Ok(target), _) => Ok(target),
            (Err(_), Some(last)) if last.reason == Reason::ConnectionLost => {
                self.choose(call, &[]).map_err(|_| last)
            }
            (Err(refusal), last) => Err(last.unwrap_or(refusal)),
        }
    }

    fn choose(
        &self,
        call: &OutgoingCall,
        excluded: &[InstanceId],
    ) -> Result<InstanceId, CallFailure> {
        let query = RouteQuery {
            service: &call.service,
            request_id: call.context.request_id,
            rank: call.context.importance,
            excluded,
            needs_proven_connection: !call.is_idempotent,
        };
        match self.route().choose(&query, self.parts.clock.now_us()) {
            RouteDecision::Use(target) => Ok(target),
            RouteDecision::Refuse { reason, retry_after_ms } => {
                Err(CallFailure { retry_after_ms, ..CallFailure::from(reason) })
            }
        }
    }

    /// The only gate that may run a keyed request.
    async fn owner(
        &self,
        call: &OutgoingCall,
        key: &IdempotencyKey,
    ) -> Result<InstanceId, CallFailure> {
        let owner = match key {
            IdempotencyKey::Issued { owner, .. } => *owner,
            IdempotencyKey::Foreign(text) => {
                let wanted = self.choose(call, &[])?;
                let claim = self.parts.claims.claim(&call.service, text, wanted);
                let claim = tokio::time::timeout_at(call.deadline.into(), claim).await;
                match claim {
                    Ok(Ok(owner)) => owner,
                    _ => return Err(Reason::ClaimUnavailable.into()),
                }
            }
        };
        let is_known = owner == self.parts.instance
            || self.parts.members.borrow().iter().any(|member| member.instance == owner);
        if is_known {
            Ok(owner)
        } else {
            debug!("once: the owner {owner} of a key is gone");
            Err(Reason::KeyUnknown.into())
        }
    }

    /// Sends the call once.
    async fn attempt(
        &self,
        call: &OutgoingCall,
        target: InstanceId,
        repeat_share: f64,
    ) -> Result<Response<Body>, FailedAttempt> {
        let unanswered = |failure| FailedAttempt { failure, is_from_gate: false };
        if crate::datapath::remaining_us(call.deadline) == 0 {
            return Err(unanswered(Reason::Late.into()));
        }
        let attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let tokens = self.retry().lend_tokens(call.ledger_span);
        let parts = &self.parts;
        let mut guard =
            RouteGuard::start(&parts.route, parts.clock, &call.service, target, call.kind);
        debug!("route: {} attempt {attempt} goes to {target}", call.context.request_id);
        let gate_call = call.attempt(attempt, tokens, repeat_share);
        let answer = if target == parts.instance {
            let answer = parts.gate.call(gate_call).await;
            if let Some(advice) = &answer.advice {
                let now_us = parts.clock.now_us();
                self.route().record_advice(&call.service, target, advice, now_us);
            }
            answer
        } else {
            let sent = parts.peers.call(target, gate_call, call.class, !call.is_idempotent);
            match sent.await {
                Ok(answer) => answer,
                Err(e) => {
                    guard.set_end(CallOutcome::Failed);
                    drop(guard);
                    return Err(unanswered(self.explain(call, target, attempt, tokens, e).await));
                }
            }
        };
        let GateResponse { result, unused_tokens, .. } = answer;
        self.retry().return_tokens(call.ledger_span, unused_tokens.min(tokens));
        match result {
            Ok(response) => {
                let is_error = response.status().is_server_error();
                guard.first_byte(if is_error {
                    CallOutcome::Errored
                } else {
                    CallOutcome::Answered
                });
                Ok(response.map(|body| EntryBody::new(body, guard).boxed_unsync()))
            }
            Err(failure) => {
                guard.set_end(match failure.reason {
                    Reason::Rejected => CallOutcome::Rejected,
                    _ if failure.is_not_run() => CallOutcome::NotRun,
                    _ => CallOutcome::Failed,
                });
                Err(FailedAttempt { failure, is_from_gate: true })
            }
        }
    }

    /// Finds out what became of an attempt without an answer.
    async fn explain(
        &self,
        call: &OutgoingCall,
        target: InstanceId,
        attempt: u64,
        tokens: u32,
        error: PeerCallError,
    ) -> CallFailure {
        match error {
            PeerCallError::Unsent => {
                self.retry().return_tokens(call.ledger_span, tokens);
                Reason::NoServer.into()
            }
            PeerCallError::DeadlinePassed => Reason::DeadlinePassed.into(),
            PeerCallError::ConnectionLost if call.is_idempotent => Reason::ConnectionLost.into(),
            PeerCallError::ConnectionLost => {
                let key = call.attempt_key(attempt);
                let fence = self.parts.peers.fence(target, call.class, key, call.deadline);
                if fence.await {
                    self.retry().return_tokens(call.ledger_span, tokens);
                    Reason::Fenced.into()
                } else {
                    Reason::ConnectionLost.into()
                }
            }
        }
    }
}

/// An attempt without an answer of the backend server.
struct FailedAttempt {
    failure: CallFailure,
    /// Whether the gate decided it, rather than this node or the connection.
    is_from_gate: bool,
}

/// What a caller is told when the owner of its key could not be asked.
pub(crate) fn unsettled(failure: CallFailure) -> CallFailure {
    if failure.is_not_run() {
        CallFailure { retry_after_ms: failure.retry_after_ms, ..Reason::OwnerUnreachable.into() }
    } else {
        failure
    }
}

/// Whether another attempt is safe and may help.
fn may_repeat(call: &OutgoingCall, failure: CallFailure) -> bool {
    let may_help = match failure.reason {
        Reason::NoServer | Reason::Shed | Reason::Draining | Reason::Rejected | Reason::Fenced => {
            true
        }
        // These may have run, so only work that may run twice is sent again.
        Reason::ConnectionLost | Reason::BadAnswer | Reason::WrongInstance => call.is_idempotent,
        _ => false,
    };
    may_help && call.body.is_replayable()
}

/// Retry tokens of a request that entered at this node; dropping it closes the ledger span.
pub(crate) struct EntrySpan<'a> {
    forwarder: &'a Forwarder,
    pub(crate) id: SpanId,
}

impl<'a> EntrySpan<'a> {
    pub(crate) fn open(forwarder: &'a Forwarder, tokens: u32) -> Self {
        let id = SpanId(rand::random());
        forwarder.retry().open_span(id, tokens);
        Self { forwarder, id }
    }
}

impl Drop for EntrySpan<'_> {
    fn drop(&mut self) {
        self.forwarder.retry().close_span(self.id);
    }
}
