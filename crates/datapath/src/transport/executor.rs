use std::future::Future;

use hyper::rt::Executor;
use tokio_util::task::TaskTracker;

/// Runs the tasks of HTTP/2 connections in a tracker, so that their parent can join them.
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
