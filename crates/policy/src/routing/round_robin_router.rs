use std::collections::HashMap;

use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;

use crate::admission::AdmissionAdvice;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

/// Delay before a caller should retry when there is no server, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

/// Baseline: round robin over the serving servers at the nearest distance, regardless of load.
#[derive(Debug, Default)]
pub struct RoundRobinRouter {
    candidates: HashMap<String, Vec<Candidate>>,
    next_index: usize,
}

impl RoutePolicy for RoundRobinRouter {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], _now_us: u64) {
        self.candidates.insert(service.to_string(), candidates.to_vec());
    }

    fn choose(&mut self, query: &RouteQuery<'_>, _now_us: u64) -> RouteDecision {
        let all = self.candidates.get(query.service).map_or(&[][..], Vec::as_slice);
        let is_usable = |candidate: &&Candidate| {
            candidate.state.is_serving() && !query.excluded.contains(&candidate.instance)
        };
        let nearest = all.iter().filter(is_usable).map(|candidate| candidate.distance).min();
        let is_nearest = |candidate: &&Candidate| Some(candidate.distance) == nearest;
        let nearest_candidates: Vec<&Candidate> =
            all.iter().filter(is_usable).filter(is_nearest).collect();
        if nearest_candidates.is_empty() {
            return RouteDecision::Refuse {
                reason: Reason::NoServer,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        self.next_index = self.next_index.wrapping_add(1);
        RouteDecision::Use(nearest_candidates[self.next_index % nearest_candidates.len()].instance)
    }

    fn record_call_start(&mut self, _service: &str, _target: InstanceId, _now_us: u64) {}

    fn record_call_end(
        &mut self,
        _service: &str,
        _target: InstanceId,
        _result: &CallResult,
        _now_us: u64,
    ) {
    }

    fn record_advice(
        &mut self,
        _service: &str,
        _target: InstanceId,
        _advice: &AdmissionAdvice,
        _now_us: u64,
    ) {
    }

    fn set_peer_state(&mut self, _target: InstanceId, _state: PeerState, _now_us: u64) {}
}
