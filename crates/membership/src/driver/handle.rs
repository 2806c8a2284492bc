use std::sync::Arc;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::driver::command::Command;
use crate::driver::command::View;
use crate::driver::DriverCounters;

/// Cheap access to the membership of the own node.
#[derive(Debug, Clone)]
pub struct MembershipHandle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) view: watch::Receiver<View>,
    pub(crate) counters: Arc<DriverCounters>,
}

impl MembershipHandle {
    /// Records of the own node and all reachable members.
    pub fn members(&self) -> Arc<Vec<MemberRecord>> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Records of members that are unreachable, or dead and not yet forgotten.
    pub fn failed_members(&self) -> Arc<Vec<MemberRecord>> {
        Arc::clone(&self.view.borrow().lost)
    }

    /// Highest catalogue revision that any member is known to have reached.
    pub fn highest_known_revision(&self) -> u64 {
        self.view.borrow().highest_revision
    }

    /// Whether a seed has answered, or there is none to ask.
    pub fn has_joined(&self) -> bool {
        self.view.borrow().has_joined
    }

    /// Waits for the next change; false once the driver has ended.
    pub async fn changed(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Announces the state of the own node. A lower revision than an earlier one has no effect.
    pub fn set_local_state(&self, service: &str, state: BackendState, revision: u64) {
        let service = service.to_string();
        // After the driver has ended there is nobody left to tell.
        let _ = self.commands.send(Command::SetLocalState { service, state, revision });
    }

    /// Leaves the cluster; returns when the departure has been sent, after 3 s at most.
    pub async fn leave(&self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).is_ok() {
            // An error means that the driver has ended, which is a departure as well.
            let _ = wait.await;
        }
    }

    /// Counters since start.
    pub fn counters(&self) -> &DriverCounters {
        &self.counters
    }
}
