use std::net::SocketAddr;
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
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::retry::RetryPolicy;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::backend::BackendStatus;
use crate::backend::LocalBackend;
use crate::datapath::Clock;
use crate::datapath::DataPathSettings;
use crate::datapath::Metrics;
use crate::datapath::ServingState;
use crate::gate::admission_queue::AdmissionQueue;
use crate::gate::admission_queue::ExecutionSlot;
use crate::gate::admission_queue::RequestCounts;
use crate::gate::attempts::AttemptRegistry;
use crate::gate::backend_calls::BackendCalls;
use crate::gate::backend_pool::BackendPool;
use crate::gate::backend_pool::ConnectionLease;
use crate::gate::backend_pool::SendOutcome;
use crate::gate::crash_detector::CrashDetector;
use crate::gate::keys::IdempotencyKeys;
use crate::gate::response_body::Execution;
use crate::gate::response_body::ResponseBody;
use crate::gate::retry_token_guard::RetryTokenGuard;
use crate::gate::server_notices::ServerNotices;
use crate::gate::silence_detection::BodySize;
use crate::gate::spans::ActiveSpans;
use crate::gate::spans::SpanGuard;
use crate::gate::upload_body::UploadBody;
use crate::gate::upload_body::UploadProgress;
use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::gate::GateDependencies;
use crate::gate::GateResponse;
use crate::gate::SpanContext;
use crate::interface::BackendInterface;
use crate::interface::BackendRequest;
use crate::interface::ResponseVerdict;
use crate::quarantine::SharedLedger;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::LogRateLimiter;

/// Maximum number of connections tried for one request. Another one is tried if a pooled connection
/// turns out to be closed before a byte was written.
const MAX_CONNECTION_ATTEMPTS: usize = 4;

/// Maximum average rate of log lines about failed requests, in lines per second.
const MAX_FAILURE_LOG_LINES_PER_S: u32 = 30;

/// Highest status of an HTTP response (RFC 9110, section 15). The HTTP client accepts up to 999.
const MAX_STATUS: u16 = 599;

/// Decides on requests for the node's backend server and runs them.
pub struct Gate {
    pub(crate) settings: Arc<DataPathSettings>,
    pub(crate) clock: Clock,
    pub(crate) admission_queue: Arc<AdmissionQueue>,
    pub(crate) keys: Arc<IdempotencyKeys>,
    pub(crate) attempts: AttemptRegistry,
    pub(crate) spans: Arc<ActiveSpans>,
    pub(crate) backend_calls: BackendCalls,
    pub(crate) pool: Arc<BackendPool>,
    pub(crate) tracker: TaskTracker,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) status: watch::Receiver<BackendStatus>,
    pub(crate) backend: Arc<dyn LocalBackend>,
    pub(crate) retry: Arc<Mutex<Box<dyn RetryPolicy>>>,
    pub(crate) server_notices: ServerNotices,
    pub(crate) crashes: Arc<SharedLedger>,
    crash_detector: Arc<CrashDetector>,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    pub(super) serving: watch::Receiver<ServingState>,
    pub(crate) interface: Arc<dyn BackendInterface>,
    failure_log: LogRateLimiter,
}

impl Gate {
    /// Creates a gate; `GateService` runs its timers.
    pub fn new(dependencies: GateDependencies) -> Self {
        let GateDependencies { settings, clock, admission, once, retry, backend, .. } =
            dependencies;
        let GateDependencies { catalogue, serving, key, metrics, interface, crashes, .. } =
            dependencies;
        let tracker = TaskTracker::new();
        let spans = Arc::<ActiveSpans>::default();
        let pool = BackendPool::new(
            settings.max_backend_connections,
            Duration::from_millis(settings.backend_idle_ms),
            Duration::from_millis(settings.connect_timeout_ms),
            tracker.clone(),
        );
        let crash_detector = Arc::new(CrashDetector::new(Arc::clone(&crashes), tracker.clone()));
        Self {
            admission_queue: Arc::new(AdmissionQueue::new(admission, clock)),
            keys: Arc::new(IdempotencyKeys::new(once, clock, key)),
            attempts: AttemptRegistry::new(settings.max_tracked_attempts),
            backend_calls: BackendCalls::new(clock, Arc::clone(&spans)),
            spans,
            pool: Arc::new(pool),
            settings,
            clock,
            tracker,
            metrics,
            status: backend.status(),
            backend,
            retry,
            server_notices: ServerNotices::new(clock),
            crash_detector,
            crashes,
            catalogue,
            serving,
            interface,
            failure_log: LogRateLimiter::new(clock, MAX_FAILURE_LOG_LINES_PER_S),
        }
    }

