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
use tarragon_model::member::MemberRecord;
use tarragon_policy::quarantine::Suspicion;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::routing::CallOutcome;
use tarragon_policy::routing::RouteDecision;
use tarragon_policy::routing::RoutePolicy;
use tarragon_policy::routing::RouteQuery;
use tarragon_policy::stop::CallDurations;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;

use crate::claims::KeyClaims;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::datapath::ServingState;
use crate::entry::entry_body::EntryBody;
use crate::entry::entry_body::RouteGuard;
use crate::entry::outgoing_call::OutgoingCall;
use crate::entry::retry_rules::may_retry;
use crate::entry::retry_rules::owner_not_reached;
use crate::gate::Gate;
use crate::gate::GateResponse;
use crate::peer::PeerCallError;
use crate::peer::PeerPool;
use crate::quarantine::SharedLedger;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::LogRateLimiter;

/// Maximum number of times that a request is sent to another gate without a retry token, after a
/// gate refused it before it reached a backend server.
const MAX_REROUTES: u32 = 8;

/// Maximum average rate of log lines about requests that are sent again, in lines per second.
const MAX_RETRY_LOG_LINES_PER_S: u32 = 20;

/// Settings and services that a forwarder depends on.
pub struct ForwarderDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock whose times are passed to the policies.
    pub clock: Clock,
    /// Identity of this run of the node.
    pub instance: InstanceId,
    /// Gate of this node.
    pub gate: Arc<Gate>,
    /// Connections to the other nodes.
    pub peers: Arc<PeerPool>,
    /// Chooses the node that a call is sent to.
    pub route: Arc<Mutex<Box<dyn RoutePolicy>>>,
    /// Ledger of the retry tokens at this node.
    pub retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    /// Requests under which backend servers have crashed.
    pub(crate) crashes: Arc<SharedLedger>,
    /// Claims idempotency keys that no node issued.
    pub claims: Arc<dyn KeyClaims>,
    /// Catalogue in force.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Known members.
    pub members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    /// Receives counters and durations.
    pub metrics: Arc<dyn Metrics>,
    /// Whether the node accepts requests of callers, or stops.
    pub serving: watch::Receiver<ServingState>,
}

/// Sends requests to gates, and retries them where that is safe and the retry tokens allow it.
pub struct Forwarder {
    pub(crate) dependencies: ForwarderDependencies,
    next_request: AtomicU64,
    next_attempt: AtomicU64,
    retry_log: LogRateLimiter,
    /// How long calls take, by which a node that stops decides which calls it still takes.
    pub(super) durations: Arc<Mutex<CallDurations>>,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(dependencies: ForwarderDependencies) -> Self {
        let retry_log = LogRateLimiter::new(dependencies.clock, MAX_RETRY_LOG_LINES_PER_S);
        Self {
            dependencies,
            next_request: AtomicU64::new(1),
            next_attempt: AtomicU64::new(1),
            retry_log,
            durations: Arc::default(),
        }
    }

