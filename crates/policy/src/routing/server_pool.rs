use std::collections::HashMap;

use rand::Rng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;

use crate::admission::shed_hash;
use crate::routing::measured_server::MeasuredServer;
use crate::routing::spillover::shed_position;
use crate::routing::spillover::Spillover;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RouteQuery;

const NEAREST_FIRST: [Distance; 3] = [Distance::Local, Distance::Region, Distance::Remote];
const OTHER_DATA_CENTRES_FIRST: [Distance; 3] =
    [Distance::Region, Distance::Remote, Distance::Local];

/// Availability of a server for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// Not serving, no longer a candidate, or excluded by the request.
    Unavailable,
    /// The connection to its node is [`PeerState::Suspect`].
    Suspect,
    /// The advice of its gate refuses the request.
    Shedding,
    /// Can take the request.
    Available { has_proven_connection: bool },
}

/// The backend servers of one service.
pub(super) struct ServerPool {
    servers: Vec<MeasuredServer>,
    spillover: Spillover,
    /// Number of requests so far, by which probes are spaced.
    request_count: u64,
    /// Availability of each server for the current request; a field in order to reuse its memory.
    availability: Vec<Availability>,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self {
            servers: vec![],
            spillover: Spillover::new(),
            request_count: 0,
            availability: vec![],
        }
    }

    /// Whether the pool has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Replaces the candidates. Servers that are added to an empty pool need no ramp, because they
    /// have served other nodes before this node discovered them.
    pub fn set_candidates(
        &mut self,
        candidates: &[Candidate],
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) {
        let was_empty = self.servers.is_empty();
        for server in &mut self.servers {
            if !candidates.iter().any(|candidate| candidate.instance == server.instance) {
                server.is_candidate = false;
            }
        }
        self.servers.retain(|server| server.is_candidate || server.in_flight > 0);
        for candidate in candidates {
            if let Some(server) = self.find(candidate.instance) {
                server.update(candidate, settings, now_us);
                continue;
            }
            let mut server = MeasuredServer::new(candidate);
            if !was_empty {
                server.start_ramp(settings.ramp_ms, now_us);
            }
            self.servers.push(server);
        }
    }

    /// Finds the server of an instance.
    pub fn find(&mut self, instance: InstanceId) -> Option<&mut MeasuredServer> {
        self.servers.iter_mut().find(|server| server.instance == instance)
    }

    /// Whether the pool has a server of this instance.
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.servers.iter().any(|server| server.instance == instance)
    }

    /// Drops servers that are not candidates and have no calls in flight.
    pub fn drop_departed(&mut self) {
        self.servers.retain(|server| server.is_candidate || server.in_flight > 0);
    }

    /// Chooses a server for a request, or refuses the request.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        peer_states: &HashMap<InstanceId, PeerState>,
        settings: &AdaptiveRouterSettings,
        rng: &mut Pcg32,
        now_us: u64,
    ) -> RouteDecision {
        let hash = shed_hash(query.request_id);
        let is_local_available =
            self.update_availability(query, hash, peer_states, settings, now_us);
        let position = shed_position(query.rank, hash);
        let draw = rng.random::<f64>();
        let is_spilled =
            self.spillover.is_spilled(position, is_local_available, settings, draw, now_us);
        let order = if is_spilled { OTHER_DATA_CENTRES_FIRST } else { NEAREST_FIRST };
        let is_available_and_proven =
            |availability| availability == Availability::Available { has_proven_connection: true };
        let is_available = |availability| matches!(availability, Availability::Available { .. });
        let mut group = vec![];
        if query.needs_proven_connection {
            group = self.nearest_matching(&order, is_available_and_proven);
        }
        if group.is_empty() {
            group = self.nearest_matching(&order, is_available);
        }
        if group.is_empty() {
            if self.availability.contains(&Availability::Shedding) {
                return self.shed_decision(query.rank, hash, settings, now_us);
            }
            group = self.nearest_matching(&NEAREST_FIRST, |availability| {
                availability == Availability::Suspect
            });
        }
        if group.is_empty() {
            let retry_after_ms = settings.no_server_retry_ms;
            return RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        }
        let index = self.choose_from(&group, !query.needs_proven_connection, settings, rng, now_us);
        RouteDecision::Use(self.servers[index].instance)
    }

    /// Updates the availability of every server. Returns whether the local data centre can serve
    /// such requests, regardless of the servers that this request excludes.
    fn update_availability(
        &mut self,
        query: &RouteQuery<'_>,
        hash: u16,
        peer_states: &HashMap<InstanceId, PeerState>,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> bool {
        let mut is_local_available = false;
        self.availability.clear();
        for server in &self.servers {
            let peer_state =
                peer_states.get(&server.instance).copied().unwrap_or(PeerState::Unproven);
            let availability = if !server.is_candidate || !server.state.is_serving() {
                Availability::Unavailable
            } else if peer_state == PeerState::Suspect {
                Availability::Suspect
            } else if !server.is_admitting(query.rank, hash, settings, now_us) {
                Availability::Shedding
            } else {
                Availability::Available { has_proven_connection: peer_state == PeerState::Proven }
            };
            let is_available = matches!(availability, Availability::Available { .. });
            is_local_available |= is_available && server.distance == Distance::Local;
            let is_excluded = query.excluded.contains(&server.instance);
            self.availability.push(if is_excluded {
                Availability::Unavailable
            } else {
                availability
            });
        }
        is_local_available
    }

    /// Indexes of the matching servers at the first distance that has any.
    fn nearest_matching(
        &self,
        order: &[Distance],
        matches: impl Fn(Availability) -> bool,
    ) -> Vec<usize> {
        let group = |distance: Distance| -> Vec<usize> {
            let all = self.servers.iter().zip(&self.availability).enumerate();
            all.filter(|(_, (server, availability))| {
                server.distance == distance && matches(**availability)
            })
            .map(|(index, _)| index)
            .collect()
        };
        order.iter().map(|distance| group(*distance)).find(|g| !g.is_empty()).unwrap_or_default()
    }

    /// Builds the refusal of a request that every gate would refuse.
    fn shed_decision(
        &self,
        rank: u8,
        hash: u16,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> RouteDecision {
        let all = self.servers.iter().zip(&self.availability);
        let shedding = all.filter(|(_, availability)| **availability == Availability::Shedding);
        let waits = shedding.map(|(server, _)| server.wait_us(rank, hash, settings, now_us));
        let retry_after_ms = waits.min().unwrap_or(0).div_ceil(1_000).max(1);
        RouteDecision::Refuse { reason: Reason::Shed, retry_after_ms }
    }

    /// Chooses a server of a group: one that is due for a probe, or else the better of two random
    /// ones (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
    fn choose_from(
        &mut self,
        group: &[usize],
        is_probe_allowed: bool,
        settings: &AdaptiveRouterSettings,
        rng: &mut Pcg32,
        now_us: u64,
    ) -> usize {
        let median_us = self.median_latency_us(group);
        if let Some(median_us) = median_us {
            group.iter().for_each(|&index| {
                self.servers[index].update_slowness(median_us, settings, now_us)
            });
        }
        self.request_count += 1;
        if is_probe_allowed {
            let is_due = |index: &&usize| {
                self.servers[**index].is_probe_due(self.request_count, settings, now_us)
            };
            if let Some(&index) = group.iter().find(is_due) {
                self.servers[index].record_probe(self.request_count, settings);
                return index;
            }
        }
        let mut usable: Vec<usize> = group
            .iter()
            .copied()
            .filter(|&index| !self.servers[index].is_failing(now_us))
            .collect();
        if usable.is_empty() {
            usable = group.to_vec();
        }
        let ramped: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|&index| {
                let selection_share = self.servers[index].selection_share(settings, now_us);
                selection_share >= 1.0 || rng.random::<f64>() < selection_share
            })
            .collect();
        let eligible = if ramped.is_empty() { usable } else { ramped };
        let first = rng.random_range(0..eligible.len());
        if eligible.len() == 1 {
            return eligible[first];
        }
        let second = (first + rng.random_range(1..eligible.len())) % eligible.len();
        let score = |index: usize| {
            let server = &self.servers[index];
            let latency_us = server.expected_latency_us(median_us.unwrap_or(1.0), settings, now_us);
            latency_us.max(1.0) * f64::from(server.in_flight + 1)
        };
        let (first, second) = (eligible[first], eligible[second]);
        if score(second) < score(first) {
            second
        } else {
            first
        }
    }

    /// Lower median of the average latencies, which is that of the faster one if there are two.
    fn median_latency_us(&self, group: &[usize]) -> Option<f64> {
        let mut latencies_us: Vec<f64> =
            group.iter().filter_map(|&index| self.servers[index].average_latency_us()).collect();
        latencies_us.sort_by(f64::total_cmp);
        latencies_us.get(latencies_us.len().saturating_sub(1) / 2).map(|us| us.max(1.0))
    }
}
