use std::time::Instant;

use http::request::Parts;
use http::Request;
use tarragon_model::call::CallContext;
use tarragon_model::identity::SpanId;
use tarragon_policy::admission::WorkClass;

use crate::gate::AttemptKey;
use crate::gate::GateCall;
use crate::transport::ReplayBody;

/// A request on its way to a gate.
pub(crate) struct OutgoingCall {
    pub(crate) service: String,
    /// Method, path and end-to-end headers.
    pub(crate) head: Parts,
    pub(crate) body: ReplayBody,
    pub(crate) context: CallContext,
    pub(crate) deadline: Instant,
    pub(crate) is_idempotent: bool,
    pub(crate) class: WorkClass,
    /// Most backend servers that it may reach; none if only the retry tokens bound them.
    pub(crate) max_attempts: Option<u32>,
    /// Kind of request, by which gates learn run times.
    pub(crate) kind: u32,
    /// Identifier that the caller gave it, for logs.
    pub(crate) label: String,
    /// Holder of the retry tokens at this node.
    pub(crate) ledger_span: SpanId,
}

impl OutgoingCall {
    /// The call as one attempt carries it.
    pub(crate) fn attempt(&self, attempt: u64, tokens: u32) -> GateCall {
        GateCall {
            service: self.service.clone(),
            request: Request::from_parts(self.head.clone(), self.body.attempt()),
            context: self.context.clone(),
            kind: self.kind,
            attempt,
            tokens,
            deadline: self.deadline,
        }
    }

    pub(crate) fn attempt_key(&self, attempt: u64) -> AttemptKey {
        let CallContext { request_id, span, .. } = self.context;
        AttemptKey { request_id, span, attempt }
    }
}
