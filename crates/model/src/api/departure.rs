use serde::Deserialize;
use serde::Serialize;

use crate::api::announcement::is_name;
use crate::api::ServerIdentity;

/// A backend server has said that it takes no more requests and will exit.
///
/// That is final for this start and for all earlier ones with the same id; only a later start gets
/// requests again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// Id of the backend server.
    pub id: String,
    /// Latest start that has left, in ms since 1970.
    pub started_at_ms: u64,
}

impl ServerDeparture {
    /// The departure of the start that an announcement names.
    pub fn of(server: &ServerIdentity) -> Self {
        Self { id: server.id.clone(), started_at_ms: server.started_at_ms }
    }

    /// Whether the id can be that of a server. Another writer may have sent the departure.
    pub fn has_valid_id(&self) -> bool {
        is_name(&self.id)
    }

    /// Whether the start of a server is among those that have left.
    pub fn includes(&self, server: &ServerIdentity) -> bool {
        self.id == server.id && server.started_at_ms <= self.started_at_ms
    }

    /// Whether this departure says all that the other one says.
    pub fn covers(&self, other: &Self) -> bool {
        self.id == other.id && other.started_at_ms <= self.started_at_ms
    }
}
