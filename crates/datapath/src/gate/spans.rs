use std::collections::HashMap;
use std::ops::RangeBounds;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Instant;

use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::gate::response_body::Execution;

/// A request that is waiting or running at this gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInProgress {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Execution of the request at this gate.
    pub span: SpanId,
    /// Importance rank.
    pub rank: u8,
    /// Whether the request has been sent to the backend server.
    pub is_running: bool,
    /// Time since the request arrived, in ms.
    pub age_ms: u64,
}

/// Context of an execution, which the calls made by it inherit.
#[derive(Debug, Clone)]
pub struct SpanContext {
    /// The request that the execution works on.
    pub request_id: RequestId,
    /// Importance rank of the call tree.
    pub rank: u8,
    /// Number of hops from the entry to the execution.
    pub depth: u8,
    /// Deadline of the execution.
    pub deadline: Instant,
    /// Cancelled when the execution is aborted.
    pub cancelled: CancellationToken,
}

struct SpanRecord {
    context: SpanContext,
    arrived_at: Instant,
    is_running: bool,
    /// Resources of the execution while its response is streamed.
    execution: Weak<Mutex<Option<Execution>>>,
}

/// Executions in progress at this gate.
#[derive(Default)]
pub(crate) struct ActiveSpans {
    records: Mutex<HashMap<SpanId, SpanRecord>>,
    became_empty: Notify,
}

impl ActiveSpans {
    fn lock(&self) -> MutexGuard<'_, HashMap<SpanId, SpanRecord>> {
        self.records.lock().expect("no thread panics while it holds the lock")
    }

    /// Registers an execution; it is removed when the guard is dropped.
    pub(crate) fn open(self: &Arc<Self>, id: SpanId, context: SpanContext) -> SpanGuard {
        let cancelled = context.cancelled.clone();
        let record = SpanRecord {
            context,
            arrived_at: Instant::now(),
            is_running: false,
            execution: Weak::new(),
        };
        self.lock().insert(id, record);
        SpanGuard { spans: Arc::clone(self), id, cancelled, is_ended: false }
    }

    pub(crate) fn context(&self, id: SpanId) -> Option<SpanContext> {
        self.lock().get(&id).map(|record| record.context.clone())
    }

    pub(crate) fn set_execution(&self, id: SpanId, execution: Weak<Mutex<Option<Execution>>>) {
        if let Some(record) = self.lock().get_mut(&id) {
            record.execution = execution;
        }
    }

    /// Aborts executions whose deadline passed while their response was streamed. The timer of the
    /// response body does not fire if the caller has stopped reading.
    pub(crate) fn abort_overdue(&self, now: Instant) {
        let overdue: Vec<_> = {
            let records = self.lock();
            let overdue = records.values().filter(|record| record.context.deadline < now);
            overdue.filter_map(|record| record.execution.upgrade()).collect()
        };
        for execution in overdue {
            let execution =
                execution.lock().expect("no thread panics while it holds the lock").take();
            drop(execution);
        }
    }

    /// Whether the deadline of an execution that runs at the backend server is within a range.
    pub(crate) fn any_running_until(&self, deadlines: impl RangeBounds<Instant>) -> bool {
        let records = self.lock();
        records
            .values()
            .any(|record| record.is_running && deadlines.contains(&record.context.deadline))
    }

    pub(crate) fn requests_in_progress(&self) -> Vec<RequestInProgress> {
        let records = self.lock();
        let mut list: Vec<RequestInProgress> = records
            .iter()
            .map(|(span, record)| RequestInProgress {
                request_id: record.context.request_id,
                span: *span,
                rank: record.context.rank,
                is_running: record.is_running,
                age_ms: u64::try_from(record.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            })
            .collect();
        list.sort_by_key(|request| std::cmp::Reverse(request.age_ms));
        list
    }

    /// Waits until no execution is in progress.
    pub(crate) async fn wait_until_empty(&self) {
        loop {
            let became_empty = self.became_empty.notified();
            if self.lock().is_empty() {
                return;
            }
            became_empty.await;
        }
    }
}

/// Guard of an execution in progress. Dropping it before `end` was called cancels the calls that
/// the execution made.
pub(crate) struct SpanGuard {
    spans: Arc<ActiveSpans>,
    id: SpanId,
    cancelled: CancellationToken,
    is_ended: bool,
}

impl SpanGuard {
    pub(crate) fn id(&self) -> SpanId {
        self.id
    }

    pub(crate) fn spans(&self) -> Arc<ActiveSpans> {
        Arc::clone(&self.spans)
    }

    pub(crate) fn set_running(&self) {
        if let Some(record) = self.spans.lock().get_mut(&self.id) {
            record.is_running = true;
        }
    }

    /// Marks the execution as ended, so that dropping the guard does not cancel its calls.
    pub(crate) fn end(&mut self) {
        self.is_ended = true;
    }
}

impl Drop for SpanGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.cancelled.cancel();
        }
        let is_empty = {
            let mut records = self.spans.lock();
            records.remove(&self.id);
            records.is_empty()
        };
        if is_empty {
            self.spans.became_empty.notify_waiters();
        }
    }
}
