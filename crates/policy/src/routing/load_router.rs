use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;

use crate::admission::shed_hash;
use crate::admission::AdmissionAdvice;
use crate::routing::decaying_advice::DecayingAdvice;
use crate::routing::CallOutcome;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

/// Settings of [`LoadRouter`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRouterSettings {
    /// Share of the limit up to which a server of the own data centre is used before others.
    pub max_local_load: f64,
    /// Share of the limit that the way to another data centre of the region counts for.
    pub region_penalty: f64,
    /// The same for another region.
    pub remote_penalty: f64,
    /// Factor on the load of a server in its cold start, which works more slowly.
    pub cold_start_factor: f64,
    /// Time after which what a gate said of the load of others has lost its force, in ms.
    pub load_decay_ms: u64,
    /// Time in which advice to stay away decays, in ms.
    pub advice_decay_ms: u64,
    /// Limit assumed for a gate that has not told its own.
    pub default_limit: u32,
    /// Share of failed calls by which a server must exceed its peers to be avoided.
    pub failure_margin: f64,
    /// Time for which it is avoided, in ms.
    pub avoidance_ms: u64,
    /// Load that an idle server is taken to have when speeds are compared, as a share of its limit.
    pub idle_load: f64,
    /// Time after which what was seen of a server's speed has lost most of its force, in ms, so that
    /// one that was slow is tried again.
    pub speed_decay_ms: u64,
    /// When a caller should try again if there is no server, in ms; each is told half of this to one
    /// and a half times this.
    pub no_server_retry_ms: u64,
}

impl Default for LoadRouterSettings {
    fn default() -> Self {
        Self {
            max_local_load: 0.8,
            region_penalty: 0.1,
            remote_penalty: 0.5,
            cold_start_factor: 2.0,
            load_decay_ms: 2_000,
            advice_decay_ms: 1_000,
            default_limit: 16,
            failure_margin: 0.3,
            avoidance_ms: 1_000,
            idle_load: 0.25,
            speed_decay_ms: 4_000,
            no_server_retry_ms: 500,
        }
    }
}

/// Weight of the newest call in a server's share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 12.0;

/// Weight of the newest call in a server's speed and in the mean of its kind.
const SPEED_WEIGHT: f64 = 1.0 / 16.0;

/// Share of another cost from which a cost counts as lower.
const TIE_SHARE: f64 = 0.97;

/// Bounds of one call's latency relative to its kind, so that single calls do not decide.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Most kinds of requests of a service with a mean of their own; beyond it all are learnt anew.
const MAX_KINDS: usize = 1_024;

/// The servers of a service.
#[derive(Debug, Default)]
struct Pool {
    servers: Vec<Server>,
    /// Mean latency of answers by kind of request, in µs.
    kinds: HashMap<u32, f64>,
}

impl Pool {
    /// Latency relative to other answers of the kind, which it joins.
    fn relative(&mut self, kind: u32, latency_us: u64) -> f64 {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let latency_us = latency_us.max(1) as f64;
        let mean = self.kinds.entry(kind).or_insert(latency_us);
        let (least, most) = RATIO_BOUNDS;
        let ratio = (latency_us / *mean).clamp(least, most);
        *mean += (latency_us - *mean) * SPEED_WEIGHT;
        ratio
    }
}

#[derive(Debug)]
struct Server {
    candidate: Candidate,
    is_listed: bool,
    in_flight: u32,
    /// What the gate last said, when, in µs, and how many calls of this node were in it.
    told: Option<(AdmissionAdvice, u64, u32)>,
    failure_share: f64,
    avoided_until_us: u64,
    /// Mean latency relative to other answers of the same kinds, and when it was updated, in µs.
    slowness: f64,
    slowness_us: u64,
}

impl Server {
    fn new(candidate: &Candidate) -> Self {
        Self {
            candidate: candidate.clone(),
            is_listed: true,
            in_flight: 0,
            told: None,
            failure_share: 0.0,
            avoided_until_us: 0,
            slowness: 1.0,
            slowness_us: 0,
        }
    }

