use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use tarragon_model::api::ServerDeparture;
use tokio::time::Instant;

use crate::departures::DepartureRequest;

/// Time for which a departure is held. Announcements are late by seconds, and a node that restarts
/// asks within seconds.
const HOLD_TIME: Duration = Duration::from_secs(600);

/// Maximum number of departures that are held for one node; the oldest one is dropped beyond it. A host
/// has one backend server at a time.
const MAX_DEPARTURES_PER_NODE: usize = 16;

/// Maximum number of nodes for which departures are held. The deployments that this is designed for
/// have 2,200.
const MAX_NODES: usize = 8_192;

/// Departures that this node holds for others, in memory.
#[derive(Debug, Default)]
pub struct HeldDepartures {
    by_node: Mutex<HashMap<String, Vec<HeldDeparture>>>,
}

#[derive(Debug)]
struct HeldDeparture {
    departure: ServerDeparture,
    held_until: Instant,
}

impl HeldDepartures {
    /// Answers a request with the departures that are held for the node that it names.
    pub fn answer(&self, request: &DepartureRequest) -> Vec<ServerDeparture> {
        match request {
            DepartureRequest::Hold { node, departure } => {
                self.hold(node, departure);
                self.find(node)
            }
            DepartureRequest::Find { node } => self.find(node),
        }
    }

    fn hold(&self, node: &str, departure: &ServerDeparture) {
        let now = Instant::now();
        let mut by_node = self.by_node.lock().expect("no thread panics while it holds the lock");
        if by_node.len() >= MAX_NODES && !by_node.contains_key(node) {
            by_node.retain(|_, held| held.iter().any(|held| held.held_until > now));
            if by_node.len() >= MAX_NODES {
                tracing::warn!("drain: departures of {MAX_NODES} nodes are held, none more is");
                return;
            }
        }
        let held = by_node.entry(node.to_string()).or_default();
        held.retain(|held| held.held_until > now && !departure.covers(&held.departure));
        if held.len() >= MAX_DEPARTURES_PER_NODE {
            held.remove(0);
        }
        held.push(HeldDeparture { departure: departure.clone(), held_until: now + HOLD_TIME });
    }

    fn find(&self, node: &str) -> Vec<ServerDeparture> {
        let now = Instant::now();
        let by_node = self.by_node.lock().expect("no thread panics while it holds the lock");
        let held = by_node.get(node).into_iter().flatten();
        held.filter(|held| held.held_until > now).map(|held| held.departure.clone()).collect()
    }
}
