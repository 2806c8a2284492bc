use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Message by which a backend server registers with the node on its host. The server repeats it at
/// intervals shorter than `ttl_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: String,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Duration of the cold start, in which the backend server is slow, in ms.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Time after which the announcement expires unless it is repeated, in ms.
    pub ttl_ms: u64,
    /// Whether the backend server accepts no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Identifies the start of the backend server and orders its announcements. Without it, every
    /// announcement replaces the previous one.
    #[serde(default)]
    pub server: Option<ServerIdentity>,
}

/// Distinguishes the starts of a backend server and orders the announcements of each start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerIdentity {
    /// Id of the backend server; a later start may have the same one.
    pub id: String,
    /// Start time in ms since 1970, by the clock of the backend server.
    pub started_at_ms: u64,
    /// Increases with each announcement of one start, so that late ones are recognised.
    pub sequence: u64,
}

impl ServerIdentity {
    /// Whether this announcement is older than the other one: of an earlier start, or with a lower
    /// sequence number of the same start.
    pub fn is_before(&self, other: &Self) -> bool {
        (self.started_at_ms, self.sequence) < (other.started_at_ms, other.sequence)
    }
}
