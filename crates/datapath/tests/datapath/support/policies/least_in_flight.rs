use std::collections::HashMap;

use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::routing::CallResult;
use tarragon_policy::routing::Candidate;
use tarragon_policy::routing::PeerState;
use tarragon_policy::routing::RouteDecision;
use tarragon_policy::routing::RoutePolicy;
use tarragon_policy::routing::RouteQuery;

/// Retry time that is sent to callers when no candidate can be used, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

/// Chooses the nearest candidate and, among equally near ones, the one with the fewest calls in
/// flight from this node. Suspect candidates come last.
#[derive(Debug, Default)]
pub struct LeastInFlight {
    candidates: HashMap<String, Vec<Candidate>>,
    in_flight: HashMap<InstanceId, u32>,
    peer_states: HashMap<InstanceId, PeerState>,
}

impl RoutePolicy for LeastInFlight {
    fn set_candidates(&mut self, service: &str, candidates: &[Candidate], _now_us: u64) {
        self.candidates.insert(service.to_string(), candidates.to_vec());
    }

    fn choose(&mut self, query: &RouteQuery<'_>, _now_us: u64) -> RouteDecision {
        let candidates = self.candidates.get(query.service).map_or(&[][..], Vec::as_slice);
        let suspect_order =
            |at: &InstanceId| u8::from(self.peer_states.get(at) == Some(&PeerState::Suspect));
        let usable = candidates
            .iter()
            .filter(|c| matches!(c.state, BackendState::Ready | BackendState::Starting))
            .filter(|c| !query.excluded.contains(&c.instance));
        let best = usable.min_by_key(|c| {
            let in_flight = self.in_flight.get(&c.instance).copied().unwrap_or(0);
            (suspect_order(&c.instance), c.distance, in_flight, c.instance)
        });
        match best {
            Some(candidate) => RouteDecision::Use(candidate.instance),
            None => {
                RouteDecision::Refuse { reason: Reason::NoServer, retry_after_ms: RETRY_AFTER_MS }
            }
        }
    }

    fn record_call_start(&mut self, _service: &str, target: InstanceId, _now_us: u64) {
        *self.in_flight.entry(target).or_default() += 1;
    }

    fn record_call_end(
        &mut self,
        _service: &str,
        target: InstanceId,
        _result: &CallResult,
        _now: u64,
    ) {
        if let Some(count) = self.in_flight.get_mut(&target) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&target);
            }
        }
    }

    fn record_advice(
        &mut self,
        _service: &str,
        _from: InstanceId,
        _advice: &AdmissionAdvice,
        _now: u64,
    ) {
    }

    fn set_peer_state(&mut self, target: InstanceId, state: PeerState, _now_us: u64) {
        self.peer_states.insert(target, state);
    }
}
