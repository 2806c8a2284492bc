use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;

use crate::admission::shed_hash;
use crate::admission::AdmissionAdvice;
use crate::admission::MeanRunTime;
use crate::routing::decaying_advice::DecayingAdvice;
use crate::routing::slowness::KindMeans;
use crate::routing::slowness::Slowness;
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
    /// Load below which a server of the local data centre is preferred to other data centres, as a
    /// share of its limit.
    pub max_local_load: f64,
    /// Cost added to a server in another data centre of the region, as a share of its limit.
    pub region_penalty: f64,
    /// Cost added to a server in another region, as a share of its limit.
    pub remote_penalty: f64,
    /// Factor on the load of a server in its cold start, during which it is slower.
    pub cold_start_factor: f64,
    /// Time over which the load from other nodes, as reported by a gate, decays to zero, in ms.
    pub load_decay_ms: u64,
    /// Time over which admission advice decays to "admit all", in ms.
    pub advice_decay_ms: u64,
    /// Limit assumed for a gate that has not reported its limit.
    pub default_limit: u32,
    /// Difference between the share of failed calls of a server and the lowest share of the other
    /// servers of the service above which the server is avoided.
    pub failure_margin: f64,
    /// Time for which a server that exceeds `failure_margin` is avoided, in ms.
    pub avoidance_ms: u64,
    /// Load added to every server before it is multiplied by the relative latency, as a share of
    /// the limit, so that the relative latency also counts for idle servers.
    pub idle_load: f64,
    /// Time constant with which the slowness of a server without new answers decays to 1, in ms, so
    /// that a server that was slow is tried again.
    pub slowness_time_constant_ms: u64,
    /// The same for a slowness that the gate of the server reported. Gates average over the
    /// requests of all nodes, so what they report is valid for longer.
    pub reported_slowness_time_constant_ms: u64,
    /// Mean delay before a caller should retry when there is no server, in ms. The delays are
    /// spread between half and one and a half times this value.
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
            slowness_time_constant_ms: 4_000,
            reported_slowness_time_constant_ms: 10_000,
            no_server_retry_ms: 500,
        }
    }
}

/// Weight of the newest call in the moving average of the share of failed calls of a server.
const NEWEST_FAILURE_WEIGHT: f64 = 1.0 / 12.0;

/// Ratio of two costs below which the smaller cost counts as lower and not as a tie.
const TIE_COST_RATIO: f64 = 0.97;

/// Exponent of the speed of a server in the probability that it is one of the two that are compared.
/// With 1, two of three requests would still compare only the slow servers of a service in which one
/// server in three is fast.
const SPEED_EXPONENT: i32 = 2;

/// The backend servers of one service.
#[derive(Debug, Default)]
struct ServicePool {
    servers: Vec<TrackedServer>,
    /// Latencies of answers, as measured by this node.
    latencies: KindMeans,
}

impl ServicePool {
    /// Mean of the run times of a kind that the gates reported, in µs; 0 without reports.
    fn mean_reported_us(&self, kind: u32) -> f64 {
        let reports = self.servers.iter().filter_map(|server| server.slowness.reported_us(kind));
        let (count, sum_us) = reports.fold((0_u32, 0.0), |(n, sum), us| (n + 1, sum + us as f64));
        sum_us / f64::from(count.max(1))
    }
}

/// Load that a gate reported.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    advice: AdmissionAdvice,
    received_us: u64,
    /// Calls from this node in flight when the advice was received.
    in_flight_from_this_node: u32,
}

/// State of one backend server of a service.
#[derive(Debug)]
struct TrackedServer {
    candidate: Candidate,
    /// False after its removal from the candidates, while calls are in flight.
    is_candidate: bool,
    in_flight: u32,
    /// Latest load that the gate reported.
    reported_load: Option<ReportedLoad>,
    /// Moving average of the share of failed calls.
    failure_share: f64,
    avoided_until_us: u64,
    slowness: Slowness,
}

