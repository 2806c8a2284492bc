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
    /// Which start of the backend server speaks; without it every announcement replaces the one
    /// before.
    #[serde(default)]
    pub server: Option<ServerIdentity>,
}

/// Tells the starts of a backend server apart, and the order of what one of them announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerIdentity {
    /// Identity; a later start may have the same one.
    pub id: String,
    /// Time of its start, in ms since 1970 by its own clock.
    pub started_at_ms: u64,
    /// Rises with each announcement of one start, so that late ones are recognised.
    pub sequence: u64,
}

impl ServerIdentity {
    /// Whether what this start announced came before what the other one announced.
    pub fn is_before(&self, other: &Self) -> bool {
        (self.started_at_ms, self.sequence) < (other.started_at_ms, other.sequence)
    }
}