    /// Decides on a call and runs it. Dropping the future cancels the run, unless the call has an
    /// idempotency key.
    pub async fn call(self: &Arc<Self>, call: GateCall) -> GateResponse {
        let id = SpanId(rand::random());
        let context = SpanContext {
            request_id: call.context.request_id,
            rank: call.context.importance,
            depth: call.context.depth,
            deadline: call.deadline,
            cancelled: CancellationToken::new(),
        };
        let retry_tokens = RetryTokenGuard::open(self, id, call.retry_tokens);
        let span = self.spans.open(id, context);
        let request_id = call.context.request_id;
        let service = call.service.clone();
        let request_kind = call.request_kind;
        let request_tag = self.interface.correlation_tag(call.request.headers());
        let started = Instant::now();
        let known_notice = call.known_notice;
        if let Some(known) = &known_notice {
            self.adopt_notice(known);
        }
        let result = match call.context.key.clone() {
            Some(key) => self.run_keyed(key, call, span).await,
            None => self.run_unkeyed(call, span).await,
        };
        if let Err(failure) = &result {
            self.log_failure(request_tag.as_ref(), request_id, &service, started, failure);
            // The counters of reasons have no prefix, unlike the other counters of the gate.
            self.metrics.count(failure.reason.as_str(), 1);
        }
        GateResponse {
            result,
            unused_tokens: retry_tokens.close(),
            advice: Some(self.admission_queue.advice()),
            run_time: self.admission_queue.mean_run_time(request_kind),
            notice: self.report_notice(known_notice.as_ref()),
        }
    }