    /// Returns a request id that this node has not used yet.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let counter = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId { instance: self.dependencies.instance, counter }
    }

    /// How likely the call is to crash the server that runs it.
    fn suspicion(&self, call: &OutgoingCall) -> Suspicion {
        self.dependencies.crashes.suspicion(call.fingerprint)
    }

    fn route(&self) -> MutexGuard<'_, Box<dyn RoutePolicy>> {
        self.dependencies.route.lock().expect("no thread panics while it holds the lock")
    }

    pub(crate) fn retry(&self) -> MutexGuard<'_, Box<dyn RetryPolicy>> {
        self.dependencies.retry.lock().expect("no thread panics while it holds the lock")
    }

    /// Forwards a call until it gets a response or no further attempt is allowed.
    pub(crate) async fn forward(&self, call: &OutgoingCall) -> Result<Response<Body>, CallFailure> {
        let server_calls = &self.dependencies.gate.backend_calls;
        let repeat_share = if call.may_be_server_call { server_calls.repeat_share() } else { 0.0 };
        self.retry().record_attempt(&call.service, repeat_share, self.dependencies.clock.now_us());
        let result = match &call.context.key {
            Some(key) => self.forward_keyed(call, key, repeat_share).await,
            None if self.suspicion(call) == Suspicion::Quarantined => {
                Err(Reason::Quarantined.into())
            }
            None => self.forward_plain(call, repeat_share).await,
        };
        let is_overload = matches!(&result, Err(failure) if failure.reason.is_overload());
        if call.may_be_server_call && is_overload {
            server_calls.record_refusal();
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
        // If an earlier attempt may have run, the refusal of a later one must not be reported as
        // "not run".
        result.map_err(|failure| match unknown {
            Some(unknown) if failure.is_not_run() => unknown,
            _ => failure,
        })
    }

    /// Sends the call to one target after another. `unknown` is set to the failure of the last
    /// attempt that may have run.
    async fn try_targets(
        &self,
        call: &OutgoingCall,
        repeat_share: f64,
        unknown: &mut Option<CallFailure>,
    ) -> Result<Response<Body>, CallFailure> {
        let mut excluded = Vec::new();
        let mut last_failure = None;
        // Number of attempts that may have reached a backend server; `reached` in the log.
        let mut server_attempts = 0;
        let mut reroutes = 0;
        loop {
            self.check_end_before_stop(call)?;
            let target = self.choose_next(call, &excluded, last_failure)?;
            // An attempt after one that may have run repeats the work and the calls of that one.
            let repeat_share = if unknown.is_some() { 1.0 } else { repeat_share };
            let failure = match self.attempt(call, target, repeat_share).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed.failure,
            };
            if !failure.is_not_run() {
                *unknown = Some(failure);
            }
            let may_crash_server = !failure.is_not_run() && self.suspicion(call) >= Suspicion::High;
            if may_crash_server || !may_retry(call, failure) {
                return Err(failure);
            }
            // A request on a route with `max_attempts` has one token for each backend server beyond
            // the first. A refusal before the request reached the backend server cost that server
            // no work, so such a request is then sent to another gate without spending a token.
            let is_free = call.max_attempts.is_some() && !failure.reason.may_have_reached_server();
            server_attempts += u32::from(failure.reason.may_have_reached_server());
            reroutes += u32::from(is_free);
            let may_continue =
                if is_free { reroutes <= MAX_REROUTES } else { self.take_token(call) };
            if !may_continue {
                return Err(failure);
            }
            if let Some(unlogged) = self.retry_log.admit() {
                info!(
                    request = call.caller_request_id,
                    id = %call.context.request_id,
                    service = call.service,
                    target = %target,
                    reason = failure.reason.as_str(),
                    reached = server_attempts,
                    reroutes,
                    unlogged,
                    "route: request is sent again"
                );
            }
            self.dependencies.metrics.count("route.retried", 1);
            // After a successful fence, the target may be chosen again: the fence response arrived
            // over a new connection, so the gate itself works.
            if failure.reason != Reason::Fenced {
                excluded.push(target);
            }
            last_failure = Some(failure);
            self.wait_before_retry(call.deadline).await?;
        }
    }

    /// Forwards a keyed request to the owner of its key.
    ///
    /// Only the owner can report that the request did not run. If this node cannot reach the owner,
    /// the outcome is unknown, because an earlier copy may have run through another node.
    async fn forward_keyed(
        &self,
        call: &OutgoingCall,
        key: &IdempotencyKey,
        repeat_share: f64,
    ) -> Result<Response<Body>, CallFailure> {
        let owner = self.find_owner(call, key).await.map_err(owner_not_reached)?;
        loop {
            self.check_end_before_stop(call).map_err(owner_not_reached)?;
            let failure = match self.attempt(call, owner, repeat_share).await {
                Ok(response) => return Ok(response),
                Err(failed) if failed.is_from_gate => return Err(failed.failure),
                Err(failed) => failed.failure,
            };
            if !may_retry(call, failure) || !self.take_token(call) {
                return Err(owner_not_reached(failure));
            }
            debug!(
                "once: request with key {key} is sent again to the key owner after {}",
                failure.reason
            );
            self.wait_before_retry(call.deadline).await.map_err(owner_not_reached)?;
        }
    }

    fn take_token(&self, call: &OutgoingCall) -> bool {
        let now_us = self.dependencies.clock.now_us();
        self.retry().spend_token(call.ledger_span, &call.service, now_us)
    }

    /// Waits for a random delay, so that retries after the failure of a node do not arrive at once.
    async fn wait_before_retry(&self, deadline: Instant) -> Result<(), CallFailure> {
        let mean_us = self.dependencies.settings.mean_retry_delay_ms * 1_000;
        let wait_us = rand::random_range(0..=mean_us * 2);
        if wait_us >= crate::datapath::remaining_us(deadline) {
            return Err(Reason::Late.into());
        }
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
        Ok(())
    }

    /// Chooses the next target, with `last_failure` as the failure of the previous attempt. If no
    /// other target can be used after a lost connection, an excluded one may be chosen again, which
    /// gets the call over a new connection. After other failures, `last_failure` is returned.
    fn choose_next(
        &self,
        call: &OutgoingCall,
        excluded: &[InstanceId],
        last_failure: Option<CallFailure>,
    ) -> Result<InstanceId, CallFailure> {
        let chosen = self.choose(call, excluded);
        match (chosen, last_failure) {
            (Ok(target), _) => Ok(target),
            (Err(_), Some(failure)) if failure.reason == Reason::ConnectionLost => {
                self.choose(call, &[]).map_err(|_| failure)
            }
            (Err(refusal), last_failure) => Err(last_failure.unwrap_or(refusal)),
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
            kind: call.kind,
            excluded,
            needs_proven_connection: !call.is_idempotent,
        };
        match self.route().choose(&query, self.dependencies.clock.now_us()) {
            RouteDecision::Use(target) => Ok(target),
            RouteDecision::Refuse { reason, retry_after_ms } => {
                Err(CallFailure { retry_after_ms, ..CallFailure::from(reason) })
            }
        }
    }

    /// Finds the only gate that may run a request with this key.
    async fn find_owner(
        &self,
        call: &OutgoingCall,
        key: &IdempotencyKey,
    ) -> Result<InstanceId, CallFailure> {
        let owner = match key {
            IdempotencyKey::Issued { owner, .. } => *owner,
            IdempotencyKey::Foreign(text) => {
                let wanted = self.choose(call, &[])?;
                let claim = self.dependencies.claims.claim(&call.service, text, wanted);
                let claim = tokio::time::timeout_at(call.deadline.into(), claim).await;
                match claim {
                    Ok(Ok(owner)) => owner,
                    _ => return Err(Reason::ClaimUnavailable.into()),
                }
            }
        };
        let is_member = owner == self.dependencies.instance
            || self.dependencies.members.borrow().iter().any(|member| member.instance == owner);
        if is_member {
            Ok(owner)
        } else {
            debug!("once: key owner {owner} is not a member");
            Err(Reason::KeyUnknown.into())
        }
    }

    /// Sends the call to one target.
    async fn attempt(
        &self,
        call: &OutgoingCall,
        target: InstanceId,
        repeat_share: f64,
    ) -> Result<Response<Body>, AttemptFailure> {
        let not_from_gate = |failure| AttemptFailure { failure, is_from_gate: false };
        if crate::datapath::remaining_us(call.deadline) == 0 {
            return Err(not_from_gate(Reason::Late.into()));
        }
        let attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let tokens = self.retry().lend_tokens(call.ledger_span);
        let dependencies = &self.dependencies;
        let mut guard = RouteGuard::start(
            &dependencies.route,
            &self.durations,
            dependencies.clock,
            target,
            call,
        );
        debug!("route: {} attempt {attempt} goes to {target}", call.context.request_id);
        let gate_call = call.gate_call(attempt, tokens, repeat_share);
        let gate_response = if target == dependencies.instance {
            let gate_response = dependencies.gate.call(gate_call).await;
            if let Some(advice) = &gate_response.advice {
                let now_us = dependencies.clock.now_us();
                self.route().record_advice(&call.service, target, advice, now_us);
            }
            gate_response
        } else {
            let can_run_again = || call.is_idempotent && call.body.is_replayable();
            let peers = &dependencies.peers;
            let needs_recent_response = !call.is_idempotent;
            let sent =
                peers.call(target, gate_call, call.class, needs_recent_response, &can_run_again);
            match sent.await {
                Ok(gate_response) => gate_response,
                Err(e) => {
                    guard.set_outcome(CallOutcome::Failed);
                    drop(guard);
                    return Err(not_from_gate(
                        self.resolve_error(call, target, attempt, tokens, e).await,
                    ));
                }
            }
        };
        let GateResponse { result, unused_tokens, run_time, .. } = gate_response;
        if let Some(run_time) = run_time {
            let now_us = dependencies.clock.now_us();
            self.route().record_run_time(&call.service, target, &run_time, now_us);
        }
        self.retry().return_tokens(call.ledger_span, unused_tokens.min(tokens));
        match result {
            Ok(response) => {
                let is_error = response.status().is_server_error();
                guard.record_first_byte(if is_error {
                    CallOutcome::Errored
                } else {
                    CallOutcome::Answered
                });
                Ok(response.map(|body| EntryBody::new(body, guard).boxed_unsync()))
            }
            Err(failure) => {
                guard.set_outcome(match failure.reason {
                    Reason::Rejected => CallOutcome::Rejected,
                    _ if failure.is_not_run() => CallOutcome::NotRun,
                    _ => CallOutcome::Failed,
                });
                Err(AttemptFailure { failure, is_from_gate: true })
            }
        }
    }

    /// Determines the failure of an attempt without a response. If the connection was lost, it
    /// fences the attempt of a call that is not idempotent.
    async fn resolve_error(
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
            PeerCallError::Fenced => {
                self.retry().return_tokens(call.ledger_span, tokens);
                Reason::Fenced.into()
            }
            PeerCallError::ConnectionLost if call.is_idempotent => Reason::ConnectionLost.into(),
            PeerCallError::ConnectionLost => {
                let key = call.attempt_key(attempt);
                let fence = self.dependencies.peers.fence(target, call.class, key, call.deadline);
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

/// An attempt that gives no response of the backend server to pass on.
struct AttemptFailure {
    failure: CallFailure,
    /// Whether the gate reported the failure; otherwise this node or the connection caused it.
    is_from_gate: bool,
}
