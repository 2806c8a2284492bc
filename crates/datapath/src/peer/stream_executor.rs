use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::rt::Executor;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// Executor of the streams of one connection, which knows when the last of them ended.
#[derive(Debug, Clone)]
pub(super) struct StreamExecutor {
    tracker: TaskTracker,
    last_ended: Arc<Mutex<Option<Instant>>>,
}

impl StreamExecutor {
    /// Spawns the streams in the tracker, so that its owner can wait for them.
    pub(super) fn new(tracker: TaskTracker) -> Self {
        Self { tracker, last_ended: Arc::default() }
    }

    /// When the last stream that has ended did so.
    pub(super) fn last_ended(&self) -> Option<Instant> {
        *self.last_ended.lock().expect("no thread panics while it holds the lock")
    }
}

impl<F> Executor<F> for StreamExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, stream: F) {
        let last_ended = Arc::clone(&self.last_ended);
        self.tracker.spawn(async move {
            stream.await;
            let now = Some(Instant::now());
            *last_ended.lock().expect("no thread panics while it holds the lock") = now;
        });
    }
}
