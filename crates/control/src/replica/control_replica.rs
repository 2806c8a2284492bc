use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A control replica as the settings of every node name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlReplica {
    /// Name of the node.
    pub node_name: String,
    /// Its control address.
    pub control_address: SocketAddr,
    /// Its address for other control replicas.
    pub replica_address: SocketAddr,
}