impl TrackedServer {
    fn new(candidate: &Candidate) -> Self {
        Self {
            candidate: candidate.clone(),
            is_candidate: true,
            in_flight: 0,
            reported_load: None,
            failure_share: 0.0,
            avoided_until_us: 0,
            slowness: Slowness::default(),
        }
    }

    /// The server as a choice for a request of a kind, whose reported run times have this mean over
    /// the servers of the service. Its cost grows with its load and its slowness for that kind.
    fn choice(
        &self,
        (kind, service_mean_us): (u32, f64),
        penalty: f64,
        settings: &LoadRouterSettings,
        now_us: u64,
    ) -> Choice {
        let slowness = self.slowness.at(kind, service_mean_us, settings, now_us);
        Choice {
            instance: self.candidate.instance,
            cost: (self.load(settings, now_us) + settings.idle_load) * slowness + penalty,
            weight: slowness.powi(-SPEED_EXPONENT),
        }
    }

    /// Load with one more call, as a share of the limit. Counts the calls in flight from this node,
    /// and those from other nodes as reported by the gate.
    fn load(&self, settings: &LoadRouterSettings, now_us: u64) -> f64 {
        let calls_from_this_node = f64::from(self.in_flight + 1);
        let (calls_from_other_nodes, limit) = match &self.reported_load {
            Some(reported) => {
                let age_us = now_us.saturating_sub(reported.received_us) as f64;
                let remaining = (1.0 - age_us / (settings.load_decay_ms * 1_000) as f64).max(0.0);
                let calls_from_other_nodes = f64::from(
                    reported.advice.in_flight.saturating_sub(reported.in_flight_from_this_node),
                );
                (calls_from_other_nodes * remaining, reported.advice.limit.max(1))
            }
            None => (0.0, settings.default_limit),
        };
        let is_cold = self.candidate.state == BackendState::Starting;
        let cold_start_factor = if is_cold { settings.cold_start_factor } else { 1.0 };
        (calls_from_this_node + calls_from_other_nodes) * cold_start_factor / f64::from(limit)
    }

    fn is_admitting(
        &self,
        query: &RouteQuery<'_>,
        settings: &LoadRouterSettings,
        now_us: u64,
    ) -> bool {
        let Some(reported) = &self.reported_load else { return true };
        let hash = shed_hash(query.request_id);
        let decay_us = settings.advice_decay_ms * 1_000;
        DecayingAdvice::new(reported.advice, reported.received_us)
            .is_admitted(query.rank, hash, decay_us, now_us)
    }
}

/// A server that a request may be sent to.
#[derive(Debug, Clone, Copy)]
struct Choice {
    instance: InstanceId,
    cost: f64,
    /// Probability of being compared, relative to those of the other choices.
    weight: f64,
}

/// Routes by the load of the servers.
///
/// Intended for services whose requests differ a hundredfold in run time, so that the latency of a
/// call depends more on the request than on the server. The load of a server is the one that its
/// gate reported, corrected by the calls that this node has sent since. Servers of the local data
/// centre are used until they are nearly full; then the server with the lower cost of two random
/// ones is chosen, with a penalty for other data centres. At similar load, the server that is
/// faster for the same kinds of requests is preferred, since long requests meet their time limit
/// only on a fast server. A server whose share of failed calls exceeds the lowest share of the
/// other servers by a margin is avoided for a while, since it would otherwise look idle because its
/// calls fail quickly.
pub struct LoadRouter {
    settings: LoadRouterSettings,
    rng: Pcg32,
    services: HashMap<String, ServicePool>,
    /// States of the peers that are not `Unproven`.
    peer_states: HashMap<InstanceId, PeerState>,
}

impl LoadRouter {
    /// Creates a router without candidates. Routers with equal seeds and inputs make equal
    /// decisions.
    pub fn new(settings: LoadRouterSettings, seed: u64) -> Self {
        let rng = Pcg32::seed_from_u64(seed);
        Self { settings, rng, services: HashMap::new(), peer_states: HashMap::new() }
    }