    /// How much slower than its peers it is; 1 if nothing was seen for long.
    fn slowness(&self, settings: &LoadRouterSettings, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.slowness_us) as f64;
        let force = (-age_us / (settings.speed_decay_ms * 1_000).max(1) as f64).exp();
        1.0 + (self.slowness - 1.0) * force
    }

    fn record_speed(&mut self, ratio: f64, settings: &LoadRouterSettings, now_us: u64) {
        let present = self.slowness(settings, now_us);
        self.slowness = present + (ratio - present) * SPEED_WEIGHT;
        self.slowness_us = now_us;
    }

    /// What a request has to expect: more the fuller and the slower the server is.
    fn cost(&self, settings: &LoadRouterSettings, now_us: u64) -> f64 {
        (self.load(settings, now_us) + settings.idle_load) * self.slowness(settings, now_us)
    }

    /// Share of its limit that the server has in use: the calls of this node as they are now, and
    /// those of others as the gate last told.
    fn load(&self, settings: &LoadRouterSettings, now_us: u64) -> f64 {
        let own = f64::from(self.in_flight + 1);
        let (others, limit) = match &self.told {
            Some((advice, at_us, own_then)) => {
                let age_us = now_us.saturating_sub(*at_us) as f64;
                let force = (1.0 - age_us / (settings.load_decay_ms * 1_000) as f64).max(0.0);
                let others = f64::from(advice.in_flight.saturating_sub(*own_then));
                (others * force, advice.limit.max(1))
            }
            None => (0.0, settings.default_limit),
        };
        let is_cold = self.candidate.state == BackendState::Starting;
        let factor = if is_cold { settings.cold_start_factor } else { 1.0 };
        (own + others) * factor / f64::from(limit)
    }

    fn is_admitting(
        &self,
        query: &RouteQuery<'_>,
        settings: &LoadRouterSettings,
        now_us: u64,
    ) -> bool {
        let Some((advice, at_us, _)) = &self.told else { return true };
        let hash = shed_hash(query.request_id);
        let decay_us = settings.advice_decay_ms * 1_000;
        DecayingAdvice::new(*advice, *at_us).is_admitted(query.rank, hash, decay_us, now_us)
    }
}

/// Routes by how full the servers are.
///
/// The load that it answers: services whose requests differ a hundredfold in run time, so that
/// latency tells more about which request was served than about the server. A server is as loaded
/// as its gate says, corrected by what this node has sent since. The own data centre goes first
/// until its servers are nearly full; then the less loaded of two random servers of the region is
/// chosen. Of two servers that are alike in load the one that is faster for the same kinds of
/// requests is better, since long requests end within their time limit only on a fast one. A server
/// that fails far more of its calls than its peers is avoided for a while, since quick failures would
/// else make it look idle.
pub struct LoadRouter {
    settings: LoadRouterSettings,
    rng: Pcg32,
    services: HashMap<String, Pool>,
    /// Peers that are not `Unproven`.
    peers: HashMap<InstanceId, PeerState>,
}

impl LoadRouter {
    /// Creates a router without candidates. Routers with equal seeds and inputs decide equally.
    pub fn new(settings: LoadRouterSettings, seed: u64) -> Self {
        let rng = Pcg32::seed_from_u64(seed);
        Self { settings, rng, services: HashMap::new(), peers: HashMap::new() }
    }

    fn server(&mut self, service: &str, target: InstanceId) -> Option<&mut Server> {
        let pool = self.services.get_mut(service)?;
        pool.servers.iter_mut().find(|server| server.candidate.instance == target)
    }

    /// The less loaded of two random servers (Mitzenmacher, "The power of two choices in
    /// randomized load balancing", 2001).
    fn pick(&mut self, among: &[(InstanceId, f64)]) -> Option<InstanceId> {
        let (first, second) = match among.len() {
            0 => return None,
            1 => (0, 0),
            count => {
                let first = self.rng.random_range(0..count);
                (first, (first + self.rng.random_range(1..count)) % count)
            }
        };
        let (first, second) = (among.get(first)?, among.get(second)?);
        // Costs that hardly differ are a tie, or else one server would get all work for nothing.
        Some(if second.1 < first.1 * TIE_SHARE { second.0 } else { first.0 })
    }
}

