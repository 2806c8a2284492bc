use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// What a backend server tells the node on its host, again and again within `ttl_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Time for which it is slow after its start, in ms.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Time after which the node withdraws it unless it announces itself again, in ms.
    pub ttl_ms: u64,
    /// Whether it wants no new work.
    #[serde(default)]
    pub draining: bool,
}
