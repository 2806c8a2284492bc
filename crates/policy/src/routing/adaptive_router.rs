use std::collections::HashMap;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;

use crate::admission::AdmissionAdvice;
use crate::routing::pool::Pool;
use crate::routing::server::Server;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

/// Routes by own measurements, see `docs/design.md`, section 3.5.
///
/// Of the servers that can take a request, the better of two random ones by latency estimate times
/// calls in flight is chosen. A server in its cold start gets the small share of the start of a ramp,
/// or all work if no other server is left. Suspect peers are chosen only if there is no other ready
/// server. If all others advise against the request, it is refused as `Shed`, since a suspect peer
/// would more likely lose than serve it. A request that needs a proven connection goes to another
/// data centre rather than to an unproven peer in its own.
pub struct AdaptiveRouter {
    settings: AdaptiveRouterSettings,
    rng: Pcg32,
    pools: HashMap<String, Pool>,
    /// Peers that are not `Unproven`.
    peers: HashMap<InstanceId, PeerState>,
}

impl AdaptiveRouter {
    /// Creates a router without candidates. Routers with equal seeds and inputs decide equally.
    pub fn new(settings: AdaptiveRouterSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: Pcg32::seed_from_u64(seed),
            pools: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    fn server(&mut self, service: &str, target: InstanceId) -> Option<&mut Server> {
        self.pools.get_mut(service)?.find(target)
    }

    /// Forgets the state of peers that are no candidates, once there are many.
    fn bound_peers(&mut self) {
        if self.peers.len() > self.settings.max_peers {
            let pools = &self.pools;
            self.peers.retain(|peer, _| pools.values().any(|pool| pool.has(*peer)));
        }
    }
}

impl RoutePolicy for AdaptiveRouter {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], now_us: u64) {
        let pool = self.pools.entry(service.to_string()).or_insert_with(Pool::new);
        pool.replace(candidates, &self.settings, now_us);
        if pool.is_empty() {
            self.pools.remove(service);
        }
    }

    fn choose(&mut self, query: &RouteQuery<'_>, now_us: u64) -> RouteDecision {
        let Some(pool) = self.pools.get_mut(query.service) else {
            let retry_after_ms = self.settings.no_server_retry_ms;
            return RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms };
        };
        pool.choose(query, &self.peers, &self.settings, &mut self.rng, now_us)
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
            pool.drop_idle();
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
        let before = match state {
            PeerState::Unproven => self.peers.remove(&target),
            _ => self.peers.insert(target, state),
        };
        if before == Some(PeerState::Suspect) && state != PeerState::Suspect {
            let length_ms = self.settings.recovery_ramp_ms;
            let servers = self.pools.values_mut().filter_map(|pool| pool.find(target));
            servers.for_each(|server| server.start_ramp(length_ms, now_us));
        }
        self.bound_peers();
    }
}
