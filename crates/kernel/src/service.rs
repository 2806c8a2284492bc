use std::sync::Arc;

use async_trait::async_trait;
use error_stack::Report;
use tokio_util::sync::CancellationToken;

use crate::Kernel;
use crate::KernelError;

/// A long-running part of the daemon.
///
/// A service returns once `stop` is cancelled and all tasks that it spawned have finished.
#[async_trait]
pub trait Service: Send + Sync {
    /// Name of the service in logs and errors.
    fn name(&self) -> &'static str;

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    /// Returns the cause if the service cannot continue; the kernel then stops all other services.
    async fn run(
        self: Arc<Self>,
        kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>>;
}
