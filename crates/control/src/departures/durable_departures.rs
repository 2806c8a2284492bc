use std::sync::Arc;
use std::time::Duration;

use tarragon_datapath::directory::Directory;
use tokio::time::Instant;

use crate::control::ControlCommand;
use crate::control::ControlLog;
use crate::control::ControlQuery;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::departures::HeldForNode;
use crate::departures::HoldRequest;

/// Pause before the log is asked again, unless the members change meanwhile.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Departures and drains of one node in the replicated log, which outlive all processes and as many
/// disks as the deployment tolerates to lose.
pub(super) struct DurableDepartures {
    node_name: String,
    log: Arc<dyn ControlLog>,
    directory: Arc<dyn Directory>,
}

impl DurableDepartures {
    pub(super) fn new(
        node_name: String,
        log: Arc<dyn ControlLog>,
        directory: Arc<dyn Directory>,
    ) -> Self {
        Self { node_name, log, directory }
    }

    /// Stores what is to be held. Returns whether the log has accepted it within the time limit; it may
    /// accept it later otherwise.
    pub(super) async fn hold(&self, request: HoldRequest, limit: Duration) -> bool {
        let request = ControlRequest::Propose(ControlCommand::Hold(request));
        let response = tokio::time::timeout(limit, self.log.request(&request)).await;
        matches!(response, Ok(Ok(ControlResponse::Held(_))))
    }

    /// Returns what the log holds for this node; `None` if it does not respond within the time limit.
    pub(super) async fn find(&self, limit: Duration) -> Option<HeldForNode> {
        let started = Instant::now();
        let query = ControlRequest::Read(ControlQuery::Held(self.node_name.clone()));
        let mut members = self.directory.members();
        while started.elapsed() < limit {
            let has_replica =
                members.borrow_and_update().iter().any(|m| m.replica_address.is_some());
            if has_replica {
                let left = limit.saturating_sub(started.elapsed());
                let response = tokio::time::timeout(left, self.log.request(&query)).await;
                if let Ok(Ok(ControlResponse::Held(held))) = response {
                    return Some(held);
                }
            }
            let changed = async {
                if members.changed().await.is_err() {
                    // The channel closes only when the node stops, and then this future is dropped.
                    std::future::pending::<()>().await;
                }
            };
            // Without a change, the same replicas are asked again.
            let _ = tokio::time::timeout(RETRY_PAUSE, changed).await;
        }
        None
    }
}
