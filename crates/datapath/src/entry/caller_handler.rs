use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use async_trait::async_trait;
use http::request::Parts;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Body as _;
use tarragon_model::call::CallContext;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_policy::retry::CallerThrottle;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;

use crate::datapath::ServingState;
use crate::entry::entry_span::EntrySpan;
use crate::entry::key_issue;
use crate::entry::outgoing_call::OutgoingCall;
use crate::entry::retry_rules::owner_not_reached;
use crate::entry::Forwarder;
use crate::interface::CallerInterface;
use crate::interface::InboundRequest;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::Http1Handler;
use crate::transport::LogRateLimiter;
use crate::transport::RequestBody;

/// Retry time that is sent to callers while the node is not ready, in ms.
const NOT_READY_RETRY_MS: u64 = 500;

/// Maximum average rate of log lines about requests with the outcome `answered`, in lines per
/// second.
const MAX_RESPONSE_LOG_LINES_PER_S: u32 = 5;

/// Maximum average rate of log lines about refused and failed requests, in lines per second.
const MAX_FAILURE_LOG_LINES_PER_S: u32 = 30;

/// Handles the requests of callers.
pub struct CallerHandler {
    forwarder: Arc<Forwarder>,
    throttle: Mutex<CallerThrottle>,
    interface: Arc<dyn CallerInterface>,
    serving: watch::Receiver<ServingState>,
    response_log: LogRateLimiter,
    failure_log: LogRateLimiter,
}

impl CallerHandler {
    /// Creates a handler that forwards the requests that the throttle admits.
    pub fn new(
        forwarder: Arc<Forwarder>,
        throttle: CallerThrottle,
        interface: Arc<dyn CallerInterface>,
        serving: watch::Receiver<ServingState>,
    ) -> Self {
        let clock = forwarder.dependencies.clock;
        Self {
            forwarder,
            throttle: Mutex::new(throttle),
            interface,
            serving,
            response_log: LogRateLimiter::new(clock, MAX_RESPONSE_LOG_LINES_PER_S),
            failure_log: LogRateLimiter::new(clock, MAX_FAILURE_LOG_LINES_PER_S),
        }
    }

