use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use tarragon_client::ControlClient;
use tarragon_consensus::driver::ReplicaHandle;
use tarragon_model::api::ReplicaInfo;
use tarragon_wire::decode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tracing::debug;

/// Queries the state of a node's replica. Returns `None` if the node does not respond in time or has
/// no replica.
pub async fn fetch_replica_info(
    key: &DeploymentKey,
    address: SocketAddr,
    timeout_ms: u64,
) -> Option<ReplicaInfo> {
    let client = ControlClient::new(None, timeout_ms);
    let response = match client.send(address, Method::GET, "/v1/replica", Bytes::new()).await {
        Ok(response) => response,
        Err(report) => {
            debug!("log: the replica at {address} does not respond: {report:?}");
            return None;
        }
    };
    decode_authenticated(key, MessageChannel::Replica, &response.body).unwrap_or_else(|e| {
        debug!("log: the replica at {address} sent a malformed response: {e}");
        None
    })
}

/// State of a replica, as reported to operators and other nodes.
pub fn replica_info(replica: &ReplicaHandle) -> ReplicaInfo {
    let status = replica.status();
    ReplicaInfo {
        name: status.id.name.clone(),
        disk: status.id.disk.to_string(),
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term,
        leader: status.leader.map(|leader| leader.to_string()),
        commit_index: status.commit_index,
        last_index: status.last_index,
        snapshot_index: status.snapshot_index,
        voters: status.configuration.voters.iter().map(ToString::to_string).collect(),
        learners: status.configuration.learners.iter().map(ToString::to_string).collect(),
    }
}
