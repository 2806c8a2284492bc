use std::sync::Arc;

use async_trait::async_trait;
use http::HeaderMap;
use http::Request;
use http::Response;
use tarragon_model::call::headers;
use tarragon_model::call::CallContext;
use tarragon_model::call::Reason;
use tarragon_model::identity::SpanId;
use tokio_util::sync::CancellationToken;

use crate::entry::entry_span::EntrySpan;
use crate::entry::outgoing_call::OutgoingCall;
use crate::entry::Forwarder;
use crate::gate::SpanContext;
use crate::interface::CallerInterface;
use crate::interface::NativeCallerInterface;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::Http1Handler;
use crate::transport::RateLimitedWarning;
use crate::transport::RequestBody;

/// Forwards the calls that the node's backend server makes to other services.
pub struct ExitHandler {
    forwarder: Arc<Forwarder>,
    unlinked_log: RateLimitedWarning,
}

impl ExitHandler {
    /// Creates a handler that forwards with the given forwarder.
    pub fn new(forwarder: Arc<Forwarder>) -> Self {
        let unlinked_log = RateLimitedWarning::new(forwarder.dependencies.clock);
        Self { forwarder, unlinked_log }
    }

    /// Finds the execution that made the call. Returns `None` for an unlinked call, whose headers
    /// do not identify an execution in progress at this node's gate.
    fn find_parent(&self, map: &HeaderMap) -> Option<(SpanId, SpanContext)> {
        let span = map.get(headers::SPAN)?.to_str().ok()?.parse().ok()?;
        let parent = self.forwarder.dependencies.gate.spans.context(span)?;
        let request_id = map.get(headers::REQUEST_ID)?.to_str().ok()?.parse().ok()?;
        (parent.request_id == request_id).then_some((span, parent))
    }

    async fn process(
        &self,
        request: Request<RequestBody>,
        parent: Option<(SpanId, SpanContext)>,
    ) -> Result<Response<Body>, CallFailure> {
        let forwarder = &self.forwarder;
        let (mut parts, body) = request.into_parts();
        let settings = &forwarder.dependencies.settings;
        let catalogue = Arc::clone(&forwarder.dependencies.catalogue.borrow());
        let mut inbound = NativeCallerInterface.read_request(&mut parts, &catalogue, settings)?;
        drop(catalogue);
        let (context, deadline) = match &parent {
            Some((span, parent)) => {
                if parent.depth >= settings.max_depth {
                    return Err(Reason::TooDeep.into());
                }
                // If the backend server copies the deadline header, its value is the time that was
                // left when the execution started. So the deadline that the gate stores limits it.
                let deadline = inbound
                    .requested_deadline
                    .map_or(parent.deadline, |at| at.min(parent.deadline));
                let context = CallContext {
                    request_id: parent.request_id,
                    span: Some(*span),
                    deadline_ms: 0,
                    importance: parent.rank,
                    depth: parent.depth + 1,
                    key: inbound.key.take(),
                };
                (context, deadline)
            }
            None => {
                forwarder.dependencies.metrics.count("exit.unlinked", 1);
                self.unlinked_log.record("entry: the backend server makes calls without context");
                let context = CallContext {
                    request_id: forwarder.next_request_id(),
                    span: None,
                    deadline_ms: 0,
                    importance: inbound.lowest_rank,
                    depth: 0,
                    key: inbound.key.take(),
                };
                (context, inbound.default_deadline)
            }
        };
        // The call tree of an unlinked call is unknown. The call gets no retry tokens, so that the
        // call tree cannot exceed its limit on retries.
        let entry_span = parent.is_none().then(|| EntrySpan::open(forwarder, 0));
        let ledger_span = entry_span.as_ref().map(|span| span.id).or(context.span);
        let ledger_span = ledger_span
            .expect("an unlinked call has an entry span, any other the span of its parent");
        let request = (parts, body);
        let max_replay_bytes = settings.max_replay_bytes;
        let crashes = &forwarder.dependencies.crashes;
        let mut call = OutgoingCall::read(
            request,
            inbound,
            context,
            deadline,
            ledger_span,
            max_replay_bytes,
            crashes,
        )
        .await?;
        call.may_be_server_call = true;
        forwarder.forward(&call).await
    }
}

#[async_trait]
impl Http1Handler for ExitHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body> {
        let parent = self.find_parent(request.headers());
        let cancelled = match &parent {
            Some((_, parent)) => parent.cancelled.clone(),
            None => CancellationToken::new(),
        };
        let result = tokio::select! {
            result = self.process(request, parent) => result,
            // The execution that made the call was cancelled, so the result is not needed.
            () = cancelled.cancelled() => Err(Reason::ConnectionLost.into()),
        };
        NativeCallerInterface.write_response(result, false)
    }
}
