use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use error_stack::Report;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tarragon_model::call::headers;
use tarragon_model::call::CallContext;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;
use tokio_util::task::TaskTracker;
use tracing::debug;
use tracing::info;

use crate::gate::AttemptKey;
use crate::gate::Gate;
use crate::gate::GateCall;
use crate::gate::GateResponse;
use crate::peer::peer_connection::header_value;
use crate::peer::stream_executor::StreamExecutor;
use crate::peer::PeerAuth;
use crate::peer::CONNECTION_WINDOW_BYTES;
use crate::peer::FENCE_PATH;
use crate::peer::HEARTBEAT_PATH;
use crate::peer::MAX_RESET_STREAMS;
use crate::peer::SEND_BUFFER_BYTES;
use crate::peer::STREAM_WINDOW_BYTES;
use crate::transport::empty;
use crate::transport::move_header;
use crate::transport::streamed;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::Body;
use crate::transport::BoundListener;
use crate::transport::CallFailure;
use crate::transport::RateLimitedWarning;

/// Time that a stopping node gives a peer to close its connection after the last request has ended.
/// A frozen peer never closes it, and the node must not wait for it. The time allows several round
/// trips to another region.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a stopping node gives a peer to read the last response on its connection. A peer that stands
/// still for less than this time loses nothing.
const PEER_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves calls, heartbeats and fences from other nodes.
pub struct PeerServer {
    listener: BoundListener,
    gate: Arc<Gate>,
    instance: InstanceId,
    auth: PeerAuth,
    refusal_log: RateLimitedWarning,
}

