use std::net::SocketAddr;
use std::time::SystemTime;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Longest service name and server id that an announcement may have, in bytes. Both travel in
/// headers and in messages of the membership.
const MAX_NAME_BYTES: usize = 256;

/// Largest number of slots that an announcement may have, far above what a server can run.
const MAX_SLOTS: u32 = 1_000_000;

/// Time by which the clocks of a backend server and of its node may differ, in ms.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 3_600_000;

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

impl Announcement {
    /// What no backend server can mean, if there is such a value. Another writer may have sent the
    /// announcement; it must not be accepted, since the server's own ones could then look outdated.
    pub fn mistake(&self, now: SystemTime) -> Option<&'static str> {
        if !is_name(&self.service) {
            return Some("the service is empty, too long or not visible ASCII");
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Some("the number of slots is 0 or too large");
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Some("nobody can connect to the address");
        }
        self.server.as_ref().and_then(|server| server.mistake(now))
    }
}

/// Whether a text can be sent in a header as the name of a service or the id of a server.
pub(super) fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Whether a backend server can have started at a time, in ms since 1970.
pub fn is_start_time(started_at_ms: u64, now: SystemTime) -> bool {
    started_at_ms <= unix_ms(now).saturating_add(MAX_CLOCK_DIFFERENCE_MS)
}

/// A time in ms since 1970; 0 if the clock of the host is set to an earlier time.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_1970 = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX)
}

/// Distinguishes the starts of a backend server and orders the announcements of each start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerIdentity {
    /// Id of the backend server; a later start may have the same one.
    pub id: String,
    /// Start time in ms since 1970, by the clock of the backend server.
    pub started_at_ms: u64,
    /// Increases with each announcement of one start, by one a ms at most, so that late ones are
    /// recognised.
    pub sequence: u64,
}

impl ServerIdentity {
    /// What no backend server can mean, if there is such a value.
    fn mistake(&self, now: SystemTime) -> Option<&'static str> {
        if !is_name(&self.id) {
            return Some("the id of the server is empty, too long or not visible ASCII");
        }
        if !is_start_time(self.started_at_ms, now) {
            return Some("the server starts in the future");
        }
        let age_ms = unix_ms(now).saturating_sub(self.started_at_ms);
        if self.sequence > age_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS) {
            return Some("the sequence number is higher than the server can have reached");
        }
        None
    }

    /// Whether this announcement is older than the other one: of an earlier start, or with a lower
    /// sequence number of the same start.
    pub fn is_before(&self, other: &Self) -> bool {
        (self.started_at_ms, self.sequence) < (other.started_at_ms, other.sequence)
    }
}
