use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use tarragon_model::api::ServerDeparture;
use tokio::time::Instant;

use crate::departures::DepartureRequest;
use crate::departures::HeldForNode;
use crate::departures::OperatorDrain;

/// Time for which a departure is held. Announcements are late by seconds, and a node that restarts
/// asks within seconds.
const HOLD_TIME: Duration = Duration::from_secs(600);

/// Time for which an order about a drain is held after its node has last repeated it. A host may be off
/// for days while it is serviced.
const DRAIN_HOLD_TIME: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Maximum number of departures that are held for one node; the oldest one is dropped beyond it. A host
/// has one backend server at a time.
const MAX_DEPARTURES_PER_NODE: usize = 16;

/// Maximum number of nodes for which departures are held. The deployments that this is designed for
/// have 2,200.
const MAX_NODES: usize = 8_192;

/// Departures and drains that this node holds for others, in memory.
#[derive(Debug, Default)]
pub struct HeldDepartures {
    by_node: Mutex<HashMap<String, Held>>,
}

/// What is held for one node.
#[derive(Debug, Default)]
struct Held {
    departures: Vec<HeldDeparture>,
    drain: OperatorDrain,
    drain_held_until: Option<Instant>,
}

#[derive(Debug)]
struct HeldDeparture {
    departure: ServerDeparture,
    held_until: Instant,
}

impl Held {
    fn hold_departure(&mut self, departure: &ServerDeparture, now: Instant) {
        self.departures.retain(|held| held.held_until > now && !departure.covers(&held.departure));
        if self.departures.len() >= MAX_DEPARTURES_PER_NODE {
            self.departures.remove(0);
        }
        let held_until = now + HOLD_TIME;
        self.departures.push(HeldDeparture { departure: departure.clone(), held_until });
    }

    fn hold_drain(&mut self, drain: OperatorDrain, now: Instant) {
        if drain.changed_at_ms >= self.drain.changed_at_ms {
            self.drain = drain;
            self.drain_held_until = Some(now + DRAIN_HOLD_TIME);
        }
    }

    fn answer(&self, now: Instant) -> HeldForNode {
        let departures = self.departures.iter().filter(|held| held.held_until > now);
        let is_drain_held = self.drain_held_until.is_some_and(|held_until| held_until > now);
        HeldForNode {
            departures: departures.map(|held| held.departure.clone()).collect(),
            drain: if is_drain_held { self.drain } else { OperatorDrain::default() },
        }
    }

    fn is_empty(&self, now: Instant) -> bool {
        self.answer(now) == HeldForNode::default()
    }
}

impl HeldDepartures {
    /// Answers a request with what is held for the node that it names.
    pub fn answer(&self, request: &DepartureRequest) -> HeldForNode {
        let now = Instant::now();
        let mut by_node = self.by_node.lock().expect("no thread panics while it holds the lock");
        let node = match request {
            DepartureRequest::Hold { node, departure } => {
                if let Some(held) = entry(&mut by_node, node, now) {
                    held.hold_departure(departure, now);
                }
                node
            }
            DepartureRequest::HoldDrain { node, drain } => {
                if let Some(held) = entry(&mut by_node, node, now) {
                    held.hold_drain(*drain, now);
                }
                node
            }
            DepartureRequest::Find { node } => node,
        };
        by_node.get(node).map(|held| held.answer(now)).unwrap_or_default()
    }
}

/// The entry of a node; `None` if too many other nodes have one.
fn entry<'a>(
    by_node: &'a mut HashMap<String, Held>,
    node: &str,
    now: Instant,
) -> Option<&'a mut Held> {
    if by_node.len() >= MAX_NODES && !by_node.contains_key(node) {
        by_node.retain(|_, held| !held.is_empty(now));
        if by_node.len() >= MAX_NODES {
            tracing::warn!("drain: departures of {MAX_NODES} nodes are held, none more is");
            return None;
        }
    }
    Some(by_node.entry(node.to_string()).or_default())
}
