use std::future::Future;

use hyper::rt::Executor;
use tokio_util::task::TaskTracker;

/// Executor for HTTP/2 connections that spawns their tasks in a tracker, so that the owner of the
/// tracker can wait for them.
#[derive(Debug, Clone)]
pub struct TrackedExecutor(pub TaskTracker);

impl<F> Executor<F> for TrackedExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future);
    }
}