impl PeerServer {
    /// Binds the address; connections wait in the backlog until the service runs.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn bind(
        gate: Arc<Gate>,
        instance: InstanceId,
        auth: PeerAuth,
        active: TaskTrackerToken,
    ) -> std::io::Result<Self> {
        let listener = BoundListener::bind("peer", gate.settings.peer_address, active).await?;
        let refusal_log = RateLimitedWarning::new(gate.clock);
        Ok(Self { listener, gate, instance, auth, refusal_log })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        tracker: TaskTracker,
        stop: CancellationToken,
    ) {
        let server = Arc::clone(&self);
        let service = service_fn(move |request: Request<Incoming>| {
            let server = Arc::clone(&server);
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let streams = StreamExecutor::new(tracker);
        let connection = http2::Builder::new(streams.clone())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(SEND_BUFFER_BYTES)
            .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
            .max_local_error_reset_streams(None)
            .max_concurrent_streams(self.gate.settings.max_streams)
            .max_header_list_size(
                u32::try_from(self.gate.settings.max_header_bytes * 4).unwrap_or(u32::MAX),
            )
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    result = connection => result,
                    () = self.wait_until_overdue(&streams) => {
                        info!(%from, "gate: dropping a connection that the peer does not close");
                        return;
                    }
                }
            }
        };
        if let Err(e) = result {
            debug!("gate: connection from a peer failed: {e}");
        }
    }

    /// Waits until the peer has had enough time to read the last response and to close its connection.
    async fn wait_until_overdue(&self, streams: &StreamExecutor) {
        self.gate.spans.wait_until_empty().await;
        let close_until = tokio::time::Instant::now() + PEER_CLOSE_TIMEOUT;
        loop {
            let read_until = streams.last_ended().map(|ended| ended + PEER_READ_TIMEOUT);
            let until = read_until.map_or(close_until, |read_until| read_until.max(close_until));
            if until <= tokio::time::Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        if !self.auth.is_valid(request.method(), path, request.headers()) {
            self.gate.metrics.count("peer.bad_mac", 1);
            self.refusal_log.record("gate: a request between nodes has no valid hash");
            return CallFailure::with_status(Reason::BadRequest, StatusCode::FORBIDDEN)
                .into_response();
        }
        if request.headers().contains_key(headers::SERVICE) {
            return self.handle_call(request).await;
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEARTBEAT_PATH) => self.heartbeat(request.headers()),
            (&Method::POST, FENCE_PATH) => self.fence(request.headers()),
            _ => {
                CallFailure::with_status(Reason::BadRequest, StatusCode::NOT_FOUND).into_response()
            }
        }
    }

    fn heartbeat(&self, request: &HeaderMap) -> Response<Body> {
        self.gate.crashes.read(request);
        let known_notice = parse_header(request, headers::NOTICE);
        if let Some(known) = &known_notice {
            self.gate.adopt_notice(known);
        }
        let mut response = Response::new(empty());
        let map = response.headers_mut();
        if let Some(notice) = self.gate.report_notice(known_notice.as_ref()) {
            map.insert(headers::NOTICE, header_value(&notice.to_string()));
        }
        map.insert(headers::TARGET, header_value(&self.instance.to_string()));
        map.insert(headers::ADVICE, header_value(&self.gate.admission_queue.advice().to_string()));
        if request.contains_key(headers::CRASHES) {
            self.gate.crashes.write_suspects(map);
        } else {
            self.gate.crashes.write_news(map, None);
        }
        response
    }

    fn is_for_this_instance(&self, map: &HeaderMap) -> bool {
        parse_header::<InstanceId>(map, headers::TARGET) == Some(self.instance)
    }

    fn fence(&self, map: &HeaderMap) -> Response<Body> {
        let span = parse_header(map, headers::SPAN);
        let is_span_valid = span.is_some() || !map.contains_key(headers::SPAN);
        let identifiers =
            parse_header(map, headers::REQUEST_ID).zip(parse_header(map, headers::ATTEMPT));
        let deadline_ms = parse_header(map, headers::DEADLINE_MS);
        let (Some((request_id, attempt)), Some(deadline_ms), true) =
            (identifiers, deadline_ms, is_span_valid)
        else {
            return CallFailure::from(Reason::BadRequest).into_response();
        };
        let key = AttemptKey { request_id, span, attempt };
        let is_fenced = self.is_for_this_instance(map) && self.gate.fence(key, deadline_ms);
        let outcome = if is_fenced { Outcome::NotRun } else { Outcome::Unknown };
        let mut response = Response::new(empty());
        let value = HeaderValue::from_static(outcome.as_str());
        response.headers_mut().insert(headers::OUTCOME, value);
        response
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Response<Body> {
        let map = request.headers();
        let echoed_headers = [headers::REQUEST_ID, headers::ATTEMPT]
            .map(|name| (name.clone(), map.get(&name).cloned()));
        let fingerprint = parse_header(map, headers::FINGERPRINT);
        self.gate.crashes.read(map);
        let gate_response = match self.read_call(request) {
            Ok(call) => self.gate.call(call).await,
            Err((failure, unused_tokens)) => {
                GateResponse { unused_tokens, ..GateResponse::failed(failure) }
            }
        };
        let GateResponse { result, unused_tokens, advice, run_time, notice } = gate_response;
        let is_answered = result.is_ok();
        let retry_after_ms = result.as_ref().err().map_or(0, |failure| failure.retry_after_ms);
        let mut response = result.unwrap_or_else(CallFailure::into_response);
        let map = response.headers_mut();
        map.insert(headers::RETRY_AFTER_MS, retry_after_ms.into());
        if is_answered {
            let value = HeaderValue::from_static(Outcome::Answered.as_str());
            map.insert(headers::OUTCOME, value);
        }
        for (name, value) in echoed_headers {
            if let Some(value) = value {
                map.insert(name, value);
            }
        }
        map.insert(headers::RETRY_TOKENS, unused_tokens.into());
        if let Some(advice) = advice {
            map.insert(headers::ADVICE, header_value(&advice.to_string()));
        }
        if let Some(run_time) = run_time {
            map.insert(headers::RUN_TIME, header_value(&run_time.to_string()));
        }
        self.gate.crashes.write_news(map, fingerprint);
        if let Some(notice) = notice {
            map.insert(headers::NOTICE, header_value(&notice.to_string()));
        }
        response
    }

    /// Reads a call from a request.
    ///
    /// # Errors
    /// Returns the reason of the refusal and the retry tokens of the call, which go back to the
    /// caller.
    fn read_call(&self, request: Request<Incoming>) -> Result<GateCall, (CallFailure, u32)> {
        let arrived = Instant::now();
        let (mut parts, body) = request.into_parts();
        let map = &mut parts.headers;
        let retry_tokens = parse_header(map, headers::RETRY_TOKENS).unwrap_or(0);
        if !self.is_for_this_instance(map) {
            self.gate.metrics.count("gate.wrong_instance", 1);
            // A keyed request may have run at an earlier instance of this node. A request without a
            // key has no other copy, so it certainly did not run.
            let is_keyed = map.contains_key(headers::IDEMPOTENCY_KEY);
            let reason = if is_keyed { Reason::WrongInstance } else { Reason::NoServer };
            return Err((reason.into(), retry_tokens));
        }
        let context = CallContext::from_headers(map);
        let service = map.get(headers::SERVICE).and_then(|value| value.to_str().ok());
        let attempt = parse_header(map, headers::ATTEMPT);
        let (Ok(context), Some(service), Some(attempt)) = (context, service, attempt) else {
            return Err((Reason::BadRequest.into(), retry_tokens));
        };
        let service = service.to_string();
        let fingerprint = parse_header(map, headers::FINGERPRINT);
        let request_kind = parse_header(map, headers::KIND).unwrap_or(0);
        let repeat_share = parse_header(map, headers::REPEAT_SHARE).unwrap_or(0_u32);
        let repeat_share = f64::from(repeat_share) / 1_000.0;
        let known_notice = parse_header(map, headers::NOTICE);
        strip_hop_headers(map);
        move_header(map, &headers::UNUSED_KEY, &headers::IDEMPOTENCY_KEY);
        strip_tarragon_headers(map);
        let path = parts.uri.path_and_query().cloned();
        parts.uri = path.map_or_else(http::Uri::default, http::Uri::from);
        let limit_ms = self.gate.settings.max_deadline_ms;
        let deadline = arrived + Duration::from_millis(context.deadline_ms.min(limit_ms));
        let request = Request::from_parts(parts, streamed(body));
        Ok(GateCall {
            service,
            request,
            context,
            fingerprint,
            request_kind,
            attempt,
            retry_tokens,
            repeat_share,
            deadline,
            known_notice,
        })
    }
}

fn parse_header<T: std::str::FromStr>(map: &HeaderMap, name: HeaderName) -> Option<T> {
    map.get(name)?.to_str().ok()?.parse().ok()
}

#[async_trait]
impl Service for PeerServer {
    fn name(&self) -> &'static str {
        self.listener.name()
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let serve =
            |stream, from, tracker| Arc::clone(&self).serve(stream, from, tracker, stop.clone());
        self.listener.serve(usize::MAX, &stop, serve).await
    }
}
