use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::archive::CrashArchive;
use crate::quarantine::SharedLedger;

/// Pause before the archive is asked again, and between two writes, so that crashes in quick succession
/// share one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Stores the requests that this node's server has crashed under once they are in quarantine, and reads
/// those of all nodes at the start: the other nodes may have been restarted at the same time.
pub(crate) struct CrashArchiver {
    ledger: Arc<SharedLedger>,
    archive: Arc<dyn CrashArchive>,
}

impl CrashArchiver {
    /// Creates the service.
    pub(crate) fn new(ledger: Arc<SharedLedger>, archive: Arc<dyn CrashArchive>) -> Self {
        Self { ledger, archive }
    }

    async fn load(&self) {
        let records = loop {
            match self.archive.load().await {
                Some(records) => break records,
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        };
        if !records.is_empty() {
            info!(count = records.len(), "gate: requests that crash their servers were archived");
            self.ledger.merge_archived(&records);
        }
    }

    async fn store(&self) {
        loop {
            self.ledger.wait_for_archivable().await;
            let records = self.ledger.archivable();
            if !records.is_empty() {
                if self.archive.store(records.clone()).await {
                    self.ledger.mark_archived(&records);
                } else {
                    warn!(count = records.len(), "gate: crash records are not stored yet");
                    self.ledger.notify_archivable();
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

#[async_trait]
impl Service for CrashArchiver {
    fn name(&self) -> &'static str {
        "crash-archiver"
    }

    async fn run(
        self: Arc<Self>,
        _kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let work = async {
            tokio::join!(self.load(), self.store());
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = work => {}
        }
        Ok(())
    }
}
