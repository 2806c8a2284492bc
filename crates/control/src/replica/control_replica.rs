use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A control replica, as listed in the settings of every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlReplica {
    /// Name of the node.
    pub node_name: String,
    /// Address of the node's control API.
    pub control_address: SocketAddr,
    /// Address at which the replica accepts connections from other replicas.
    pub replica_address: SocketAddr,
}
