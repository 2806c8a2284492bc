use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http::response::Parts;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::once::KeyedRunOutcome;
use tarragon_policy::once::OnceDecision;
use tarragon_policy::once::StoredAnswer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tracing::debug;

use crate::gate::admission_queue::ExecutionSlot;
use crate::gate::keys::KeyVerdict;
use crate::gate::keys::KeyedRun;
use crate::gate::response_body::ResponseBody;
use crate::gate::spans::SpanGuard;
use crate::gate::Gate;
use crate::gate::GateCall;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::BoxError;
use crate::transport::CallFailure;
use crate::transport::ReplayBody;
use crate::transport::PREFIX_TIMEOUT;

/// Maximum number of response frames that are buffered on their way to the caller.
const MAX_FRAMES_IN_TRANSIT: usize = 4;

type CallResult = Result<Response<Body>, CallFailure>;

enum BodyPart {
    Frame(Frame<Bytes>),
    End,
}

impl Gate {
    /// Runs a keyed request at most once, or returns the stored response of its first run.
    pub(crate) async fn run_keyed(
        self: &Arc<Self>,
        key: IdempotencyKey,
        mut call: GateCall,
        mut span: SpanGuard,
    ) -> CallResult {
        // A small body is read before the run, so that the key stays unused if the caller
        // disconnects while sending it.
        let body = std::mem::take(call.request.body_mut());
        let has_body = !body.is_end_stream();
        let body = ReplayBody::read(body, self.settings.max_replay_bytes, PREFIX_TIMEOUT).await;
        let body = body.map_err(|_| Reason::BadRequest)?;
        if has_body {
            body.write_length(call.request.headers_mut());
        }
        *call.request.body_mut() = body.attempt_body();
        let caller = self.keys.caller_digest(call.request.headers());
        let path = call.request.uri().path_and_query().map_or("/", |path| path.as_str());
        let request = self.keys.request_digest(call.request.method(), path);
        loop {
            match self.keys.begin(&key, &caller, &request) {
                KeyVerdict::Decided(OnceDecision::Run) => break,
                KeyVerdict::Decided(OnceDecision::Replay(stored)) => {
                    debug!("once: returning the stored response of {key}");
                    self.metrics.count("once.repeated", 1);
                    span.end();
                    return Ok(response_from_stored(&stored));
                }
                KeyVerdict::Decided(OnceDecision::Refuse(reason)) => {
                    span.end();
                    return Err(reason.into());
                }
                KeyVerdict::Wait(mut run_end) => {
                    debug!("once: a repeated request waits for the run of {key}");
                    let ended = run_end.changed();
                    if tokio::time::timeout_at(call.deadline.into(), ended).await.is_err() {
                        return Err(Reason::DeadlinePassed.into());
                    }
                }
                KeyVerdict::Decided(OnceDecision::Wait) => {
                    unreachable!("`begin` returns `KeyVerdict::Wait` instead")
                }
            }
        }
        let mut run = KeyedRun::new(Arc::clone(&self.keys), key);
        let slot =
            self.admission_queue.admit(&self.admission_request(&call)?, call.deadline).await?;
        run.start();
        let (response_sender, response) = oneshot::channel();
        // The run has a task of its own, because it cannot be repeated and so must not be cancelled
        // when the caller disconnects and this future is dropped.
        let gate = Arc::clone(self);
        self.tracker.spawn(async move {
            gate.run_keyed_task(call, span, slot, run, response_sender).await
        });
        response.await.unwrap_or_else(|_| Err(Reason::ConnectionLost.into()))
    }

    async fn run_keyed_task(
        self: Arc<Self>,
        call: GateCall,
        span: SpanGuard,
        slot: ExecutionSlot,
        run: KeyedRun,
        response_sender: oneshot::Sender<CallResult>,
    ) {
        let deadline = call.deadline;
        match self.execute(call, span, slot).await {
            Err(failure) => {
                run.finish(if failure.is_not_run() {
                    KeyedRunOutcome::NotRun
                } else {
                    KeyedRunOutcome::Unknown
                });
                let _ = response_sender.send(Err(failure));
            }
            Ok(response) => {
                let (parts, body) = response.into_parts();
                let (sender, receiver) = mpsc::channel(MAX_FRAMES_IN_TRANSIT);
                let channel = ChannelBody { receiver, is_ended: false }.boxed_unsync();
                let recorder = ResponseRecorder::new(&parts, self.settings.max_stored_answer_bytes);
                let _ = response_sender.send(Ok(Response::from_parts(parts, channel)));
                stream_and_record(body, sender, recorder, run, deadline).await;
            }
        }
    }
}

/// Streams a response to the caller while it is connected, and records the response.
async fn stream_and_record(
    mut body: ResponseBody,
    sender: mpsc::Sender<Result<BodyPart, BoxError>>,
    mut recorder: ResponseRecorder,
    run: KeyedRun,
    deadline: Instant,
) {
    let mut caller = Some(sender);
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                recorder.record(&frame);
                let Some(sender) = &caller else { continue };
                let sending = sender.send(Ok(BodyPart::Frame(frame)));
                let sent = tokio::time::timeout_at(deadline.into(), sending).await;
                if !matches!(sent, Ok(Ok(()))) {
                    caller = None;
                }
            }
            Some(Err(e)) => {
                run.finish(KeyedRunOutcome::Unknown);
                if let Some(sender) = caller {
                    let _ = sender.try_send(Err(e));
                }
                return;
            }
            None => {
                run.finish(recorder.finish());
                if let Some(sender) = caller {
                    let sending = sender.send(Ok(BodyPart::End));
                    let _ = tokio::time::timeout_at(deadline.into(), sending).await;
                }
                return;
            }
        }
    }
}

/// Stores a response for repeated requests, unless it is too large.
struct ResponseRecorder {
    stored: Option<StoredAnswer>,
    limit_bytes: usize,
}

impl ResponseRecorder {
    fn new(head: &Parts, limit_bytes: usize) -> Self {
        let headers = head
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let stored = StoredAnswer { status: head.status.as_u16(), headers, body: Vec::new() };
        Self { stored: Some(stored), limit_bytes }
    }

    fn record(&mut self, frame: &Frame<Bytes>) {
        let Some(stored) = &mut self.stored else { return };
        match frame.data_ref() {
            Some(data) if stored.body.len() + data.len() <= self.limit_bytes => {
                stored.body.extend_from_slice(data);
            }
            // A body over the limit or a response with trailers cannot be reproduced exactly, so
            // the response is not stored.
            _ => self.stored = None,
        }
    }

    fn finish(self) -> KeyedRunOutcome {
        self.stored.map_or(KeyedRunOutcome::AnsweredNotStored, KeyedRunOutcome::Answered)
    }
}

fn response_from_stored(stored: &StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full(stored.body.clone()));
    let status = StatusCode::from_u16(stored.status);
    *response.status_mut() = status.expect("the status was taken from a valid response");
    for (name, value) in &stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Response body that receives its frames from the task of a keyed run.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<BodyPart, BoxError>>,
    is_ended: bool,
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        if this.is_ended {
            return Poll::Ready(None);
        }
        this.receiver.poll_recv(cx).map(|part| match part {
            Some(Ok(BodyPart::Frame(frame))) => Some(Ok(frame)),
            Some(Ok(BodyPart::End)) => {
                this.is_ended = true;
                None
            }
            Some(Err(e)) => Some(Err(e)),
            None => Some(Err("the run ended before its response was complete".into())),
        })
    }
}