impl RoutePolicy for LoadRouter {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], _now_us: u64) {
        let servers = &mut self.services.entry(service.to_string()).or_default().servers;
        for server in servers.iter_mut() {
            let listed = candidates.iter().find(|c| c.instance == server.candidate.instance);
            server.is_listed = listed.is_some();
            if let Some(listed) = listed {
                server.candidate = listed.clone();
            }
        }
        servers.retain(|server| server.is_listed || server.in_flight > 0);
        for candidate in candidates {
            if !servers.iter().any(|server| server.candidate.instance == candidate.instance) {
                servers.push(Server::new(candidate));
            }
        }
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    fn choose(&mut self, query: &RouteQuery<'_>, now_us: u64) -> RouteDecision {
        let settings = self.settings;
        // Callers that are refused together must not come back together.
        let mean_ms = settings.no_server_retry_ms;
        let retry_after_ms = self.rng.random_range(mean_ms / 2..=mean_ms * 3 / 2);
        let none = RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        let Some(pool) = self.services.get(query.service) else { return none };
        let usable: Vec<&Server> = pool
            .servers
            .iter()
            .filter(|server| {
                let candidate = &server.candidate;
                server.is_listed
                    && candidate.state.is_serving()
                    && !query.excluded.contains(&candidate.instance)
            })
            .collect();
        let state = |server: &&&Server| self.peers.get(&server.candidate.instance).copied();
        let is_heard = |server: &&&Server| state(server) != Some(PeerState::Suspect);
        let is_proven = |server: &&&Server| state(server) == Some(PeerState::Proven);
        let is_well = |server: &&&Server| server.avoided_until_us <= now_us;
        // Each narrower group is used unless it is empty.
        let mut group = usable;
        let mut narrow = |fits: &dyn Fn(&&&Server) -> bool| {
            let fitting: Vec<&Server> = group.iter().filter(fits).copied().collect();
            if !fitting.is_empty() {
                group = fitting;
            }
        };
        narrow(&is_heard);
        if query.needs_proven_connection {
            narrow(&is_proven);
        }
        narrow(&is_well);
        narrow(&|server| server.is_admitting(query, &settings, now_us));
        let near: Vec<(InstanceId, f64)> = group
            .iter()
            .filter(|server| {
                let is_local = server.candidate.distance == Distance::Local;
                is_local && server.load(&settings, now_us) < settings.max_local_load
            })
            .map(|server| (server.candidate.instance, server.cost(&settings, now_us)))
            .collect();
        let all = group.iter().map(|server| {
            let penalty = match server.candidate.distance {
                Distance::Local => 0.0,
                Distance::Region => settings.region_penalty,
                Distance::Remote => settings.remote_penalty,
            };
            (server.candidate.instance, server.cost(&settings, now_us) + penalty)
        });
        let among = if near.is_empty() { all.collect() } else { near };
        self.pick(&among).map_or(none, RouteDecision::Use)
    }

    fn record_call_start(&mut self, service: &str, target: InstanceId, _now_us: u64) {
        if let Some(server) = self.server(service, target) {
            server.in_flight += 1;
        }
    }

    fn record_call_end(
        &mut self,
        service: &str,
        target: InstanceId,
        result: &CallResult,
        now_us: u64,
    ) {
        let settings = self.settings;
        let Some(pool) = self.services.get_mut(service) else { return };
        let ratio = match result.outcome {
            CallOutcome::Answered => Some(pool.relative(result.kind, result.latency_us)),
            _ => None,
        };
        let servers = &mut pool.servers;
        let shares = servers.iter().map(|s| (s.candidate.instance, s.failure_share));
        let others: Vec<f64> =
            shares.filter(|(i, _)| *i != target).map(|(_, share)| share).collect();
        let Some(server) = servers.iter_mut().find(|s| s.candidate.instance == target) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if let Some(ratio) = ratio {
            server.record_speed(ratio, &settings, now_us);
        }
        let failed = match result.outcome {
            CallOutcome::Answered => 0.0,
            CallOutcome::Errored | CallOutcome::Failed | CallOutcome::Rejected => 1.0,
            CallOutcome::NotRun | CallOutcome::Cancelled => return,
        };
        server.failure_share += (failed - server.failure_share) * FAILURE_WEIGHT;
        let peers_share = others.iter().copied().fold(f64::INFINITY, f64::min);
        if peers_share.is_finite() && server.failure_share > peers_share + settings.failure_margin {
            server.avoided_until_us = now_us + settings.avoidance_ms * 1_000;
            // After that time some calls must fail again before it is avoided again.
            server.failure_share = peers_share + settings.failure_margin / 2.0;
        }
        servers.retain(|server| server.is_listed || server.in_flight > 0);
    }

    fn record_advice(
        &mut self,
        service: &str,
        target: InstanceId,
        advice: &AdmissionAdvice,
        now_us: u64,
    ) {
        if let Some(server) = self.server(service, target) {
            server.told = Some((*advice, now_us, server.in_flight));
        }
    }

    fn set_peer_state(&mut self, target: InstanceId, state: PeerState, _now_us: u64) {
        match state {
            PeerState::Unproven => self.peers.remove(&target),
            _ => self.peers.insert(target, state),
        };
        // States of peers that are no candidates any more go once there are many.
        let known: usize = self.services.values().map(|pool| pool.servers.len()).sum();
        if self.peers.len() > 2 * known + 64 {
            let services = &self.services;
            let is_known = |peer: &InstanceId| {
                let mut servers = services.values().flat_map(|pool| &pool.servers);
                servers.any(|server| server.candidate.instance == *peer)
            };
            self.peers.retain(|peer, _| is_known(peer));
        }
    }
}

#[cfg(test)]
mod tests;
