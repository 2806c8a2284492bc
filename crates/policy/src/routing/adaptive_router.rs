use std::collections::HashMap;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;

use crate::admission::AdmissionAdvice;
use crate::routing::measured_server::MeasuredServer;
use crate::routing::server_pool::ServerPool;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

/// Routes by the latencies that this node measures, see `docs/design.md`, section 3.5.
///
/// Of two random servers that can take a request, the one with the lower product of latency
/// estimate and calls in flight is chosen. A server in its cold start gets the share of the start
/// of a ramp, or all requests if there is no other server. Suspect peers are chosen only if there
/// is no other ready server. If the advice of all others refuses the request, it is refused as
/// `Shed`, since a suspect peer would more likely lose the request than serve it. A request that
/// needs a proven connection goes to another data centre rather than to an unproven peer in the
/// local one.
pub struct AdaptiveRouter {
    settings: AdaptiveRouterSettings,
    rng: Pcg32,
    pools: HashMap<String, ServerPool>,
    /// States of the peers that are not `Unproven`.
    peer_states: HashMap<InstanceId, PeerState>,
}

impl AdaptiveRouter {
    /// Creates a router without candidates. Routers with equal seeds and inputs make equal
    /// decisions.
    pub fn new(settings: AdaptiveRouterSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: Pcg32::seed_from_u64(seed),
            pools: HashMap::new(),
            peer_states: HashMap::new(),
        }
    }

    fn server(&mut self, service: &str, target: InstanceId) -> Option<&mut MeasuredServer> {
        self.pools.get_mut(service)?.find(target)
    }

    /// Drops the states of peers that are not candidates once there are more than `max_peers`.
    fn drop_unused_peer_states(&mut self) {
        if self.peer_states.len() > self.settings.max_peers {
            let pools = &self.pools;
            self.peer_states.retain(|peer, _| pools.values().any(|pool| pool.contains(*peer)));
        }
    }
}

impl RoutePolicy for AdaptiveRouter {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], now_us: u64) {
        let pool = self.pools.entry(service.to_string()).or_insert_with(ServerPool::new);
        pool.set_candidates(candidates, &self.settings, now_us);
        if pool.is_empty() {
            self.pools.remove(service);
        }
    }

    fn choose(&mut self, query: &RouteQuery<'_>, now_us: u64) -> RouteDecision {
        let Some(pool) = self.pools.get_mut(query.service) else {
            let retry_after_ms = self.settings.no_server_retry_ms;
            return RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        };
        pool.choose(query, &self.peer_states, &self.settings, &mut self.rng, now_us)
    }

    fn record_call_start(&mut self, service: &str, target: InstanceId, now_us: u64) {
        if let Some(server) = self.server(service, target) {
            server.record_call_start(now_us);
        }
    }

    fn record_call_end(
        &mut self,
        service: &str,
        target: InstanceId,
        result: &CallResult,
        now_us: u64,
    ) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        let Some(server) = pool.find(target) else { return };
        server.record_call_end(result, &self.settings, now_us);
        if !server.is_candidate {
            pool.drop_departed();
            if pool.is_empty() {
                self.pools.remove(service);
            }
        }
    }

    fn record_advice(
        &mut self,
        service: &str,
        target: InstanceId,
        advice: &AdmissionAdvice,
        now_us: u64,
    ) {
        if let Some(server) = self.server(service, target) {
            server.record_advice(advice, now_us);
        }
    }

    fn set_peer_state(&mut self, target: InstanceId, state: PeerState, now_us: u64) {
        let previous_state = match state {
            PeerState::Unproven => self.peer_states.remove(&target),
            _ => self.peer_states.insert(target, state),
        };
        if previous_state == Some(PeerState::Suspect) && state != PeerState::Suspect {
            let ramp_ms = self.settings.recovery_ramp_ms;
            let servers = self.pools.values_mut().filter_map(|pool| pool.find(target));
            servers.for_each(|server| server.start_ramp(ramp_ms, now_us));
        }
        self.drop_unused_peer_states();
    }
}
