use std::collections::HashMap;

use rand::Rng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;

use crate::admission::shed_hash;
use crate::routing::server::Server;
use crate::routing::spill::shed_position;
use crate::routing::spill::Spill;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RouteQuery;

const NEAREST_FIRST: [Distance; 3] = [Distance::Local, Distance::Region, Distance::Remote];
const LOCAL_LAST: [Distance; 3] = [Distance::Region, Distance::Remote, Distance::Local];

/// Whether a server can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fitness {
    /// Not ready, not a candidate any more, or excluded.
    Unfit,
    /// Its connection does not answer.
    Suspect,
    /// Its advice refuses the request.
    Shedding,
    /// It can take it.
    Able { is_proven: bool },
}

/// The backend servers of one service.
pub(super) struct Pool {
    servers: Vec<Server>,
    spill: Spill,
    /// Requests so far, which number the probes.
    requests: u64,
    /// Fitness by server for the present request; kept to reuse its memory.
    fitness: Vec<Fitness>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self { servers: vec![], spill: Spill::new(), requests: 0, fitness: vec![] }
    }

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Replaces the candidates. Servers that are there when the pool is empty have served others
    /// before this node knew them and need no ramp.
    pub fn replace(
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
            let mut server = Server::new(candidate);
            if !was_empty {
                server.start_ramp(settings.ramp_ms, now_us);
            }
            self.servers.push(server);
        }
    }

    /// Finds a server.
    pub fn find(&mut self, instance: InstanceId) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.instance == instance)
    }

    /// Whether a server of this instance is known.
    pub fn has(&self, instance: InstanceId) -> bool {
        self.servers.iter().any(|server| server.instance == instance)
    }

    /// Drops servers that are no candidates and have no calls in flight any more.
    pub fn drop_idle(&mut self) {
        self.servers.retain(|server| server.is_candidate || server.in_flight > 0);
    }

    /// Chooses a server.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        peers: &HashMap<InstanceId, PeerState>,
        settings: &AdaptiveRouterSettings,
        rng: &mut Pcg32,
        now_us: u64,
    ) -> RouteDecision {
        let hash = shed_hash(query.request_id);
        let is_local_able = self.assess(query, hash, peers, settings, now_us);
        let position = shed_position(query.rank, hash);
        let draw = rng.random::<f64>();
        let is_away = self.spill.is_away(position, is_local_able, settings, draw, now_us);
        let order = if is_away { LOCAL_LAST } else { NEAREST_FIRST };
        let proven = |fitness| fitness == Fitness::Able { is_proven: true };
        let able = |fitness| matches!(fitness, Fitness::Able { .. });
        let mut found = vec![];
        if query.needs_proven_connection {
            found = self.first_group(&order, proven);
        }
        if found.is_empty() {
            found = self.first_group(&order, able);
        }
        if found.is_empty() {
            if self.fitness.contains(&Fitness::Shedding) {
                return self.shed(query.rank, hash, settings, now_us);
            }
            found = self.first_group(&NEAREST_FIRST, |fitness| fitness == Fitness::Suspect);
        }
        if found.is_empty() {
            let retry_after_ms = settings.no_server_retry_ms;
            return RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        }
        let at = self.draw(&found, !query.needs_proven_connection, settings, rng, now_us);
        RouteDecision::Use(self.servers[at].instance)
    }

    /// Sets the fitness of every server. Returns whether the own data centre can serve such
    /// requests, whatever servers this request has tried already.
    fn assess(
        &mut self,
        query: &RouteQuery<'_>,
        hash: u16,
        peers: &HashMap<InstanceId, PeerState>,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> bool {
        let mut is_local_able = false;
        self.fitness.clear();
        for server in &self.servers {
            let peer = peers.get(&server.instance).copied().unwrap_or(PeerState::Unproven);
            let fitness = if !server.is_candidate || !server.state.is_serving() {
                Fitness::Unfit
            } else if peer == PeerState::Suspect {
                Fitness::Suspect
            } else if !server.is_admitting(query.rank, hash, settings, now_us) {
                Fitness::Shedding
            } else {
                Fitness::Able { is_proven: peer == PeerState::Proven }
            };
            let is_able = matches!(fitness, Fitness::Able { .. });
            is_local_able |= is_able && server.distance == Distance::Local;
            let is_excluded = query.excluded.contains(&server.instance);
            self.fitness.push(if is_excluded { Fitness::Unfit } else { fitness });
        }
        is_local_able
    }

    /// The fitting servers of the first distance that has any.
    fn first_group(&self, order: &[Distance], fits: impl Fn(Fitness) -> bool) -> Vec<usize> {
        let group = |distance: Distance| -> Vec<usize> {
            let all = self.servers.iter().zip(&self.fitness).enumerate();
            all.filter(|(_, (server, fitness))| server.distance == distance && fits(**fitness))
                .map(|(at, _)| at)
                .collect()
        };
        order.iter().map(|distance| group(*distance)).find(|g| !g.is_empty()).unwrap_or_default()
    }

    /// Refusal of a request that every gate would refuse.
    fn shed(
        &self,
        rank: u8,
        hash: u16,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> RouteDecision {
        let all = self.servers.iter().zip(&self.fitness);
        let shedding = all.filter(|(_, fitness)| **fitness == Fitness::Shedding);
        let waits = shedding.map(|(server, _)| server.wait_us(rank, hash, settings, now_us));
        let retry_after_ms = waits.min().unwrap_or(0).div_ceil(1_000).max(1);
        RouteDecision::Refuse { reason: Reason::Shed, retry_after_ms }
    }

    /// Chooses among servers: a probe if one is due, else the better of two random ones
    /// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
    fn draw(
        &mut self,
        among: &[usize],
        may_probe: bool,
        settings: &AdaptiveRouterSettings,
        rng: &mut Pcg32,
        now_us: u64,
    ) -> usize {
        let peers_us = self.median_us(among);
        if let Some(peers_us) = peers_us {
            among.iter().for_each(|&at| self.servers[at].compare(peers_us, settings, now_us));
        }
        self.requests += 1;
        if may_probe {
            let is_due =
                |at: &&usize| self.servers[**at].is_probe_due(self.requests, settings, now_us);
            if let Some(&at) = among.iter().find(is_due) {
                self.servers[at].probed(self.requests, settings);
                return at;
            }
        }
        let mut drawn: Vec<usize> =
            among.iter().copied().filter(|&at| !self.servers[at].is_failing(now_us)).collect();
        if drawn.is_empty() {
            drawn = among.to_vec();
        }
        let ramped: Vec<usize> = drawn
            .iter()
            .copied()
            .filter(|&at| {
                let share = self.servers[at].share(settings, now_us);
                share >= 1.0 || rng.random::<f64>() < share
            })
            .collect();
        let drawn = if ramped.is_empty() { drawn } else { ramped };
        let first = rng.random_range(0..drawn.len());
        if drawn.len() == 1 {
            return drawn[first];
        }
        let second = (first + rng.random_range(1..drawn.len())) % drawn.len();
        let score = |at: usize| {
            let server = &self.servers[at];
            let latency_us = server.latency_us(peers_us.unwrap_or(1.0), settings, now_us);
            latency_us.max(1.0) * f64::from(server.in_flight + 1)
        };
        let (first, second) = (drawn[first], drawn[second]);
        if score(second) < score(first) {
            second
        } else {
            first
        }
    }

    /// Lower median of the latencies from answers, so that of two servers the faster one counts.
    fn median_us(&self, among: &[usize]) -> Option<f64> {
        let mut known: Vec<f64> =
            among.iter().filter_map(|&at| self.servers[at].answered_us()).collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len().saturating_sub(1) / 2).map(|us| us.max(1.0))
    }
}
