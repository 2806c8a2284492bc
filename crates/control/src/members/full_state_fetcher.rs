use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_membership::FetchError;
use tarragon_membership::FullStateSource;
use tarragon_model::member::MemberRecord;
use tarragon_wire::decode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tokio::sync::watch;

/// Path at which other nodes fetch the full list of members.
pub const FULL_STATE_PATH: &str = "/v1/members/full";

/// Time limit for fetching the full list, in ms.
const FETCH_TIMEOUT_MS: u64 = 5_000;

/// Maximum wait for the record of the queried member to be published, in ms.
const PUBLISH_TIMEOUT_MS: u64 = 1_000;

/// Fetches the full list of members over the control API of another node.
pub struct FullStateFetcher {
    members: watch::Receiver<Arc<Vec<MemberRecord>>>,
    client: ControlClient,
    key: DeploymentKey,
}

impl FullStateFetcher {
    /// Creates a fetcher that looks up control addresses in the given list of members.
    pub fn new(members: watch::Receiver<Arc<Vec<MemberRecord>>>, key: DeploymentKey) -> Self {
        Self { members, client: ControlClient::new(None, FETCH_TIMEOUT_MS), key }
    }

    /// Looks up the control address of a member. Waits for its record, which may not be published
    /// yet.
    async fn control_address(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let mut members = self.members.clone();
        let is_known = |members: &Arc<Vec<MemberRecord>>| find_member(members, peer).is_some();
        let limit = Duration::from_millis(PUBLISH_TIMEOUT_MS);
        let published = tokio::time::timeout(limit, members.wait_for(is_known)).await;
        let members = published.ok()?.ok()?;
        find_member(&members, peer).map(|member| member.control_address)
    }
}

fn find_member(members: &[MemberRecord], peer: SocketAddr) -> Option<&MemberRecord> {
    members.iter().find(|member| member.peer_address == peer)
}

#[async_trait]
impl FullStateSource for FullStateFetcher {
    async fn fetch(&self, peer: SocketAddr) -> Result<Vec<MemberRecord>, Report<FetchError>> {
        let fetch_error = |step| FetchError { peer, step };
        let address = self
            .control_address(peer)
            .await
            .ok_or_else(|| Report::new(fetch_error("the member is unknown")))?;
        let response = self.client.send(address, Method::GET, FULL_STATE_PATH, Bytes::new()).await;
        let response = response.change_context(fetch_error("no response"))?;
        if !response.status.is_success() {
            return Err(Report::new(fetch_error("the request was refused")));
        }
        decode_authenticated(&self.key, MessageChannel::Replica, &response.body)
            .change_context(fetch_error("malformed response"))
    }
}
