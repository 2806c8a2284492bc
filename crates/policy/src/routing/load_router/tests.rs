use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::member::BackendState;

use super::LoadRouter;
use super::LoadRouterSettings;
use crate::admission::AdmissionAdvice;
use crate::routing::CallOutcome;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::PeerState;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

const SERVICE: &str = "planner";
const MS: u64 = 1_000;

fn candidate(id: u64, distance: Distance) -> Candidate {
    Candidate { instance: InstanceId(id), distance, state: BackendState::Ready }
}

fn router(candidates: &[Candidate]) -> LoadRouter {
    let mut router = LoadRouter::new(LoadRouterSettings::default(), 7);
    router.set_candidates(SERVICE, candidates, 0);
    router
}

fn report_load(router: &mut LoadRouter, id: u64, in_flight: u32, now_us: u64) {
    let advice = AdmissionAdvice { in_flight, limit: 50, ..AdmissionAdvice::default() };
    router.record_advice(SERVICE, InstanceId(id), &advice, now_us);
}

fn choose(router: &mut LoadRouter, excluded: &[InstanceId], now_us: u64) -> Option<u64> {
    let query = RouteQuery {
        service: SERVICE,
        request_id: RequestId { instance: InstanceId(1), counter: 1 },
        rank: 1,
        excluded,
        kind: 0,
        needs_proven_connection: false,
    };
    match router.choose(&query, now_us) {
        RouteDecision::Use(target) => Some(target.0),
        RouteDecision::Refuse { reason, retry_after_ms } => {
            assert_eq!(reason, Reason::NoServer);
            assert!(retry_after_ms > 0);
            None
        }
    }
}

fn choice_counts(router: &mut LoadRouter, now_us: u64) -> [usize; 4] {
    let mut counts = [0; 4];
    for _ in 0..400 {
        let target = choose(router, &[], now_us).expect("a server is available");
        counts[usize::try_from(target).expect("the id is small")] += 1;
    }
    counts
}

/// Guards against traffic between data centres while the local one has free capacity.
#[test]
fn local_data_centre_is_used_until_its_servers_are_nearly_full() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Region)]);
    report_load(&mut router, 1, 35, 0);
    report_load(&mut router, 2, 0, 0);
    assert_eq!(choice_counts(&mut router, 0), [0, 400, 0, 0]);
    report_load(&mut router, 1, 48, 0);
    assert_eq!(choice_counts(&mut router, 0), [0, 0, 400, 0]);
}

/// Guards against requests to a loaded server because one long request made another server look
/// slow.
#[test]
fn single_slow_request_does_not_outweigh_load() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    report_load(&mut router, 1, 10, 0);
    report_load(&mut router, 2, 40, 0);
    router.record_call_start(SERVICE, InstanceId(1), 0);
    let slow = CallResult { latency_us: 8_000 * MS, outcome: CallOutcome::Answered, kind: 2 };
    router.record_call_end(SERVICE, InstanceId(1), &slow, 0);
    let [_, first, second, _] = choice_counts(&mut router, 0);
    assert!(first > second, "server 1 was chosen {first} times, server 2 {second} times");
}

/// Guards against herding to the server with the lowest reported load: calls that this node has
/// sent since the last report count at once.
#[test]
fn calls_of_this_node_count_before_the_gate_reports_them() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    report_load(&mut router, 1, 0, 0);
    report_load(&mut router, 2, 20, 0);
    for _ in 0..30 {
        router.record_call_start(SERVICE, InstanceId(1), 0);
    }
    let [_, first, second, _] = choice_counts(&mut router, 0);
    assert!(second > first, "server 1 was chosen {first} times, server 2 {second} times");
}

