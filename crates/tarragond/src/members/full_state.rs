use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_membership::FetchError;
use tarragon_membership::FullStateSource;
use tarragon_model::member::MemberRecord;
use tarragon_wire::open;
use tarragon_wire::Channel;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;

/// Path of the full list of members, for other nodes.
pub const FULL_STATE_PATH: &str = "/v1/members/full";

/// Time to wait for the full list, in ms.
const FETCH_TIMEOUT_MS: u64 = 5_000;

/// Fetches the full list of members over the control API of another node.
pub struct ControlFullState {
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    client: ControlClient,
    key: DeploymentKey,
}

impl ControlFullState {
    /// Creates a source that finds control addresses in the given list of members.
    pub fn new(members: watch::Receiver<Arc<Vec<MemberRecord>>>, key: DeploymentKey) -> Self {
        Self { members, client: ControlClient::new(None, FETCH_TIMEOUT_MS), key }
    }

    fn control_address(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let members = self.members.borrow();
        members.iter().find(|m| m.peer_address == peer).map(|m| m.control_address)
    }
}

#[async_trait]
impl FullStateSource for ControlFullState {
    async fn fetch(&self, peer: SocketAddr) -> Result<Vec<MemberRecord>, Report<FetchError>> {
        let failure = |step| FetchError { peer, step };
        let address = self
            .control_address(peer)
            .ok_or_else(|| Report::new(failure("the member is not known")))?;
        let reply = self.client.send(address, Method::GET, FULL_STATE_PATH, Bytes::new()).await;
        let reply = reply.change_context(failure("no answer"))?;
        if !reply.status.is_success() {
            return Err(Report::new(failure("refused")));
        }
        open(&self.key, Channel::Replica, &reply.body).change_context(failure("malformed answer"))
    }
}
