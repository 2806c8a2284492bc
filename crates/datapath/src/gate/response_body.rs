use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tarragon_policy::admission::RunOutcome;
use tokio::time::Sleep;

use crate::gate::admission_queue::ExecutionSlot;
use crate::gate::backend_pool::ConnectionLease;
use crate::gate::crash_detector::CrashDetectorRun;
use crate::gate::spans::SpanGuard;
use crate::gate::upload_body::UploadProgress;
use crate::transport::BoxError;

const DEADLINE_PASSED: &str = "the deadline passed before the response was complete";

/// Resources that an execution holds until its response is complete.
pub(crate) struct Execution {
    pub(crate) run: CrashDetectorRun,
    /// Whether a complete response shows that the request crashes no server.
    pub(crate) is_answer: bool,
    pub(crate) lease: ConnectionLease,
    pub(crate) slot: ExecutionSlot,
    pub(crate) span: SpanGuard,
    /// How much of the request body the server has taken.
    pub(crate) upload: Arc<UploadProgress>,
    /// Whether the server began to answer before it had taken the whole request.
    pub(crate) is_early: bool,
    /// Outcome of the run if the response is received completely.
    pub(crate) outcome_if_complete: RunOutcome,
    /// Whether bytes after the announced content length are tolerated.
    pub(crate) allows_trailing_bytes: bool,
}

impl Execution {
    /// Ends an execution with a complete response. The connection returns to the pool if the
    /// request was read to its end and no bytes followed the announced content length. A server that
    /// answered before still gets the rest of the request, until the deadline.
    fn complete(mut self, content_length_bytes: Option<u64>, deadline: Instant) {
        self.slot.set_outcome(self.outcome_if_complete);
        self.span.end();
        let has_trailing_bytes = self.has_trailing_bytes(content_length_bytes);
        if self.is_early {
            self.lease.finish_upload(self.upload, deadline);
        } else if !has_trailing_bytes {
            self.lease.return_to_pool();
        }
        if self.is_answer {
            self.run.end_with_answer();
        }
    }

    /// Whether more bytes arrived than the announced content length.
    fn has_trailing_bytes(&self, content_length_bytes: Option<u64>) -> bool {
        content_length_bytes.is_some_and(|length| self.lease.body_bytes() > length)
    }

    fn fail(mut self) -> CrashDetectorRun {
        self.slot.set_outcome(RunOutcome::Failed);
        self.span.end();
        self.run
    }
}

/// An execution that the response body shares with the clean-up of overdue executions.
pub(crate) type SharedExecution = Arc<Mutex<Option<Execution>>>;

/// Body of a backend server's response. It ends with an error if bytes are missing, if trailing
/// bytes follow that are not tolerated, or if the deadline passes first.
pub(crate) struct ResponseBody {
    incoming: Incoming,
    /// Empty once the response is complete or has failed, or after the clean-up ended the execution
    /// because a stalled caller had kept it past its deadline.
    execution: SharedExecution,
    is_complete: bool,
    /// Announced content length, if there is one.
    content_length_bytes: Option<u64>,
    forwarded_bytes: u64,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, execution: Execution, deadline: Instant) -> Self {
        let content_length_bytes = incoming.size_hint().exact();
        if incoming.is_end_stream() {
            execution.complete(content_length_bytes, deadline);
            let execution = Arc::default();
            return Self::build(incoming, execution, true, content_length_bytes, deadline);
        }
        let (spans, id) = (execution.span.spans(), execution.span.id());
        let execution = Arc::new(Mutex::new(Some(execution)));
        spans.set_execution(id, Arc::downgrade(&execution));
        Self::build(incoming, execution, false, content_length_bytes, deadline)
    }

    fn build(
        incoming: Incoming,
        execution: SharedExecution,
        is_complete: bool,
        content_length_bytes: Option<u64>,
        deadline: Instant,
    ) -> Self {
        let (forwarded_bytes, timer) = (0, None);
        Self {
            incoming,
            execution,
            is_complete,
            content_length_bytes,
            forwarded_bytes,
            deadline,
            timer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Execution>> {
        self.execution.lock().expect("no thread panics while it holds the lock")
    }

    /// Ends the execution. Returns false if it was aborted before the response was complete.
    fn complete(&mut self) -> bool {
        if !self.is_complete {
            let execution = self.lock().take();
            self.is_complete = execution.is_some();
            if let Some(execution) = execution {
                execution.complete(self.content_length_bytes, self.deadline);
            }
        }
        self.is_complete
    }

    fn fail(&mut self, error: BoxError) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let execution = self.lock().take();
        if let Some(execution) = execution {
            drop(execution.fail());
        }
        Poll::Ready(Some(Err(error)))
    }

    /// Ends the execution after the connection to the backend server was lost.
    fn fail_connection(&mut self) {
        let execution = self.lock().take();
        if let Some(execution) = execution {
            execution.fail().check_in_background();
        }
    }

    /// Whether bytes after the announced content length invalidate the response.
    fn is_too_long(&self) -> bool {
        self.lock().as_ref().is_some_and(|e| {
            !e.allows_trailing_bytes && e.has_trailing_bytes(self.content_length_bytes)
        })
    }

    fn is_past_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let timer =
            self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline.into())));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.forwarded_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.content_length_bytes == Some(this.forwarded_bytes) && this.is_too_long() {
                    return this.fail("the response is longer than its content length".into());
                }
                if this.incoming.is_end_stream() && !this.complete() {
                    return this.fail(DEADLINE_PASSED.into());
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => {
                this.fail_connection();
                Poll::Ready(Some(Err(e.into())))
            }
            Poll::Ready(None) if this.complete() => Poll::Ready(None),
            Poll::Ready(None) => this.fail(DEADLINE_PASSED.into()),
            Poll::Pending if !this.is_complete && this.is_past_deadline(cx) => {
                this.fail(DEADLINE_PASSED.into())
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
