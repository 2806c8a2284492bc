use std::sync::Arc;

use async_trait::async_trait;
use error_stack::Report;
use tokio_util::sync::CancellationToken;

use crate::Kernel;
use crate::KernelError;

/// A long-running part of the daemon.
///
/// A service returns once `stop` is cancelled and its own tasks have ended; it never leaves tasks
/// behind.
#[async_trait]
pub trait Service: Send + Sync {
    /// Name used in logs and errors.
    fn name(&self) -> &'static str;

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    /// Returns the cause if the service cannot go on; the kernel then stops all other services.
    async fn run(
        self: Arc<Self>,
        kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>>;
}
