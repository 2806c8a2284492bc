use serde::Deserialize;
use serde::Serialize;
use tarragon_model::api::ServerDeparture;

/// Request of a node to one that holds departures for it. The response is a list of departures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureRequest {
    /// Hold the departure of the backend server of a node. The response contains it once it is held.
    Hold {
        /// Name of the node.
        node: String,
        /// The departure.
        departure: ServerDeparture,
    },
    /// Return the departures that are held for a node.
    Find {
        /// Name of the node.
        node: String,
    },
}
