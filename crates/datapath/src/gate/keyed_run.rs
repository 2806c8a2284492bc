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

use crate::gate::answer_body::AnswerBody;
use crate::gate::desk::Slot;
use crate::gate::keys::KeyRun;
use crate::gate::keys::KeyVerdict;
use crate::gate::spans::SpanGuard;
use crate::gate::Gate;
use crate::gate::GateCall;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::BoxError;
use crate::transport::CallFailure;
use crate::transport::ReplayBody;

/// Frames of an answer that may be on their way to the caller.
const FRAMES_IN_TRANSIT: usize = 4;

type Head = Result<Response<Body>, CallFailure>;

enum Part {
    Frame(Frame<Bytes>),
    End,
}

impl Gate {
    /// Runs a keyed request at most once, or repeats the answer of its first run.
    pub(crate) async fn run_keyed(
        self: &Arc<Self>,
        key: IdempotencyKey,
        mut call: GateCall,
        mut span: SpanGuard,
    ) -> Head {
        // A small body is read before the run, so that a caller who hangs up while sending it
        // leaves the key unused.
        let body = std::mem::take(call.request.body_mut());
        let body = ReplayBody::read(body, self.settings.max_replay_bytes).await;
        *call.request.body_mut() = body.map_err(|_| Reason::BadRequest)?.attempt();
        let caller = self.keys.caller_digest(call.request.headers());
        let path = call.request.uri().path_and_query().map_or("/", |path| path.as_str());
        let request = self.keys.request_digest(call.request.method(), path);
        loop {
            match self.keys.begin(&key, &caller, &request) {
                KeyVerdict::Decided(OnceDecision::Run) => break,
                KeyVerdict::Decided(OnceDecision::Replay(answer)) => {
                    debug!("once: {key} repeats its answer");
                    self.metrics.count("once.repeated", 1);
                    span.end();
                    return Ok(repeat(&answer));
                }
                KeyVerdict::Decided(OnceDecision::Refuse(reason)) => {
                    span.end();
                    return Err(reason.into());
                }
                KeyVerdict::Wait(mut end) => {
                    debug!("once: {key} waits for its run");
                    let ended = end.changed();
                    if tokio::time::timeout_at(call.deadline.into(), ended).await.is_err() {
                        return Err(Reason::DeadlinePassed.into());
                    }
                }
                KeyVerdict::Decided(OnceDecision::Wait) => unreachable!("begin maps it to Wait"),
            }
        }
        let mut run = KeyRun::new(Arc::clone(&self.keys), key);
        let slot = self.desk.admit(&self.offer(&call)?, call.deadline).await?;
        run.start();
        let (head_sender, head) = oneshot::channel();
        // The run is not a part of the caller's future, because a caller who hangs up must not
        // cut short a run that cannot be repeated.
        let gate = Arc::clone(self);
        self.tracker
            .spawn(async move { gate.drive_keyed(call, span, slot, run, head_sender).await });
        head.await.unwrap_or_else(|_| Err(Reason::ConnectionLost.into()))
    }

    async fn drive_keyed(
        self: Arc<Self>,
        call: GateCall,
        span: SpanGuard,
        slot: Slot,
        run: KeyRun,
        head: oneshot::Sender<Head>,
    ) {
        let deadline = call.deadline;
        match self.run(call, span, slot).await {
            Err(failure) => {
                run.finish(if failure.is_not_run() {
                    KeyedRunOutcome::NotRun
                } else {
                    KeyedRunOutcome::Unknown
                });
                let _ = head.send(Err(failure));
            }
            Ok(response) => {
                let (parts, body) = response.into_parts();
                let (sender, receiver) = mpsc::channel(FRAMES_IN_TRANSIT);
                let channel = ChannelBody { receiver, is_ended: false }.boxed_unsync();
                let recorder = Recorder::new(&parts, self.settings.max_stored_answer_bytes);
                let _ = head.send(Ok(Response::from_parts(parts, channel)));
                pump(body, sender, recorder, run, deadline).await;
            }
        }
    }
}

/// Streams an answer to the caller, as long as there is one, and records it.
async fn pump(
    mut body: AnswerBody,
    sender: mpsc::Sender<Result<Part, BoxError>>,
    mut recorder: Recorder,
    run: KeyRun,
    deadline: Instant,
) {
    let mut caller = Some(sender);
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                recorder.record(&frame);
                let Some(sender) = &caller else { continue };
                let sending = sender.send(Ok(Part::Frame(frame)));
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
                    let sending = sender.send(Ok(Part::End));
                    let _ = tokio::time::timeout_at(deadline.into(), sending).await;
                }
                return;
            }
        }
    }
}

/// Keeps an answer for repeats, as long as it is small enough.
struct Recorder {
    answer: Option<StoredAnswer>,
    limit_bytes: usize,
}

impl Recorder {
    fn new(head: &Parts, limit_bytes: usize) -> Self {
        let headers = head
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let answer = StoredAnswer { status: head.status.as_u16(), headers, body: Vec::new() };
        Self { answer: Some(answer), limit_bytes }
    }

    fn record(&mut self, frame: &Frame<Bytes>) {
        let Some(answer) = &mut self.answer else { return };
        match frame.data_ref() {
            Some(data) if answer.body.len() + data.len() <= self.limit_bytes => {
                answer.body.extend_from_slice(data);
            }
            // A larger body or trailers cannot be repeated as they were.
            _ => self.answer = None,
        }
    }

    fn finish(self) -> KeyedRunOutcome {
        self.answer.map_or(KeyedRunOutcome::AnsweredNotStored, KeyedRunOutcome::Answered)
    }
}

fn repeat(answer: &StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body.clone()));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.expect("the status came from an answer");
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Body that arrives from the task of a keyed run.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Part, BoxError>>,
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
            Some(Ok(Part::Frame(frame))) => Some(Ok(frame)),
            Some(Ok(Part::End)) => {
                this.is_ended = true;
                None
            }
            Some(Err(e)) => Some(Err(e)),
            None => Some(Err("the run ended before its answer was whole".into())),
        })
    }
}
