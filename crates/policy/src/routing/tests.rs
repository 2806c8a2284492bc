mod load_generator;

use std::collections::HashMap;

use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::member::BackendState;
use tarragon_testkit::check_property;

use crate::admission::shed_hash;
use crate::admission::AdmissionAdvice;
use crate::routing::tests::load_generator::LoadGenerator;
use crate::routing::tests::load_generator::ANSWERED_IN_10_MS;
use crate::routing::AdaptiveRouter;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::CallOutcome;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::PeerState;
use crate::routing::RoundRobinRouter;
use crate::routing::RouteDecision;
use crate::routing::RoutePolicy;
use crate::routing::RouteQuery;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const SERVICE: &str = "s";
const DISTANCES: [Distance; 3] = [Distance::Local, Distance::Region, Distance::Remote];
const STATES: [BackendState; 4] =
    [BackendState::Ready, BackendState::Starting, BackendState::Draining, BackendState::Absent];
const PEER_STATES: [PeerState; 3] = [PeerState::Proven, PeerState::Unproven, PeerState::Suspect];

fn ready(number: u64, distance: Distance) -> Candidate {
    Candidate { instance: InstanceId(number), distance, state: BackendState::Ready }
}

fn query(counter: u64, rank: u8, excluded: &[InstanceId]) -> RouteQuery<'_> {
    let request_id = RequestId { instance: InstanceId(7), counter };
    RouteQuery {
        service: SERVICE,
        request_id,
        rank,
        kind: 0,
        excluded,
        needs_proven_connection: false,
    }
}

fn adaptive(settings: AdaptiveRouterSettings) -> Box<dyn RoutePolicy> {
    Box::new(AdaptiveRouter::new(settings, 0x4007))
}

fn four_local_servers() -> Vec<Candidate> {
    (0..4).map(|n| ready(n, Distance::Local)).collect()
}

fn share(shares: &HashMap<u64, f64>, server: u64) -> f64 {
    shares.get(&server).copied().unwrap_or(0.0)
}

/// Runs random changes and requests, and checks every decision against the candidates.
fn decisions_are_allowed(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut router = AdaptiveRouter::new(AdaptiveRouterSettings::default(), steps.len() as u64);
    let mut candidates: Vec<Candidate> = vec![];
    let mut peer_states: HashMap<InstanceId, PeerState> = HashMap::new();
    let mut advised: HashMap<InstanceId, (AdmissionAdvice, u64)> = HashMap::new();
    let mut now_us = 0;
    for (counter, (action, at, parameter)) in steps.into_iter().enumerate() {
        let instance = InstanceId(u64::from(at % 6));
        now_us += u64::from(parameter) * MS;
        match action % 8 {
            0 => {
                candidates.retain(|candidate| candidate.instance != instance);
                if parameter % 5 > 0 {
                    let distance = DISTANCES[usize::from(parameter) % 3];
                    let state = STATES[usize::from(parameter / 3) % 8 % 4];
                    candidates.push(Candidate { instance, distance, state });
                }
                router.set_candidates(SERVICE, &candidates, now_us);
            }
            1 => {
                let state = PEER_STATES[usize::from(parameter) % 3];
                peer_states.insert(instance, state);
                router.set_peer_state(instance, state, now_us);
            }
            2 => {
                let advice = AdmissionAdvice {
                    cutoff_rank: parameter % 4,
                    cutoff_hash: u16::from(parameter) << 8,
                    ..AdmissionAdvice::default()
                };
                advised.insert(instance, (advice, now_us));
                router.record_advice(SERVICE, instance, &advice, now_us);
            }
            3 => {
                let outcomes = [
                    CallOutcome::Answered,
                    CallOutcome::NotRun,
                    CallOutcome::Failed,
                    CallOutcome::Cancelled,
                ];
                let result = CallResult {
                    latency_us: 5 * MS,
                    outcome: outcomes[usize::from(parameter) % 4],
                    kind: 0,
                };
                router.record_call_end(SERVICE, instance, &result, now_us);
            }
            _ => {
                let excluded = [instance, InstanceId(u64::from(parameter % 6))];
                let mut query = query(counter as u64, at % 4, &excluded);
                query.needs_proven_connection = parameter % 2 == 0;
                let decision = router.choose(&query, now_us);
                if let RouteDecision::Use(target) = decision {
                    router.record_call_start(SERVICE, target, now_us);
                }
                let hash = shed_hash(query.request_id);
                let is_admitted = |candidate: &&&Candidate| {
                    advised.get(&candidate.instance).is_none_or(|(advice, at_us)| {
                        advice.is_admitted(query.rank, hash) || now_us >= at_us + SECOND
                    })
                };
                let peer = |candidate: &&&Candidate| {
                    peer_states.get(&candidate.instance).copied().unwrap_or(PeerState::Unproven)
                };
                let usable: Vec<&Candidate> = candidates
                    .iter()
                    .filter(|c| c.state.is_serving() && !excluded.contains(&c.instance))
                    .collect();
                let not_suspect: Vec<&Candidate> =
                    usable.iter().filter(|c| peer(c) != PeerState::Suspect).copied().collect();
                let has_proven =
                    not_suspect.iter().any(|c| peer(&c) == PeerState::Proven && is_admitted(&c));
                let is_allowed = match decision {
                    RouteDecision::Use(target) => usable.iter().any(|c| {
                        let state = peer(&c);
                        c.instance == target
                            && (state != PeerState::Suspect || not_suspect.is_empty())
                            && (!query.needs_proven_connection
                                || !has_proven
                                || state == PeerState::Proven)
                    }),
                    RouteDecision::Refuse { reason: Reason::Shed, retry_after_ms } => {
                        !not_suspect.is_empty()
                            && !not_suspect.iter().any(|c| is_admitted(&c))
                            && (1..=1_000).contains(&retry_after_ms)
                    }
                    RouteDecision::Refuse { .. } => usable.is_empty(),
                };
                if !is_allowed {
                    return false;
                }
            }
        }
    }
    true
}

