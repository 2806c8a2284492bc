use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;
use tarragon_model::call::CallContext;
use tarragon_model::call::Reason;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tarragon_model::member::BackendState;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::once::OncePolicy;
use tarragon_policy::retry::RetryPolicy;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;
use tracing::info;

use crate::backend::BackendStatus;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::gate::answer_body::AnswerBody;
use crate::gate::answer_body::Execution;
use crate::gate::answer_body::UploadBody;
use crate::gate::attempts::Attempts;
use crate::gate::backend_calls::BackendCalls;
use crate::gate::backend_pool::BackendPool;
use crate::gate::backend_pool::Lease;
use crate::gate::backend_pool::Sent;
use crate::gate::desk::Desk;
use crate::gate::desk::Slot;
use crate::gate::keys::Keys;
use crate::gate::ledger_span::LedgerSpan;
use crate::gate::spans::SpanGuard;
use crate::gate::spans::Spans;
use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::gate::GateResponse;
use crate::gate::ParentSpan;
use crate::interface::BackendInterface;
use crate::interface::BackendRequest;
use crate::interface::ResponseVerdict;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::LogRateLimiter;

/// Tries on pooled connections that turn out to be closed before a byte was written.
const MAX_STALE_CONNECTIONS: usize = 4;

/// Most log lines about requests without an answer, a second.
const FAILURE_LINES_PER_S: u32 = 30;

/// What a gate is built from.
pub struct GateDependencies {
    /// Settings of the data path.
    pub settings: Arc<DataPathSettings>,
    /// Clock of the policies.
    pub clock: Clock,
    /// Decides what runs.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Key table.
    pub once: Box<dyn OncePolicy>,
    /// Ledger of the node.
    pub retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    /// State of the backend server.
    pub status: watch::Receiver<BackendStatus>,
    /// Catalogue in force.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
    /// Key for digests.
    pub key: DeploymentKey,
    /// Receiver of counters.
    pub metrics: Arc<dyn Metrics>,
    /// Headers to and from the backend server.
    pub interface: Arc<dyn BackendInterface>,
}

/// Decides on requests for the own backend server and runs them.
pub struct Gate {
    pub(crate) settings: Arc<DataPathSettings>,
    pub(crate) clock: Clock,
    pub(crate) desk: Arc<Desk>,
    pub(crate) keys: Arc<Keys>,
    pub(crate) attempts: Attempts,
    pub(crate) spans: Arc<Spans>,
    pub(crate) backend_calls: BackendCalls,
    pub(crate) pool: Arc<BackendPool>,
    pub(crate) tracker: TaskTracker,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) status: watch::Receiver<BackendStatus>,
    pub(crate) retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    interface: Arc<dyn BackendInterface>,
    failures: LogRateLimiter,
}

impl Gate {
    /// Creates a gate; `GateService` runs its timers.
    pub fn new(parts: GateDependencies) -> Self {
        let GateDependencies { settings, clock, admission, once, retry, status, .. } = parts;
        let GateDependencies { catalogue, key, metrics, interface, .. } = parts;
        let tracker = TaskTracker::new();
        let spans = Arc::<Spans>::default();
        let pool = BackendPool::new(
            settings.max_backend_connections,
            Duration::from_millis(settings.backend_idle_ms),
            Duration::from_millis(settings.connect_timeout_ms),
            tracker.clone(),
        );
        Self {
            desk: Arc::new(Desk::new(admission, clock)),
            keys: Arc::new(Keys::new(once, clock, key)),
            attempts: Attempts::new(settings.max_tracked_attempts),
            backend_calls: BackendCalls::new(clock, Arc::clone(&spans)),
            spans,
            pool: Arc::new(pool),
            settings,
            clock,
            tracker,
            metrics,
            status,
            retry,
            catalogue,
            interface,
            failures: LogRateLimiter::new(clock, FAILURE_LINES_PER_S),
        }
    }

    /// Decides on a call and runs it. Dropping the future cancels the run, unless it has a key.
    pub async fn call(self: &Arc<Self>, call: GateCall) -> GateResponse {
        let id = SpanId(rand::random());
        let parent = ParentSpan {
            request_id: call.context.request_id,
            rank: call.context.importance,
            depth: call.context.depth,
            deadline: call.deadline,
            cancelled: CancellationToken::new(),
        };
        let ledger = LedgerSpan::open(self, id, call.retry_tokens);
        let span = self.spans.open(id, parent);
        let request_id = call.context.request_id;
        let service = call.service.clone();
        let label = self.interface.correlation_tag(call.request.headers());
        let started = Instant::now();
        let result = match call.context.key.clone() {
            Some(key) => self.run_keyed(key, call, span).await,
            None => self.run_plain(call, span).await,
        };
        if let Err(failure) = &result {
            self.log_failure(label.as_ref(), request_id, &service, started, failure);
            self.metrics.count(failure.reason.as_str(), 1);
        }
        GateResponse { result, unused_tokens: ledger.close(), advice: Some(self.desk.advice()) }
    }

