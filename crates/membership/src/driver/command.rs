use std::sync::Arc;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tokio::sync::oneshot;

/// Order from the handle to the driver.
#[derive(Debug)]
pub(crate) enum Command {
    SetLocalState { service: String, state: BackendState, revision: u64 },
    Leave(oneshot::Sender<()>),
}

/// What the driver publishes.
#[derive(Debug, Clone)]
pub(crate) struct View {
    pub members: Arc<Vec<MemberRecord>>,
    pub lost: Arc<Vec<MemberRecord>>,
    pub highest_revision: u64,
    pub has_joined: bool,
}