/// Guards against requests to servers that drain, are gone or are excluded, against the use of
/// suspect or unproven peers while others are available, and against refusals while a server can
/// serve.
#[test]
fn every_decision_is_allowed() {
    check_property(0x4007, 5_000, decisions_are_allowed as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against requests that queue at a server that stopped answering, for which no new latency
/// is measured.
#[test]
fn stalled_server_is_avoided_within_tens_of_ms() {
    let after_stall = |router| {
        let mut load = LoadGenerator::new(router, &four_local_servers());
        load.run(SECOND, |_| ANSWERED_IN_10_MS);
        let stall = |server| if server == 0 { None } else { ANSWERED_IN_10_MS };
        (share(&load.run(50 * MS, stall), 0), share(&load.run(SECOND, stall), 0))
    };
    let (first, rest) = after_stall(adaptive(AdaptiveRouterSettings::default()));
    assert!(first <= 0.2 && rest <= 0.005, "share {first} in the first 50 ms, then {rest}");
    let (_, rest) = after_stall(Box::<RoundRobinRouter>::default());
    assert!(rest > 0.2, "round robin avoided the stalled server: share {rest}");
}

/// Guards against detecting a stall only by the calls in flight: a server that was the fastest
/// would collect several times as many lost calls as the other servers have in flight.
#[test]
fn stall_of_the_fastest_server_is_detected() {
    let mut load =
        LoadGenerator::new(adaptive(AdaptiveRouterSettings::default()), &four_local_servers());
    let normal = Some((CallOutcome::Answered, 40 * MS));
    let fast = Some((CallOutcome::Answered, 5 * MS));
    load.run(SECOND, |server| if server == 0 { fast } else { normal });
    load.run(100 * MS, |server| if server == 0 { None } else { normal });
    let rest = share(&load.run(SECOND, |server| if server == 0 { None } else { normal }), 0);
    assert!(rest < 0.005, "share {rest} from 100 ms after the stall");
}

/// Guards against a server that attracts all requests because it refuses them at once.
#[test]
fn refusing_server_attracts_no_requests() {
    let refused = |failure_limit| {
        let settings =
            AdaptiveRouterSettings { failure_limit, ..AdaptiveRouterSettings::default() };
        let mut load = LoadGenerator::new(adaptive(settings), &four_local_servers());
        let shares = load.run(5 * SECOND, |server| {
            if server == 0 {
                Some((CallOutcome::NotRun, MS / 2))
            } else {
                ANSWERED_IN_10_MS
            }
        });
        share(&shares, 0)
    };
    let (with, without) =
        (refused(AdaptiveRouterSettings::default().failure_limit), refused(u32::MAX));
    assert!(with < 0.02, "share {with}");
    assert!(without > 0.25, "share {without} without the failure limit");
}

/// Guards against a server that stays unused after it was slow, and against all requests returning
/// to it at once.
#[test]
fn recovered_server_is_detected_and_ramps_up() {
    let recovery = |settings| {
        let mut load = LoadGenerator::new(adaptive(settings), &four_local_servers());
        load.run(SECOND, |_| ANSWERED_IN_10_MS);
        let slow = Some((CallOutcome::Answered, 100 * MS));
        let while_slow =
            load.run(3 * SECOND, |server| if server == 0 { slow } else { ANSWERED_IN_10_MS });
        let shares_by_interval = (0..16)
            .map(|_| share(&load.run(250 * MS, |_| ANSWERED_IN_10_MS), 0))
            .collect::<Vec<_>>();
        (share(&while_slow, 0), shares_by_interval)
    };
    let (while_slow, shares_by_interval) = recovery(AdaptiveRouterSettings::default());
    assert!(while_slow < 0.02, "share {while_slow} while slow");
    assert!(
        shares_by_interval.iter().all(|share| *share < 0.4),
        "the share grew too fast: {shares_by_interval:?}"
    );
    assert!(
        shares_by_interval[8..].iter().all(|share| *share > 0.15),
        "not recovered after 2 s: {shares_by_interval:?}"
    );
    let settings = AdaptiveRouterSettings {
        probe_spacing: u32::MAX,
        probe_interval_ms: 1_000_000,
        forget_ms: 1_000_000,
        ..AdaptiveRouterSettings::default()
    };
    let (_, shares_by_interval) = recovery(settings);
    assert!(
        shares_by_interval.iter().sum::<f64>() < 0.1,
        "recovered without probes: {shares_by_interval:?}"
    );
}

/// Guards against a load spike from all nodes on a recovered server, which is idle and therefore
/// faster than the other servers.
#[test]
fn recovered_server_gets_no_load_spike() {
    let first_part = |recovery_ramp_ms| {
        let settings =
            AdaptiveRouterSettings { recovery_ramp_ms, ..AdaptiveRouterSettings::default() };
        let mut load = LoadGenerator::new(adaptive(settings), &four_local_servers());
        let normal = Some((CallOutcome::Answered, 2 * MS));
        let slow = Some((CallOutcome::Answered, 100 * MS));
        load.run(SECOND, |server| if server == 0 { slow } else { normal });
        let idle = Some((CallOutcome::Answered, MS));
        let mut part = || share(&load.run(100 * MS, |s| if s == 0 { idle } else { normal }), 0);
        (0..50).map(|_| part()).find(|share| *share >= 0.05).unwrap()
    };
    let (with, without) = (first_part(500), first_part(0));
    assert!(with < 0.2, "share {with} in the first 100 ms");
    assert!(without > 0.3, "share {without} without a ramp");
}

/// Guards against a full share for a server that is new or returns from a drain, whose caches are
/// still cold, and against a server that never gets its full share.
#[test]
fn new_and_returning_servers_ramp_up() {
    let ramp = |ramp_ms, is_new| {
        let settings = AdaptiveRouterSettings { ramp_ms, ..AdaptiveRouterSettings::default() };
        let mut all = four_local_servers();
        all.push(ready(4, Distance::Local));
        let mut load = LoadGenerator::new(adaptive(settings), &all);
        load.run(SECOND, |_| ANSWERED_IN_10_MS);
        let mut before = all.clone();
        before[4].state = BackendState::Draining;
        before.truncate(if is_new { 4 } else { 5 });
        load.router.set_candidates(SERVICE, &before, load.now_us);
        assert_eq!(share(&load.run(SECOND, |_| ANSWERED_IN_10_MS), 4), 0.0);
        load.router.set_candidates(SERVICE, &all, load.now_us);
        let first = share(&load.run(500 * MS, |_| ANSWERED_IN_10_MS), 4);
        load.run(5 * SECOND, |_| ANSWERED_IN_10_MS);
        (first, share(&load.run(SECOND, |_| ANSWERED_IN_10_MS), 4))
    };
    for is_new in [true, false] {
        // Each request draws two of five servers. A server that is included in a share w of the
        // draws gets at most 2w/5 of the requests.
        let (first, last) = ramp(5_000, is_new);
        assert!((0.01..=0.08).contains(&first), "share {first} in the first 500 ms");
        assert!(last > 0.15, "share {last} after the ramp");
        let (first, _) = ramp(0, is_new);
        assert!(first > 0.15, "share {first} without a ramp");
    }
}

/// Guards against full load on a server in its cold start, and against refusals while all servers
/// are in their cold start.
#[test]
fn starting_server_gets_a_small_share_or_all_requests_if_alone() {
    let starting =
        |number| Candidate { state: BackendState::Starting, ..ready(number, Distance::Local) };
    let mixed = [ready(0, Distance::Local), ready(1, Distance::Local), starting(2)];
    let shares = LoadGenerator::new(adaptive(AdaptiveRouterSettings::default()), &mixed)
        .run(SECOND, |_| ANSWERED_IN_10_MS);
    let cold = share(&shares, 2);
    assert!(cold > 0.0 && cold < 0.15, "share {cold} of the server in its cold start");
    let shares = LoadGenerator::new(adaptive(AdaptiveRouterSettings::default()), &[starting(0)])
        .run(SECOND, |_| ANSWERED_IN_10_MS);
    assert!(share(&shares, 0) > 0.99, "the only server, in its cold start, gets no requests");
}

/// Guards against the unnecessary use of costly links, and against load that oscillates between
/// data centres when the local one alternates between able and unable to serve.
#[test]
fn other_data_centres_are_used_only_when_needed_and_left_gradually() {
    let local_shares = |settings| {
        let all = [
            ready(0, Distance::Local),
            ready(1, Distance::Local),
            ready(2, Distance::Region),
            ready(3, Distance::Remote),
        ];
        let mut load = LoadGenerator::new(adaptive(settings), &all);
        let mut shares = vec![];
        let mut run = |load: &mut LoadGenerator, state| {
            for server in [0, 1] {
                load.router.set_peer_state(InstanceId(server), state, load.now_us);
            }
            let part = load.run(300 * MS, |_| ANSWERED_IN_10_MS);
            assert_eq!(share(&part, 3), 0.0, "the other region is used");
            shares.push(share(&part, 0) + share(&part, 1));
        };
        let (proven, suspect) = (PeerState::Proven, PeerState::Suspect);
        let states = [proven, suspect, proven, suspect, proven];
        states.into_iter().for_each(|state| run(&mut load, state));
        (0..8).for_each(|_| run(&mut load, proven));
        shares
    };
    let shares = local_shares(AdaptiveRouterSettings::default());
    assert_eq!(shares[..5], [1.0, 0.0, 0.0, 0.0, 0.0]);
    assert!(shares[7] > 0.0 && shares[7] < 0.5, "no gradual return: {shares:?}");
    assert_eq!(shares[12], 1.0, "requests did not return: {shares:?}");
    let abrupt = AdaptiveRouterSettings {
        return_after_ms: 0,
        return_ramp_ms: 0,
        ..AdaptiveRouterSettings::default()
    };
    let shares = local_shares(abrupt);
    assert!(shares[2] > 0.9 && shares[4] > 0.9, "no oscillation without hysteresis: {shares:?}");
}

/// Guards against the forwarding of requests that the gate would refuse, and against stale advice
/// that keeps requests away from an idle server.
#[test]
fn advice_refuses_less_important_requests_and_decays() {
    let admitted = |advice_decay_ms| {
        let settings =
            AdaptiveRouterSettings { advice_decay_ms, ..AdaptiveRouterSettings::default() };
        let mut load = LoadGenerator::new(adaptive(settings), &[ready(0, Distance::Local)]);
        let advice = AdmissionAdvice { cutoff_rank: 1, cutoff_hash: 0, ..Default::default() };
        load.router.record_advice(SERVICE, InstanceId(0), &advice, 0);
        let shares_by_interval = (0..4)
            .map(|_| share(&load.run(250 * MS, |_| ANSWERED_IN_10_MS), 0))
            .collect::<Vec<_>>();
        load.router.record_advice(SERVICE, InstanceId(0), &advice, load.now_us);
        load.rank = 0;
        assert_eq!(
            share(&load.run(100 * MS, |_| ANSWERED_IN_10_MS), 0),
            1.0,
            "important requests are refused"
        );
        shares_by_interval
    };
    let shares_by_interval = admitted(1_000);
    assert!(
        shares_by_interval[0] < 0.25 && shares_by_interval[3] > 0.75,
        "no linear decay: {shares_by_interval:?}"
    );
    assert!(shares_by_interval.is_sorted(), "no monotonic decay: {shares_by_interval:?}");
    assert!(admitted(1_000_000)[3] < 0.01, "advice decays although the decay time is very long");
}

/// Derives the number of servers, their latency, and the slowdown of the first server from the
/// generated bytes.
fn recovered_server_is_not_starved((count, latency, factor, spell): (u8, u8, u8, u8)) -> bool {
    let count = 2 + u64::from(count % 5);
    let normal = Some((CallOutcome::Answered, (1 + u64::from(latency % 40)) * MS));
    let slow = normal.map(|(end, us)| (end, us * (4 + u64::from(factor % 30))));
    let slow = if factor % 7 == 0 { None } else { slow };
    let all: Vec<Candidate> = (0..count).map(|n| ready(n, Distance::Local)).collect();
    let mut load = LoadGenerator::new(adaptive(AdaptiveRouterSettings::default()), &all);
    load.run(SECOND, |_| normal);
    load.run((100 + u64::from(spell) * 16) * MS, |server| if server == 0 { slow } else { normal });
    // Calls without an answer fail when their connection is replaced.
    let now_us = load.now_us;
    let unanswered = load.counts.get(&0).copied().unwrap_or(0);
    for n in 0..if slow.is_none() { unanswered } else { 0 } {
        let result = CallResult { latency_us: SECOND, outcome: CallOutcome::Failed, kind: 0 };
        load.pending_results.insert((now_us, u64::MAX - n), (InstanceId(0), result));
    }
    load.run(10 * SECOND, |_| normal);
    share(&load.run(2 * SECOND, |_| normal), 0) > 0.5 / count as f64
}

/// Guards against a server that never gets its share again after any slowdown or stall.
#[test]
fn no_recovered_server_is_starved() {
    check_property(0x4008, 60, recovered_server_is_not_starved as fn((u8, u8, u8, u8)) -> bool);
}

fn ramping_server_has_bounded_share((count, latency, start): (u8, u8, u8)) -> bool {
    let count = 2 + u64::from(count % 6);
    let ramp_start_percent = 1 + u32::from(start % 50);
    let settings =
        AdaptiveRouterSettings { ramp_start_percent, ..AdaptiveRouterSettings::default() };
    let normal = Some((CallOutcome::Answered, (1 + u64::from(latency % 40)) * MS));
    let all: Vec<Candidate> = (0..=count).map(|n| ready(n, Distance::Local)).collect();
    let mut load = LoadGenerator::new(adaptive(settings), &all[1..]);
    load.run(SECOND, |_| normal);
    load.router.set_candidates(SERVICE, &all, load.now_us);
    // The new server answers fastest, so it is chosen in every draw that includes it.
    let idle = Some((CallOutcome::Answered, MS / 2));
    let shares = load.run(SECOND, |server| if server == 0 { idle } else { normal });
    // Upper bound of its share over the first fifth of the ramp, with two servers per draw.
    let start = f64::from(ramp_start_percent) / 100.0;
    let max_share = (start + (1.0 - start) * 0.1) * 2.0 / (count + 1) as f64;
    // Tolerance of three standard deviations of 1,000 draws.
    share(&shares, 0) <= max_share + 3.0 * (max_share * (1.0 - max_share) / 1_000.0).sqrt()
}

/// Guards against a server in its ramp that gets a full share because it looks idle.
#[test]
fn every_ramping_server_has_a_bounded_share() {
    check_property(0x4009, 100, ramping_server_has_bounded_share as fn((u8, u8, u8)) -> bool);
}