    /// Tells why a request has no answer, and what this gate believed when it decided.
    fn log_failure(
        &self,
        label: Option<&HeaderValue>,
        request_id: RequestId,
        service: &str,
        started: Instant,
        failure: &CallFailure,
    ) {
        let Some(unlogged) = self.failures.admit() else { return };
        let (running, waiting) = self.desk.counts();
        let advice = self.desk.advice();
        let status = self.status.borrow();
        info!(
            request = label.and_then(|value| value.to_str().ok()).unwrap_or(""),
            id = %request_id,
            service,
            server = status.server_id.as_deref().unwrap_or(""),
            server_state = ?status.state,
            running,
            waiting,
            limit = advice.limit,
            cutoff_rank = advice.cutoff_rank,
            elapsed_ms = crate::datapath::micros(started.elapsed()) / 1_000,
            outcome = failure.outcome().as_str(),
            reason = failure.reason.as_str(),
            retry_after_ms = failure.retry_after_ms,
            unlogged,
            "gate: request has no answer"
        );
    }

    async fn run_plain(
        self: &Arc<Self>,
        call: GateCall,
        span: SpanGuard,
    ) -> Result<Response<Body>, CallFailure> {
        let slot = self.desk.admit(&self.offer(&call)?, call.deadline).await?;
        let response = self.run(call, span, slot).await?;
        Ok(response.map(BodyExt::boxed_unsync))
    }

    /// Address of the backend server, if it takes work of the service.
    fn ready_address(&self, service: &str) -> Result<SocketAddr, CallFailure> {
        let status = self.status.borrow();
        if status.service != service {
            return Err(Reason::NoServer.into());
        }
        match status.state {
            BackendState::Ready | BackendState::Starting => {
                status.address.ok_or_else(|| Reason::NoServer.into())
            }
            BackendState::Draining => Err(Reason::Draining.into()),
            BackendState::Absent => Err(Reason::NoServer.into()),
        }
    }

    /// What the admission policy is told of a request, unless it is refused beforehand.
    pub(crate) fn offer(&self, call: &GateCall) -> Result<AdmissionRequest, CallFailure> {
        self.ready_address(&call.service)?;
        let deadline_left_us = crate::datapath::remaining_us(call.deadline);
        if deadline_left_us == 0 {
            return Err(Reason::Late.into());
        }
        let expected_ms = self.expected_ms(call);
        let is_long = expected_ms >= self.settings.long_work_ms;
        Ok(AdmissionRequest {
            request_id: call.context.request_id,
            rank: call.context.importance,
            kind: call.request_kind,
            class: if is_long { WorkClass::Long } else { WorkClass::Short },
            expected_us: expected_ms.saturating_mul(1_000),
            deadline_left_us,
        })
    }

    /// Expected run time, in ms; 0 if this node's catalogue does not know the operation yet.
    fn expected_ms(&self, call: &GateCall) -> u64 {
        let catalogue = self.catalogue.borrow();
        let (method, path) = (call.request.method().as_str(), call.request.uri().path());
        let operation = catalogue.find_operation(&call.service, method, path);
        operation.map_or(0, |found| found.operation.expected_ms)
    }

    /// Sends an admitted request to the backend server and returns its answer.
    pub(crate) async fn run(
        &self,
        call: GateCall,
        mut span: SpanGuard,
        mut slot: Slot,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let deadline = call.deadline;
        let repeat_share = call.repeat_share;
        let attempt = AttemptKey {
            request_id: call.context.request_id,
            span: call.context.span,
            attempt: call.attempt,
        };
        let address = self.ready_address(&call.service)?;
        let tag = self.interface.correlation_tag(call.request.headers());
        let (mut request, is_upload_done) = self.backend_request(call, span.id(), address);
        let mut is_started = false;
        for _ in 0..MAX_STALE_CONNECTIONS {
            let mut lease = self.pool.checkout(address, deadline).await?;
            if !is_started {
                self.start(attempt, deadline)?;
                span.set_running();
                self.backend_calls.record_run(repeat_share);
                is_started = true;
            }
            match lease.send(request, deadline).await {
                Sent::Unused(unsent) => request = *unsent,
                Sent::Failed(failure) => {
                    slot.set_end(RunOutcome::Failed);
                    return Err(failure);
                }
                Sent::Head(response) => {
                    slot.first_byte();
                    let whole_end = self.end_of(response.status());
                    let (head, incoming) = response.into_parts();
                    let verdict = self.interface.classify_response(tag.as_ref(), &head);
                    let response = Response::from_parts(head, incoming);
                    if let Some(failure) = rejection(verdict) {
                        slot.set_end(RunOutcome::Rejected);
                        span.end();
                        return Err(failure);
                    }
                    let is_foreign = verdict == ResponseVerdict::Mismatched;
                    if is_foreign || !self.is_framed(&response, &lease) {
                        slot.set_end(RunOutcome::Failed);
                        return Err(Reason::BadAnswer.into());
                    }
                    let execution = Execution {
                        lease,
                        slot,
                        span,
                        is_upload_done,
                        whole_end,
                        allows_surplus: self.interface.allows_trailing_bytes(),
                    };
                    return Ok(answer(response, execution, deadline));
                }
            }
        }
        span.end();
        Err(Reason::NoServer.into())
    }

