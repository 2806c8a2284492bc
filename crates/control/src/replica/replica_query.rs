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

/// Time to wait for what one replica says of itself, in ms.
const INFO_TIMEOUT_MS: u64 = 1_000;

/// Asks a node what its replica says of itself. None without an answer or without a replica.
pub async fn fetch_replica_info(key: &DeploymentKey, address: SocketAddr) -> Option<ReplicaInfo> {
    let client = ControlClient::new(None, INFO_TIMEOUT_MS);
    let reply = match client.send(address, Method::GET, "/v1/replica", Bytes::new()).await {
        Ok(reply) => reply,
        Err(report) => {
            debug!("log: the replica at {address} does not answer: {report:?}");
            return None;
        }
    };
    decode_authenticated(key, MessageChannel::Replica, &reply.body).unwrap_or_else(|e| {
        debug!("log: the replica at {address} gave no readable answer: {e}");
        None
    })
}

/// What a replica says of itself.
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
