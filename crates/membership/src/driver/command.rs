use std::net::SocketAddr;
use std::sync::Arc;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tokio::sync::oneshot;

/// Command from a membership handle to the driver.
#[derive(Debug)]
pub(crate) enum DriverCommand {
    SetLocalState { service: String, state: BackendState, revision: u64 },
    SetKnownPeers(Vec<SocketAddr>),
    Leave(oneshot::Sender<()>),
}

/// Membership as published by the driver to its handles.
#[derive(Debug, Clone)]
pub(crate) struct MembershipView {
    /// Records of this node and all reachable members.
    pub members: Arc<Vec<MemberRecord>>,
    /// Records of the unreachable and dead members.
    pub failed: Arc<Vec<MemberRecord>>,
    pub highest_revision: u64,
    pub has_joined: bool,
}