    /// How a run ends that is answered with a status.
    fn end_of(&self, status: StatusCode) -> RunOutcome {
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => RunOutcome::Rejected,
            _ if self.backend_calls.explain(status) => {
                self.metrics.count("gate.call_refused", 1);
                RunOutcome::CallRefused
            }
            _ => RunOutcome::Answered,
        }
    }

    /// The request as the backend server sees it, with the context of its execution.
    fn backend_request(
        &self,
        call: GateCall,
        span: SpanId,
        address: SocketAddr,
    ) -> (Request<Body>, Arc<AtomicBool>) {
        let GateCall { service, request, context, deadline, .. } = call;
        let (mut parts, body) = request.into_parts();
        let deadline_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let context = CallContext { span: Some(span), deadline_ms, ..context };
        let server_id = self.status.borrow().server_id.clone();
        let about = BackendRequest {
            service: &service,
            context: &context,
            deadline,
            server_id: server_id.as_deref(),
        };
        self.interface.write_headers(&mut parts, &about);
        if !parts.headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&address.to_string());
            parts.headers.insert(header::HOST, host.expect("an address is visible ASCII"));
        }
        parts.version = http::Version::HTTP_11;
        let (upload, is_done) = UploadBody::new(body);
        (Request::from_parts(parts, upload.boxed_unsync()), is_done)
    }

    /// Whether the end of an answer can be told, and no bytes follow an empty body.
    fn is_framed(&self, response: &Response<Incoming>, lease: &Lease) -> bool {
        let body = response.body();
        let is_framed = body.is_end_stream()
            || body.size_hint().exact().is_some()
            || response.headers().contains_key(header::TRANSFER_ENCODING);
        let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
        let has_surplus = body.is_end_stream()
            && lease.body_bytes() > 0
            && !response.headers().contains_key(header::TRANSFER_ENCODING);
        (is_framed || self.interface.allows_close_delimited_body())
            && !is_upgrade
            && (!has_surplus || self.interface.allows_trailing_bytes())
    }

    /// Records that the attempt starts, unless it was fenced.
    fn start(&self, attempt: AttemptKey, deadline: Instant) -> Result<(), CallFailure> {
        let now_us = self.clock.now_us();
        let margin_us = self.settings.attempt_retention_ms * 1_000;
        let expires_us = now_us + crate::datapath::remaining_us(deadline) + margin_us;
        self.attempts.start(attempt, now_us, expires_us).map_err(CallFailure::from)
    }

    /// Forbids an attempt to start.
    ///
    /// # Errors
    /// Returns false if the attempt may have started.
    pub fn fence(&self, attempt: AttemptKey, deadline_ms: u64) -> bool {
        let now_us = self.clock.now_us();
        let deadline_ms = deadline_ms.min(self.settings.max_deadline_ms);
        let keep_ms = deadline_ms + self.settings.fence_retention_ms;
        let is_fenced = self.attempts.fence(attempt, now_us, now_us + keep_ms * 1_000);
        debug!("gate: fence of {} accepted: {is_fenced}", attempt.request_id);
        self.metrics.count(if is_fenced { "gate.fenced" } else { "gate.fence_late" }, 1);
        is_fenced
    }
}

/// What a refusal of the backend server itself means for the caller.
fn rejection(verdict: ResponseVerdict) -> Option<CallFailure> {
    match verdict {
        ResponseVerdict::NotRun { retry_after_ms } => {
            Some(CallFailure::retry_after(Reason::Rejected, retry_after_ms))
        }
        ResponseVerdict::Matching | ResponseVerdict::Mismatched => None,
    }
}

fn answer(
    response: Response<Incoming>,
    execution: Execution,
    deadline: Instant,
) -> Response<AnswerBody> {
    let (mut parts, incoming) = response.into_parts();
    strip_hop_headers(&mut parts.headers);
    strip_tarragon_headers(&mut parts.headers);
    Response::from_parts(parts, AnswerBody::new(incoming, execution, deadline))
}