    fn throttle(&self) -> MutexGuard<'_, CallerThrottle> {
        self.throttle.lock().expect("no thread panics while it holds the lock")
    }

    async fn process(&self, request: Request<RequestBody>) -> Result<Response<Body>, CallFailure> {
        let is_keyed = self.interface.has_idempotency_key(request.headers());
        if *self.serving.borrow() == ServingState::NotReady {
            let failure = CallFailure::retry_after(Reason::NotReady, NOT_READY_RETRY_MS);
            return Err(failure_before_owner(failure, is_keyed));
        }
        let is_key_request = self.interface.issues_keys()
            && request.method() == Method::POST
            && request.uri().path() == key_issue::KEYS_PATH;
        if is_key_request {
            return key_issue::issue(&self.forwarder, request.uri().query());
        }
        let (mut parts, body) = request.into_parts();
        let settings = &self.forwarder.dependencies.settings;
        let catalogue = Arc::clone(&self.forwarder.dependencies.catalogue.borrow());
        let inbound = self.interface.read_request(&mut parts, &catalogue, settings)?;
        drop(catalogue);
        let is_refused = match *self.serving.borrow() {
            ServingState::FinishingOnly => true,
            ServingState::BackendCallsOnly { .. } => !self.expires_with_execution(&inbound),
            ServingState::NotReady | ServingState::Ready | ServingState::Closing { .. } => false,
        };
        if is_refused {
            // The caller was asked earlier to reconnect, and other nodes can serve it immediately.
            // Here it could still run when the process is killed.
            return Err(failure_before_owner(Reason::Draining.into(), is_keyed));
        }
        if body.size_hint().lower() > inbound.max_body_bytes {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(CallFailure::with_status(Reason::BadRequest, status));
        }
        let rank = inbound.rank;
        let Some(caller) = self.interface.caller_digest(&parts) else {
            return self.forward(parts, body, inbound).await;
        };
        let clock = self.forwarder.dependencies.clock;
        let admitted = self.throttle().admit(&caller, rank, clock.now_us());
        admitted.map_err(|refusal| failure_before_owner(refusal.into(), is_keyed))?;
        let result = self.forward(parts, body, inbound).await;
        let outcome = result.as_ref().err().map_or(Outcome::Answered, CallFailure::outcome);
        self.throttle().record_end(&caller, rank, outcome, clock.now_us());
        result
    }

    async fn forward(
        &self,
        parts: Parts,
        body: RequestBody,
        mut inbound: InboundRequest,
    ) -> Result<Response<Body>, CallFailure> {
        let started = Instant::now();
        let settings = &self.forwarder.dependencies.settings;
        let may_be_server_call = self.may_be_server_call(&inbound);
        let is_keyed = inbound.key.is_some();
        let request_id = self.forwarder.next_request_id();
        let tokens = inbound
            .max_attempts
            .map_or(settings.retry_tokens, |max_attempts| max_attempts.saturating_sub(1));
        let span = EntrySpan::open(&self.forwarder, tokens);
        let deadline = inbound.requested_deadline.unwrap_or(inbound.default_deadline);
        let context = CallContext {
            request_id,
            span: None,
            deadline_ms: crate::datapath::remaining_us(deadline) / 1_000,
            importance: inbound.rank,
            depth: 0,
            key: inbound.key.take(),
        };
        let revision = inbound.revision;
        let request = (parts, body);
        let max_replay_bytes = settings.max_replay_bytes;
        let crashes = &self.forwarder.dependencies.crashes;
        let call = OutgoingCall::read(
            request,
            inbound,
            context,
            deadline,
            span.id,
            max_replay_bytes,
            crashes,
        )
        .await;
        let mut call = call.map_err(|failure| failure_before_owner(failure, is_keyed))?;
        call.may_be_server_call = may_be_server_call;
        let result = self.forwarder.forward(&call).await;
        self.log_outcome(&call, revision, started, &result);
        result
    }

    /// Whether the node's backend server may have made the request, judged by its deadline.
    fn may_be_server_call(&self, inbound: &InboundRequest) -> bool {
        inbound.caller_deadline.is_some_and(|at| {
            self.forwarder.dependencies.gate.backend_calls.may_come_from_backend(at)
        })
    }

    /// Whether the request expires together with one that the node's backend server runs, as the calls
    /// of the backend server do.
    fn expires_with_execution(&self, inbound: &InboundRequest) -> bool {
        inbound.caller_deadline.is_some_and(|at| {
            self.forwarder.dependencies.gate.backend_calls.expires_with_execution(at)
        })
    }

    /// Logs the outcome of a request and the attributes that determined it.
    fn log_outcome(
        &self,
        call: &OutgoingCall,
        revision: u64,
        started: Instant,
        result: &Result<Response<Body>, CallFailure>,
    ) {
        let log = if result.is_ok() { &self.response_log } else { &self.failure_log };
        let Some(unlogged) = log.admit() else { return };
        let (outcome, reason, status, retry_after_ms) = match result {
            Ok(response) => (Outcome::Answered, "", response.status(), 0),
            Err(f) => (f.outcome(), f.reason.as_str(), f.status, f.retry_after_ms),
        };
        info!(
            request = call.caller_request_id,
            id = %call.context.request_id,
            service = call.service,
            rank = call.context.importance,
            revision,
            allowed_ms = call.context.deadline_ms,
            elapsed_ms = crate::datapath::micros(started.elapsed()) / 1_000,
            status = status.as_u16(),
            outcome = outcome.as_str(),
            reason,
            retry_after_ms,
            unlogged,
            "entry: request ended"
        );
    }
}

/// Converts a failure before the request was sent to the owner of its idempotency key, if it has
/// one.
fn failure_before_owner(failure: CallFailure, is_keyed: bool) -> CallFailure {
    if is_keyed {
        owner_not_reached(failure)
    } else {
        failure
    }
}

#[async_trait]
impl Http1Handler for CallerHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body> {
        let started = Instant::now();
        let result = self.process(request).await;
        let metrics = &self.forwarder.dependencies.metrics;
        metrics.record_duration_us("entry.first_byte", crate::datapath::micros(started.elapsed()));
        let outcome = result.as_ref().err().map_or(Outcome::Answered, CallFailure::outcome);
        // The counters of outcomes have no prefix, unlike the other metrics of the entry.
        metrics.count(outcome.as_str(), 1);
        if let Err(failure) = &result {
            debug!("entry: {outcome}: {}", failure.reason);
        }
        let is_closing = matches!(
            *self.serving.borrow(),
            ServingState::Closing { .. }
                | ServingState::BackendCallsOnly { .. }
                | ServingState::FinishingOnly
        );
        self.interface.write_response(result, is_closing)
    }
}