    fn server(&mut self, service: &str, target: InstanceId) -> Option<&mut TrackedServer> {
        let pool = self.services.get_mut(service)?;
        pool.servers.iter_mut().find(|server| server.candidate.instance == target)
    }

    /// Chooses the server with the lower cost of two random ones (Mitzenmacher, "The power of two
    /// choices in randomized load balancing", 2001). Faster servers are more likely to be among the
    /// two, since many nodes that all compared the same fast server with the same load report would
    /// send their requests to it together.
    fn choose_from(&mut self, choices: &[Choice]) -> Option<InstanceId> {
        let first = self.draw(choices, None)?;
        let second = self.draw(choices, Some(first)).unwrap_or(first);
        // Nearly equal costs are a tie that the random order decides. Otherwise a negligible
        // difference would send all requests to one server.
        let is_second_cheaper = second.cost < first.cost * TIE_COST_RATIO;
        Some(if is_second_cheaper { second.instance } else { first.instance })
    }

    /// Draws one of the choices by weight, other than `excluded`.
    fn draw<'a>(&mut self, choices: &'a [Choice], excluded: Option<&Choice>) -> Option<&'a Choice> {
        let is_excluded =
            |choice: &&Choice| excluded.is_none_or(|other| other.instance != choice.instance);
        let total: f64 = choices.iter().filter(is_excluded).map(|choice| choice.weight).sum();
        let mut left = self.rng.random_range(0.0..1.0) * total;
        let mut last = None;
        for choice in choices.iter().filter(is_excluded) {
            left -= choice.weight;
            last = Some(choice);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

impl RoutePolicy for LoadRouter {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], _now_us: u64) {
        let servers = &mut self.services.entry(service.to_string()).or_default().servers;
        for server in servers.iter_mut() {
            let candidate = candidates.iter().find(|c| c.instance == server.candidate.instance);
            server.is_candidate = candidate.is_some();
            if let Some(candidate) = candidate {
                server.candidate = candidate.clone();
            }
        }
        servers.retain(|server| server.is_candidate || server.in_flight > 0);
        for candidate in candidates {
            if !servers.iter().any(|server| server.candidate.instance == candidate.instance) {
                servers.push(TrackedServer::new(candidate));
            }
        }
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    fn choose(&mut self, query: &RouteQuery<'_>, now_us: u64) -> RouteDecision {
        let settings = self.settings;
        // Callers that are refused at the same time must not all retry at the same time.
        let mean_ms = settings.no_server_retry_ms;
        let retry_after_ms = self.rng.random_range(mean_ms / 2..=mean_ms * 3 / 2);
        let none = RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        let Some(pool) = self.services.get(query.service) else { return none };
        let usable: Vec<&TrackedServer> = pool
            .servers
            .iter()
            .filter(|server| {
                let candidate = &server.candidate;
                server.is_candidate
                    && candidate.state.is_serving()
                    && !query.excluded.contains(&candidate.instance)
            })
            .collect();
        let state =
            |server: &&&TrackedServer| self.peer_states.get(&server.candidate.instance).copied();
        let is_not_suspect = |server: &&&TrackedServer| state(server) != Some(PeerState::Suspect);
        let has_proven_connection =
            |server: &&&TrackedServer| state(server) == Some(PeerState::Proven);
        let is_not_avoided = |server: &&&TrackedServer| server.avoided_until_us <= now_us;
        // Each preference restricts the group, unless no server of the group meets it.
        let mut group = usable;
        let mut prefer = |is_preferred: &dyn Fn(&&&TrackedServer) -> bool| {
            let preferred: Vec<&TrackedServer> =
                group.iter().filter(is_preferred).copied().collect();
            if !preferred.is_empty() {
                group = preferred;
            }
        };
        prefer(&is_not_suspect);
        if query.needs_proven_connection {
            prefer(&has_proven_connection);
        }
        prefer(&is_not_avoided);
        prefer(&|server| server.is_admitting(query, &settings, now_us));
        let kind = (query.kind, pool.mean_reported_us(query.kind));
        let local_with_room: Vec<Choice> = group
            .iter()
            .filter(|server| {
                let is_local = server.candidate.distance == Distance::Local;
                is_local && server.load(&settings, now_us) < settings.max_local_load
            })
            .map(|server| server.choice(kind, 0.0, &settings, now_us))
            .collect();
        let all = group.iter().map(|server| {
            let penalty = match server.candidate.distance {
                Distance::Local => 0.0,
                Distance::Region => settings.region_penalty,
                Distance::Remote => settings.remote_penalty,
            };
            server.choice(kind, penalty, &settings, now_us)
        });
        let choices = if local_with_room.is_empty() { all.collect() } else { local_with_room };
        self.choose_from(&choices).map_or(none, RouteDecision::Use)
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
            CallOutcome::Answered => Some(pool.latencies.ratio(result.kind, result.latency_us)),
            _ => None,
        };
        let servers = &mut pool.servers;
        let shares = servers.iter().map(|s| (s.candidate.instance, s.failure_share));
        let other_shares: Vec<f64> =
            shares.filter(|(i, _)| *i != target).map(|(_, share)| share).collect();
        let Some(server) = servers.iter_mut().find(|s| s.candidate.instance == target) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if let Some(ratio) = ratio {
            server.slowness.record_latency(ratio, &settings, now_us);
        }
        let failed = match result.outcome {
            CallOutcome::Answered => 0.0,
            CallOutcome::Errored | CallOutcome::Failed | CallOutcome::Rejected => 1.0,
            CallOutcome::NotRun | CallOutcome::Cancelled => return,
        };
        server.failure_share += (failed - server.failure_share) * NEWEST_FAILURE_WEIGHT;
        let lowest_other_share = other_shares.iter().copied().fold(f64::INFINITY, f64::min);
        if lowest_other_share.is_finite()
            && server.failure_share > lowest_other_share + settings.failure_margin
        {
            server.avoided_until_us = now_us + settings.avoidance_ms * 1_000;
            // After that time, some calls must fail before the server is avoided again.
            server.failure_share = lowest_other_share + settings.failure_margin / 2.0;
        }
        servers.retain(|server| server.is_candidate || server.in_flight > 0);
    }

    fn record_advice(
        &mut self,
        service: &str,
        target: InstanceId,
        advice: &AdmissionAdvice,
        now_us: u64,
    ) {
        if let Some(server) = self.server(service, target) {
            server.reported_load = Some(ReportedLoad {
                advice: *advice,
                received_us: now_us,
                in_flight_from_this_node: server.in_flight,
            });
        }
    }

    fn record_run_time(
        &mut self,
        service: &str,
        target: InstanceId,
        run_time: &MeanRunTime,
        now_us: u64,
    ) {
        if let Some(server) = self.server(service, target) {
            server.slowness.record_report(run_time, now_us);
        }
    }

    fn set_peer_state(&mut self, target: InstanceId, state: PeerState, _now_us: u64) {
        match state {
            PeerState::Unproven => self.peer_states.remove(&target),
            _ => self.peer_states.insert(target, state),
        };
        // Drops the states of peers that are no longer candidates once there are many.
        let tracked_count: usize = self.services.values().map(|pool| pool.servers.len()).sum();
        if self.peer_states.len() > 2 * tracked_count + 64 {
            let services = &self.services;
            let is_tracked = |peer: &InstanceId| {
                let mut servers = services.values().flat_map(|pool| &pool.servers);
                servers.any(|server| server.candidate.instance == *peer)
            };
            self.peer_states.retain(|peer, _| is_tracked(peer));
        }
    }
}

#[cfg(test)]
mod tests;
