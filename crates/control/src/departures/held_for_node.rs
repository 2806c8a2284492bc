use serde::Deserialize;
use serde::Serialize;
use tarragon_model::api::ServerDeparture;

use crate::departures::OperatorDrain;

/// What a node holds for another one: the response to a [`DepartureRequest`](crate::departures::DepartureRequest).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldForNode {
    /// Departures of backend servers that the node has acknowledged.
    pub departures: Vec<ServerDeparture>,
    /// Last order of operators about a drain.
    pub drain: OperatorDrain,
}
