use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::api::ServerDeparture;

use crate::departures::HeldForNode;
use crate::departures::OperatorDrain;

/// Maximum number of departures that are held for one node; the oldest one is dropped beyond it. A host
/// has one backend server at a time.
const MAX_DEPARTURES_PER_NODE: usize = 16;

/// Maximum number of nodes for which something is held; the one whose last change is the oldest is
/// dropped beyond it. The deployments that this is designed for have 2,200.
const MAX_NODES: usize = 8_192;

/// What the replicated log is to hold for a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldRequest {
    /// The departure of its backend server.
    Departure {
        /// Name of the node.
        node: String,
        /// The departure.
        departure: ServerDeparture,
    },
    /// An order of operators about the drain of its backend server.
    Drain {
        /// Name of the node.
        node: String,
        /// The order.
        drain: OperatorDrain,
    },
}

/// Departures and drains in the state of the replicated log, by node. They are kept without a time
/// limit, because replicas have no common clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStates {
    by_node: BTreeMap<String, HeldState>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HeldState {
    held: HeldForNode,
    /// Position of the last change among the changes of all nodes.
    change: u64,
}

impl HeldStates {
    /// Holds a departure or an order, and returns all that is held for the node. Repeating a request
    /// changes nothing.
    pub fn hold(&mut self, request: &HoldRequest) -> HeldForNode {
        let (HoldRequest::Departure { node, .. } | HoldRequest::Drain { node, .. }) = request;
        let mut held = self.held_for(node);
        match request {
            HoldRequest::Departure { departure, .. } => {
                if held.departures.iter().any(|known| known.covers(departure)) {
                    return held;
                }
                held.departures.retain(|known| !departure.covers(known));
                if held.departures.len() >= MAX_DEPARTURES_PER_NODE {
                    held.departures.remove(0);
                }
                held.departures.push(departure.clone());
            }
            HoldRequest::Drain { drain, .. } => {
                if drain.changed_at_ms <= held.drain.changed_at_ms {
                    return held;
                }
                held.drain = *drain;
            }
        }
        let change = 1 + self.by_node.values().map(|state| state.change).max().unwrap_or(0);
        self.by_node.insert(node.clone(), HeldState { held: held.clone(), change });
        if self.by_node.len() > MAX_NODES {
            let oldest = self.by_node.iter().min_by_key(|(_, state)| state.change);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.by_node.remove(&name));
        }
        held
    }

    /// What is held for a node.
    pub fn held_for(&self, node: &str) -> HeldForNode {
        self.by_node.get(node).map(|state| state.held.clone()).unwrap_or_default()
    }
}
