use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::InstanceId;
use crate::member::BackendState;

/// Record of one node that the members disseminate, see `docs/design.md`, section 5.3.
///
/// A record with a higher `version` replaces one with a lower version of the same instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MemberRecord {
    /// Configured name of the node.
    pub node: String,
    /// Instance of the running node process.
    pub instance: InstanceId,
    /// Data centre of the node.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// UDP address of the membership protocol.
    pub gossip_address: SocketAddr,
    /// TCP address for requests between nodes.
    pub peer_address: SocketAddr,
    /// TCP address of the control API.
    pub control_address: SocketAddr,
    /// TCP address for messages between control replicas; `None` on a node without a replica.
    pub replica_address: Option<SocketAddr>,
    /// Service of the node's backend server, empty if there is none.
    pub service: String,
    /// State of the node's backend server.
    pub state: BackendState,
    /// Increases with each change of the state within this instance.
    pub version: u32,
    /// Catalogue revision in force at the node.
    pub revision: u64,
}
