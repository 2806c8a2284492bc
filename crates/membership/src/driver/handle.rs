use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::driver::command::DriverCommand;
use crate::driver::command::MembershipView;
use crate::driver::DriverCounters;

/// Handle to the membership of this node. Cloning and reading it are cheap.
#[derive(Debug, Clone)]
pub struct MembershipHandle {
    pub(crate) commands: mpsc::UnboundedSender<DriverCommand>,
    pub(crate) view: watch::Receiver<MembershipView>,
    pub(crate) counters: Arc<DriverCounters>,
}

impl MembershipHandle {
    /// Records of this node and all reachable members.
    pub fn members(&self) -> Arc<Vec<MemberRecord>> {
        Arc::clone(&self.view.borrow().members)
    }

    /// Records of members that are unreachable or dead and have not been removed yet.
    pub fn failed_members(&self) -> Arc<Vec<MemberRecord>> {
        Arc::clone(&self.view.borrow().failed)
    }

    /// Highest catalogue revision that any member is known to have reached.
    pub fn highest_known_revision(&self) -> u64 {
        self.view.borrow().highest_revision
    }

    /// Whether the node has received the first answer of a full exchange, or has no other node as
    /// seed.
    pub fn has_joined(&self) -> bool {
        self.view.borrow().has_joined
    }

    /// Waits for the next change of the membership; returns false after the driver has stopped.
    pub async fn changed(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Announces the service, state and catalogue revision of this node to the cluster. A
    /// revision below an earlier one is ignored.
    pub fn set_local_state(&self, service: &str, state: BackendState, revision: u64) {
        let service = service.to_string();
        // Sending fails only after the driver has stopped; the state is not announced any more
        // then.
        let _ = self.commands.send(DriverCommand::SetLocalState { service, state, revision });
    }

    /// Sets the gossip addresses of the nodes that this node stays in contact with, beside its seeds.
    pub fn set_known_peers(&self, peers: Vec<SocketAddr>) {
        // Sending fails only after the driver has stopped, which contacts nobody any more then.
        let _ = self.commands.send(DriverCommand::SetKnownPeers(peers));
    }

    /// Leaves the cluster. Returns when the departure has been sent, or after 3 s.
    pub async fn leave(&self) {
        let (done, completion) = oneshot::channel();
        if self.commands.send(DriverCommand::Leave(done)).is_ok() {
            // An error means that the driver has stopped, so there is nothing left to wait for.
            let _ = completion.await;
        }
    }

    /// Counters of the driver since its start.
    pub fn counters(&self) -> &DriverCounters {
        &self.counters
    }
}
