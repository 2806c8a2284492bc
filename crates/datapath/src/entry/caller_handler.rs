use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_trait::async_trait;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tarragon_model::call::headers;
use tarragon_model::call::CallContext;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_policy::once::CallerDigest;
use tarragon_policy::retry::CallerThrottle;
use tracing::debug;

use crate::entry::forwarder::EntrySpan;
use crate::entry::inbound::Inbound;
use crate::entry::key_issue;
use crate::entry::outgoing_call::OutgoingCall;
use crate::entry::Forwarder;
use crate::transport::streamed;
use crate::transport::Body;
use crate::transport::Failure;
use crate::transport::Http1Handler;
use crate::transport::RemoteAddress;
use crate::transport::ReplayBody;

/// Answers callers.
pub struct CallerHandler {
    forwarder: Arc<Forwarder>,
    throttle: Mutex<CallerThrottle>,
}

impl CallerHandler {
    /// Creates a handler that forwards with the given forwarder what the throttle admits.
    pub fn new(forwarder: Arc<Forwarder>, throttle: CallerThrottle) -> Self {
        Self { forwarder, throttle: Mutex::new(throttle) }
    }

    fn throttle(&self) -> MutexGuard<'_, CallerThrottle> {
        self.throttle.lock().expect("no holder of the lock panics")
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let is_key_request =
            request.method() == Method::POST && request.uri().path() == key_issue::KEYS_PATH;
        if is_key_request {
            return key_issue::issue(&self.forwarder, request.uri().query());
        }
        let (mut parts, body) = request.into_parts();
        let settings = &self.forwarder.parts.settings;
        let catalogue = Arc::clone(&self.forwarder.parts.catalogue.borrow());
        let inbound = Inbound::read(&mut parts, &catalogue, settings)?;
        drop(catalogue);
        let (caller, rank) = (caller_of(&parts), inbound.rank);
        let clock = self.forwarder.parts.clock;
        self.throttle().admit(&caller, rank, clock.now_us())?;
        let result = self.forward(parts, body, inbound).await;
        let outcome = result.as_ref().err().map_or(Outcome::Answered, Failure::outcome);
        self.throttle().ended(&caller, rank, outcome, clock.now_us());
        result
    }

    async fn forward(
        &self,
        parts: Parts,
        body: Incoming,
        inbound: Inbound,
    ) -> Result<Response<Body>, Failure> {
        let settings = &self.forwarder.parts.settings;
        let request_id = self.forwarder.next_request_id();
        let span = EntrySpan::open(&self.forwarder, settings.retry_tokens);
        let deadline = inbound.asked.unwrap_or(inbound.default_deadline);
        let context = CallContext {
            request_id,
            span: None,
            deadline_ms: crate::datapath::left_us(deadline) / 1_000,
            importance: inbound.rank,
            depth: 0,
            key: inbound.key,
        };
        let body = ReplayBody::read(streamed(body), settings.keep_request_bytes);
        let body = tokio::time::timeout_at(deadline.into(), body).await;
        let body = body.map_err(|_| Reason::Late)?.map_err(|_| Reason::BadRequest)?;
        let call = OutgoingCall {
            service: inbound.service,
            head: parts,
            body,
            context,
            deadline,
            is_idempotent: inbound.is_idempotent,
            class: inbound.class,
            ledger_span: span.id,
        };
        self.forwarder.forward(&call).await
    }
}

/// Tells callers apart by their credentials, or by their address if they send none.
fn caller_of(parts: &Parts) -> CallerDigest {
    let hash = match (parts.headers.get(AUTHORIZATION), parts.extensions.get::<RemoteAddress>()) {
        (Some(credentials), _) => blake3::hash(credentials.as_bytes()),
        (None, Some(RemoteAddress(address))) => blake3::hash(address.ip().to_string().as_bytes()),
        (None, None) => blake3::hash(&[]),
    };
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.as_bytes()[..16]);
    CallerDigest(digest)
}

/// Answer for a caller, with its outcome.
pub(crate) fn with_outcome(result: Result<Response<Body>, Failure>) -> Response<Body> {
    match result {
        Ok(mut response) => {
            let value = HeaderValue::from_static(Outcome::Answered.as_str());
            response.headers_mut().insert(headers::OUTCOME, value);
            response
        }
        Err(failure) => failure.into_response(),
    }
}

#[async_trait]
impl Http1Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let started = std::time::Instant::now();
        let result = self.answer(request).await;
        let metrics = &self.forwarder.parts.metrics;
        metrics.time_us("entry.first_byte", crate::datapath::micros(started.elapsed()));
        let outcome = result.as_ref().err().map_or(Outcome::Answered, Failure::outcome);
        metrics.count(outcome.as_str(), 1);
        if let Err(failure) = &result {
            debug!("entry: {outcome}: {}", failure.reason);
        }
        with_outcome(result)
    }
}