    /// Logs why a request failed, and the state of this gate at that time. The message "request has
    /// no answer" covers requests that this gate refused, requests that the backend server rejected
    /// in its response, and requests without a valid response.
    fn log_failure(
        &self,
        request_tag: Option<&HeaderValue>,
        request_id: RequestId,
        service: &str,
        started: Instant,
        failure: &CallFailure,
    ) {
        let Some(unlogged) = self.failure_log.admit() else { return };
        let RequestCounts { running, waiting } = self.admission_queue.counts();
        let advice = self.admission_queue.advice();
        let status = self.status.borrow();
        info!(
            request = request_tag.and_then(|value| value.to_str().ok()).unwrap_or(""),
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

    async fn run_unkeyed(
        self: &Arc<Self>,
        call: GateCall,
        span: SpanGuard,
    ) -> Result<Response<Body>, CallFailure> {
        let slot =
            self.admission_queue.admit(&self.admission_request(&call)?, call.deadline).await?;
        let response = self.execute(call, span, slot).await?;
        Ok(response.map(BodyExt::boxed_unsync))
    }

    /// Address for the backend server, if it accepts requests for the service.
    fn ready_address(&self, service: &str) -> Result<SocketAddr, CallFailure> {
        let status = self.status.borrow();
        if status.service != service {
            return Err(Reason::NoServer.into());
        }
        if self.server_notices.is_leaving(status.started_at_ms) {
            return Err(Reason::Draining.into());
        }
        match status.state {
            BackendState::Ready | BackendState::Starting => {
                status.address.ok_or_else(|| Reason::NoServer.into())
            }
            BackendState::Draining => Err(Reason::Draining.into()),
            BackendState::Absent => Err(Reason::NoServer.into()),
        }
    }

    /// Describes a request for the admission policy. Fails if the backend server does not accept
    /// requests for the service or if the deadline has passed.
    pub(crate) fn admission_request(
        &self,
        call: &GateCall,
    ) -> Result<AdmissionRequest, CallFailure> {
        self.ready_address(&call.service)?;
        self.check_end_before_stop(call)?;
        self.check_quarantine(call.fingerprint)?;
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

    /// Expected run time, in ms; 0 if the operation is not in this node's catalogue yet.
    fn expected_ms(&self, call: &GateCall) -> u64 {
        let catalogue = self.catalogue.borrow();
        let (method, path) = (call.request.method().as_str(), call.request.uri().path());
        let operation = catalogue.find_operation(&call.service, method, path);
        operation.map_or(0, |found| found.operation.expected_ms)
    }

    /// Sends an admitted request to the backend server and returns its response.
    pub(crate) async fn execute(
        &self,
        call: GateCall,
        mut span: SpanGuard,
        mut slot: ExecutionSlot,
    ) -> Result<Response<ResponseBody>, CallFailure> {
        let deadline = call.deadline;
        let (repeat_share, fingerprint) = (call.repeat_share, call.fingerprint);
        let attempt = AttemptKey {
            request_id: call.context.request_id,
            span: call.context.span,
            attempt: call.attempt,
        };
        let address = self.ready_address(&call.service)?;
        // The node may have begun to stop while this request waited for its slot.
        self.check_end_before_stop(&call)?;
        let started_at_ms = self.status.borrow().started_at_ms;
        let request_tag = self.interface.correlation_tag(call.request.headers());
        let (mut request, upload) = self.backend_request(call, span.id(), address);
        let body_size = BodySize::of(request.body());
        let run = self.crash_detector.start_run(fingerprint, address)?;
        let mut is_started = false;
        for _ in 0..MAX_CONNECTION_ATTEMPTS {
            let mut lease = self.pool.checkout(address, body_size, deadline).await?;
            // Others may have crashed servers while this request waited for a slot or a connection.
            self.check_quarantine(fingerprint)?;
            if !is_started {
                self.record_attempt_start(attempt, deadline)?;
                if let Some(fingerprint) = fingerprint {
                    let tag = request_tag.as_ref().and_then(|tag| tag.to_str().ok());
                    self.crashes.log_sending(fingerprint, tag.unwrap_or(""));
                }
                span.set_running();
                self.backend_calls.record_run(repeat_share);
                is_started = true;
            }
            let sent_at = Instant::now();
            match lease.send(request, deadline).await {
                SendOutcome::NotSent(unsent) => request = *unsent,
                SendOutcome::Failed(failure) => {
                    slot.set_outcome(RunOutcome::Failed);
                    if failure.reason == Reason::ConnectionLost {
                        run.check().await;
                    }
                    return Err(failure);
                }
                SendOutcome::ResponseHead(response) => {
                    slot.record_first_byte();
                    let is_early = !upload.is_done();
                    let outcome_if_complete = self.run_outcome_for(response.status());
                    let (head, incoming) = response.into_parts();
                    let verdict = self.interface.classify_response(request_tag.as_ref(), &head);
                    if verdict != ResponseVerdict::Mismatched {
                        self.record_notice(&head, started_at_ms, sent_at);
                    }
                    let response = Response::from_parts(head, incoming);
                    if let Some(failure) = failure_from_verdict(verdict) {
                        slot.set_outcome(RunOutcome::Rejected);
                        span.end();
                        return Err(failure);
                    }
                    let is_mismatched = verdict == ResponseVerdict::Mismatched;
                    if is_mismatched || !self.is_valid_response(&response, &lease) {
                        slot.set_outcome(RunOutcome::Failed);
                        return Err(Reason::BadAnswer.into());
                    }
                    // A failing server may send an error without having run the request.
                    let is_answer = !response.status().is_server_error();
                    let execution = Execution {
                        run,
                        is_answer,
                        lease,
                        slot,
                        span,
                        upload,
                        is_early,
                        outcome_if_complete,
                        allows_trailing_bytes: self.interface.allows_trailing_bytes(),
                    };
                    return Ok(response_to_caller(response, execution, deadline));
                }
            }
        }
        span.end();
        Err(Reason::NoServer.into())
    }

    /// Outcome of a run whose response has this status, if the response is received completely.
    fn run_outcome_for(&self, status: StatusCode) -> RunOutcome {
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => RunOutcome::Rejected,
            _ if self.backend_calls.is_caused_by_refused_call(status) => {
                self.metrics.count("gate.call_refused", 1);
                RunOutcome::CallRefused
            }
            _ => RunOutcome::Answered,
        }
    }

    /// Builds the request for the backend server, with the context of its execution. Also returns what
    /// tells how much of the request body has been read.
    fn backend_request(
        &self,
        call: GateCall,
        span: SpanId,
        address: SocketAddr,
    ) -> (Request<Body>, Arc<UploadProgress>) {
        let GateCall { service, request, context, deadline, .. } = call;
        let (mut parts, body) = request.into_parts();
        let deadline_ms = crate::datapath::remaining_us(deadline) / 1_000;
        let context = CallContext { span: Some(span), deadline_ms, ..context };
        let server_id = self.status.borrow().server_id.clone();
        let backend_request = BackendRequest {
            service: &service,
            context: &context,
            deadline,
            server_id: server_id.as_deref(),
        };
        self.interface.write_headers(&mut parts, &backend_request);
        if !parts.headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&address.to_string());
            parts.headers.insert(header::HOST, host.expect("an address is visible ASCII"));
        }
        parts.version = http::Version::HTTP_11;
        if !body.is_end_stream() && body.size_hint().exact().is_none() {
            // The HTTP client would send a GET or HEAD request without such a body.
            parts.headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        let (upload, progress) = UploadBody::new(body);
        (Request::from_parts(parts, upload.boxed_unsync()), progress)
    }

    /// Whether the response has a status of HTTP, is not an upgrade, its end can be detected and no
    /// bytes follow an empty body. The interface may waive the last two conditions.
    fn is_valid_response(&self, response: &Response<Incoming>, lease: &ConnectionLease) -> bool {
        let body = response.body();
        let is_framed = body.is_end_stream()
            || body.size_hint().exact().is_some()
            || response.headers().contains_key(header::TRANSFER_ENCODING);
        let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
        let has_trailing_bytes = body.is_end_stream()
            && lease.body_bytes() > 0
            && !response.headers().contains_key(header::TRANSFER_ENCODING);
        (is_framed || self.interface.allows_close_delimited_body())
            && response.status().as_u16() <= MAX_STATUS
            && !is_upgrade
            && (!has_trailing_bytes || self.interface.allows_trailing_bytes())
    }
}

/// Failure to report if the backend server states that it did not run the request.
fn failure_from_verdict(verdict: ResponseVerdict) -> Option<CallFailure> {
    match verdict {
        ResponseVerdict::NotRun { retry_after_ms } => {
            Some(CallFailure::retry_after(Reason::Rejected, retry_after_ms))
        }
        ResponseVerdict::Matching | ResponseVerdict::Mismatched => None,
    }
}

/// Removes internal headers from the response and wraps its body.
fn response_to_caller(
    response: Response<Incoming>,
    execution: Execution,
    deadline: Instant,
) -> Response<ResponseBody> {
    let (mut parts, incoming) = response.into_parts();
    strip_hop_headers(&mut parts.headers);
    strip_tarragon_headers(&mut parts.headers);
    // With the version of a server that speaks HTTP/1.0, a body without a length would be ended by the end
    // of the connection, and one that breaks off would look whole to the caller.
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, ResponseBody::new(incoming, execution, deadline))
}
