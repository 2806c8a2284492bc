use std::collections::BTreeMap;
use std::collections::HashMap;

use tarragon_model::identity::InstanceId;

use crate::routing::tests::query;
use crate::routing::tests::MS;
use crate::routing::tests::SERVICE;
use crate::routing::CallOutcome;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;

/// Sends one request per ms to servers whose responses are set by the test.
pub(super) struct LoadGenerator {
    pub(super) router: Box<dyn RoutePolicy>,
    pub(super) now_us: u64,
    pub(super) sent: u64,
    /// Results of calls in flight, by their time in µs and the number of the request.
    pub(super) pending_results: BTreeMap<(u64, u64), (InstanceId, CallResult)>,
    /// Number of requests by server in the current run.
    pub(super) counts: HashMap<u64, u64>,
    pub(super) rank: u8,
}

/// Outcome of a request and its latency in µs, or `None` if the server never answers.
pub(super) type ServerResponse = Option<(CallOutcome, u64)>;

pub(super) const ANSWERED_IN_10_MS: ServerResponse = Some((CallOutcome::Answered, 10 * MS));

impl LoadGenerator {
    pub(super) fn new(mut router: Box<dyn RoutePolicy>, candidates: &[Candidate]) -> Self {
        router.set_candidates(SERVICE, candidates, 0);
        Self {
            router,
            now_us: 0,
            sent: 0,
            pending_results: BTreeMap::new(),
            counts: HashMap::new(),
            rank: 1,
        }
    }

    /// Sends requests for `time_us` and returns the share of the requests that each server
    /// received.
    pub(super) fn run(
        &mut self,
        time_us: u64,
        response_of: impl Fn(u64) -> ServerResponse,
    ) -> HashMap<u64, f64> {
        let end_us = self.now_us + time_us;
        self.counts.clear();
        while self.now_us < end_us {
            self.now_us += MS;
            while self
                .pending_results
                .first_key_value()
                .is_some_and(|((at, _), _)| *at <= self.now_us)
            {
                let ((at, _), (server, result)) = self.pending_results.pop_first().unwrap();
                self.router.record_call_end(SERVICE, server, &result, at);
            }
            self.sent += 1;
            let decision = self.router.choose(&query(self.sent, self.rank, &[]), self.now_us);
            let RouteDecision::Use(server) = decision else { continue };
            self.router.record_call_start(SERVICE, server, self.now_us);
            *self.counts.entry(server.0).or_default() += 1;
            if let Some((outcome, latency_us)) = response_of(server.0) {
                let result = CallResult { latency_us, outcome, kind: 0 };
                self.pending_results
                    .insert((self.now_us + latency_us, self.sent), (server, result));
            }
        }
        let all = (time_us / MS) as f64;
        self.counts.iter().map(|(server, count)| (*server, *count as f64 / all)).collect()
    }
}
