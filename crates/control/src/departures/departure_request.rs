use serde::Deserialize;
use serde::Serialize;
use tarragon_model::api::ServerDeparture;

use crate::departures::OperatorDrain;

/// Request of a node to one that holds departures for it. The response is a
/// [`HeldForNode`](crate::departures::HeldForNode).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureRequest {
    /// Hold the departure of the backend server of a node. The response contains it once it is held.
    Hold {
        /// Name of the node.
        node: String,
        /// The departure.
        departure: ServerDeparture,
    },
    /// Hold an order of operators about the drain of the backend server of a node. The response
    /// contains it, or a later one.
    HoldDrain {
        /// Name of the node.
        node: String,
        /// The order.
        drain: OperatorDrain,
    },
    /// Return what is held for a node.
    Find {
        /// Name of the node.
        node: String,
    },
}
