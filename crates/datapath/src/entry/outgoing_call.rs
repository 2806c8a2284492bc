use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Instant;

use http::header::HOST;
use http::request::Parts;
use http::HeaderValue;
use http::Request;
use hyper::body::Body as _;
use tarragon_model::call::CallContext;
use tarragon_model::call::Reason;
use tarragon_model::identity::SpanId;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::quarantine::RequestFingerprint;

use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::interface::InboundRequest;
use crate::quarantine::SharedLedger;
use crate::transport::streamed;
use crate::transport::CallFailure;
use crate::transport::ReplayBody;
use crate::transport::RequestBody;
use crate::transport::PREFIX_TIMEOUT;
use crate::transport::SUSPECT_PREFIX_TIMEOUT;

/// A request that is forwarded to a gate.
pub(crate) struct OutgoingCall {
    pub(crate) service: String,
    /// Method, path and end-to-end headers.
    pub(crate) head: Parts,
    pub(crate) body: ReplayBody,
    pub(crate) context: CallContext,
    pub(crate) deadline: Instant,
    pub(crate) is_idempotent: bool,
    pub(crate) class: WorkClass,
    /// Maximum number of backend servers that the call may be sent to; `None` if only the retry
    /// tokens limit it.
    pub(crate) max_attempts: Option<u32>,
    /// Content of the request, by which crashes of backend servers are counted.
    pub(crate) fingerprint: RequestFingerprint,
    /// Identifier of the kind of request by which gates group measured run times.
    pub(crate) kind: u32,
    /// Identifier of the kind of call by which the node groups how long its calls take.
    pub(crate) duration_kind: u64,
    /// Request id that the caller sent, for logs.
    pub(crate) caller_request_id: String,
    /// Whether the node's backend server may have made the call while it runs another request.
    pub(crate) may_be_server_call: bool,
    /// Span that holds the retry tokens of the call in the ledger of this node.
    pub(crate) ledger_span: SpanId,
}

impl OutgoingCall {
    /// Creates a call from a request that a listener has read, and buffers its body for retries if
    /// it is small. Of a larger one the first bytes are read, by which the request is told apart; if
    /// servers have crashed under requests like it, the call waits longer for them.
    ///
    /// # Errors
    /// `Late` if a body to buffer is not complete by the deadline, `BadRequest` if it ends early.
    pub(crate) async fn read(
        (mut head, body): (Parts, RequestBody),
        inbound: InboundRequest,
        context: CallContext,
        deadline: Instant,
        ledger_span: SpanId,
        max_replay_bytes: u64,
        crashes: &SharedLedger,
    ) -> Result<Self, CallFailure> {
        let without_body = fingerprint_without_body(&head, &body, &inbound);
        let prefix_timeout = match crashes.has_crashed(without_body) {
            true => SUSPECT_PREFIX_TIMEOUT,
            false => PREFIX_TIMEOUT,
        };
        let has_body = !body.is_end_stream();
        let body = ReplayBody::read(streamed(body), max_replay_bytes, prefix_timeout);
        let body = tokio::time::timeout_at(deadline.into(), body).await;
        let body = body.map_err(|_| Reason::Late)?.map_err(|_| Reason::BadRequest)?;
        if has_body {
            body.write_length(&mut head.headers);
        }
        // Bytes that arrived in time differ each time that a request comes over a slow line.
        let fingerprint = match body.prefix() {
            Some(prefix) => fingerprint(&head, prefix, &inbound),
            None => without_body,
        };
        Ok(Self {
            duration_kind: duration_kind(&inbound),
            fingerprint,
            service: inbound.service,
            head,
            body,
            context,
            deadline,
            is_idempotent: inbound.is_idempotent,
            class: inbound.class,
            max_attempts: inbound.max_attempts,
            kind: inbound.kind,
            caller_request_id: inbound.caller_request_id,
            may_be_server_call: false,
            ledger_span,
        })
    }

    /// Creates the request to the gate for one attempt.
    pub(crate) fn gate_call(&self, attempt: u64, retry_tokens: u32, repeat_share: f64) -> GateCall {
        GateCall {
            service: self.service.clone(),
            request: Request::from_parts(self.head.clone(), self.body.attempt_body()),
            context: self.context.clone(),
            fingerprint: Some(self.fingerprint),
            request_kind: self.kind,
            attempt,
            retry_tokens,
            repeat_share,
            deadline: self.deadline,
            known_notice: None,
        }
    }

    pub(crate) fn attempt_key(&self, attempt: u64) -> AttemptKey {
        let CallContext { request_id, span, .. } = self.context;
        AttemptKey { request_id, span, attempt }
    }
}

fn duration_kind(inbound: &InboundRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&inbound.service, inbound.kind, inbound.rank, inbound.class as u8).hash(&mut hasher);
    hasher.finish()
}

/// Fingerprint of a request. A body counts with its first bytes, so that it does not matter whether it
/// comes with a length or in chunks.
fn fingerprint(head: &Parts, prefix: &[u8], inbound: &InboundRequest) -> RequestFingerprint {
    let [method, host, path, caller] = head_parts(head, inbound);
    RequestFingerprint::of(&[method, host, path, caller, prefix])
}

/// Fingerprint of all requests like this one whose first bytes do not arrive in time.
fn fingerprint_without_body(
    head: &Parts,
    body: &RequestBody,
    inbound: &InboundRequest,
) -> RequestFingerprint {
    let [method, host, path, caller] = head_parts(head, inbound);
    let length = body.size_hint().exact().map_or([0xff; 8], u64::to_be_bytes);
    RequestFingerprint::of(&[method, host, path, caller, b"without body", &length])
}

/// What tells requests apart beside their bodies.
fn head_parts<'a>(head: &'a Parts, inbound: &'a InboundRequest) -> [&'a [u8]; 4] {
    let host = head.headers.get(HOST).map_or(&[][..], HeaderValue::as_bytes);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = inbound.calling_service.as_bytes();
    [head.method.as_str().as_bytes(), host, path.as_bytes(), caller]
}