/// Guards against a server that fails quickly, therefore looks idle, and attracts all requests.
#[test]
fn server_that_fails_more_than_the_others_is_avoided_and_tried_again() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    for round in 0..40 {
        let outcome = if round % 2 == 0 { CallOutcome::Errored } else { CallOutcome::Answered };
        router.record_call_start(SERVICE, InstanceId(1), 0);
        router.record_call_end(
            SERVICE,
            InstanceId(1),
            &CallResult { latency_us: MS, outcome, kind: 0 },
            0,
        );
        let answered = CallResult { latency_us: MS, outcome: CallOutcome::Answered, kind: 0 };
        router.record_call_start(SERVICE, InstanceId(2), 0);
        router.record_call_end(SERVICE, InstanceId(2), &answered, 0);
    }
    assert_eq!(choice_counts(&mut router, 500 * MS), [0, 0, 400, 0]);
    assert!(choice_counts(&mut router, 2_000 * MS)[1] > 0);
}

/// Guards against avoiding a whole service: if all servers fail equally, the cause is downstream.
#[test]
fn servers_are_all_used_when_all_fail() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    for _ in 0..40 {
        for id in [1, 2] {
            let failed = CallResult { latency_us: MS, outcome: CallOutcome::Errored, kind: 0 };
            router.record_call_start(SERVICE, InstanceId(id), 0);
            router.record_call_end(SERVICE, InstanceId(id), &failed, 0);
        }
    }
    let [_, first, second, _] = choice_counts(&mut router, 10 * MS);
    assert!(
        first > 100 && second > 100,
        "server 1 was chosen {first} times, server 2 {second} times"
    );
}

/// Guards against servers that are avoided in turn because of failures of a service downstream: a
/// server is avoided only if its share of failures exceeds that of the others by a margin.
#[test]
fn server_that_fails_slightly_more_than_the_others_is_used() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    for round in 0..100 {
        // 40% of the calls of the first server fail, and 25% of those of the second.
        for (id, has_failed) in [(1, matches!(round % 5, 0 | 2)), (2, round % 4 == 0)] {
            let outcome = if has_failed { CallOutcome::Errored } else { CallOutcome::Answered };
            router.record_call_start(SERVICE, InstanceId(id), 0);
            let result = CallResult { latency_us: MS, outcome, kind: 0 };
            router.record_call_end(SERVICE, InstanceId(id), &result, 0);
        }
    }
    let [_, first, second, _] = choice_counts(&mut router, 10 * MS);
    assert!(
        first > 100 && second > 100,
        "server 1 was chosen {first} times, server 2 {second} times"
    );
}

#[test]
fn suspect_servers_are_a_last_resort_and_excluded_or_draining_ones_unused() {
    let draining = Candidate { state: BackendState::Draining, ..candidate(3, Distance::Local) };
    let candidates = [candidate(1, Distance::Local), candidate(2, Distance::Region), draining];
    let mut router = router(&candidates);
    router.set_peer_state(InstanceId(1), PeerState::Suspect, 0);
    assert_eq!(choose(&mut router, &[], 0), Some(2));
    assert_eq!(choose(&mut router, &[InstanceId(2)], 0), Some(1));
    assert_eq!(choose(&mut router, &[InstanceId(1), InstanceId(2)], 0), None);
}

/// Guards against long requests that miss their time limit on a slow server while a fast one has
/// free capacity, and against a server that is never used again after it was slow.
#[test]
fn faster_server_is_preferred_at_equal_load_and_slow_one_is_tried_again() {
    let mut router = router(&[candidate(1, Distance::Local), candidate(2, Distance::Local)]);
    for round in 0..60 {
        for (id, latency_us) in [(1, 400 * MS), (2, 100 * MS)] {
            // Both servers serve the same mix of request kinds.
            let (kind, factor) = if round % 3 == 0 { (7, 5) } else { (8, 1) };
            let result = CallResult {
                latency_us: latency_us * factor,
                outcome: CallOutcome::Answered,
                kind,
            };
            router.record_call_start(SERVICE, InstanceId(id), 0);
            router.record_call_end(SERVICE, InstanceId(id), &result, 0);
        }
    }
    let [_, slow, fast, _] = choice_counts(&mut router, 0);
    assert!(fast > 9 * slow, "fast server chosen {fast} times, slow server {slow} times");
    let [_, slow, fast, _] = choice_counts(&mut router, 60_000 * MS);
    assert!(slow > 100 && fast > 100, "fast server chosen {fast} times, slow server {slow} times");
}
