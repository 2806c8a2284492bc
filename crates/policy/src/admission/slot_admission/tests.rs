use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::call::Reason;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_testkit::check_property;

use super::SlotAdmission;
use super::SlotAdmissionSettings;
use crate::admission::AdaptiveAdmission;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRequest;
use crate::admission::AdmissionSettings;
use crate::admission::QueueDecision;
use crate::admission::RunOutcome;
use crate::admission::RunResult;
use crate::admission::Ticket;
use crate::admission::WorkClass;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

/// Importance ranks; 0 is the most important.
const IMPORTANT_RANK: u8 = 0;
const RANK: u8 = 1;
const UNIMPORTANT_RANK: u8 = 2;

const KIND: u32 = 1;

fn request(counter: u64, rank: u8, kind: u32, deadline_left_us: u64) -> AdmissionRequest {
    AdmissionRequest {
        request_id: RequestId { instance: InstanceId(1), counter },
        rank,
        kind,
        class: WorkClass::Short,
        expected_us: 0,
        deadline_left_us,
    }
}

fn answered(run_us: u64) -> RunResult {
    RunResult { run_us, first_byte_us: run_us, outcome: RunOutcome::Answered }
}

/// Creates a gate that uses all slots and has no bound on the predicted wait but the deadline.
fn gate(slots: u32) -> SlotAdmission {
    let settings = SlotAdmissionSettings {
        used_share: 1.0,
        max_wait_share: 1.0,
        ..SlotAdmissionSettings::default()
    };
    let mut gate = SlotAdmission::new(settings);
    gate.set_slots(slots, 0);
    gate
}

#[test]
fn requests_run_up_to_the_slots_and_then_wait_by_rank() {
    let mut gate = gate(1);
    let AdmissionDecision::Run(first) = gate.offer(&request(1, UNIMPORTANT_RANK, KIND, SECOND), 0)
    else {
        panic!("the request does not run")
    };
    let AdmissionDecision::Wait(unimportant) =
        gate.offer(&request(2, UNIMPORTANT_RANK, KIND, SECOND), 0)
    else {
        panic!("the request does not wait")
    };
    let AdmissionDecision::Wait(important) =
        gate.offer(&request(3, IMPORTANT_RANK, KIND, SECOND), 0)
    else {
        panic!("the request does not wait")
    };
    gate.finish(first, &answered(MS), MS);
    assert_eq!(gate.poll(MS), [QueueDecision::Run(important)]);
    gate.finish(important, &answered(MS), 2 * MS);
    assert_eq!(gate.poll(2 * MS), [QueueDecision::Run(unimportant)]);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
    let mut gate = gate(1);
    for counter in 0..20 {
        gate.offer(&request(counter, RANK, KIND, 10 * SECOND), 0);
    }
    let AdmissionDecision::Refuse(refusal) = gate.offer(&request(30, RANK, KIND, 300 * MS), 0)
    else {
        panic!("the request is not refused")
    };
    assert_eq!(refusal.reason, Reason::Shed);
    // 19 waiting requests of 100 ms each and the one that runs; spread over up to 1.5 times that.
    assert!((2_000..3_000).contains(&refusal.retry_after_ms), "{refusal:?}");
    let AdmissionDecision::Refuse(other) = gate.offer(&request(31, RANK, KIND, 300 * MS), 0) else {
        panic!("the request is not refused")
    };
    assert_ne!(other.retry_after_ms, refusal.retry_after_ms);
}

/// Guards against a call that spends its time left on waiting, although its run and the other calls
/// of the same request need it, and against retries during the same overload.
#[test]
fn a_request_waits_for_a_share_of_its_time_left_only() {
    let settings = SlotAdmissionSettings { used_share: 1.0, ..SlotAdmissionSettings::default() };
    let mut gate = SlotAdmission::new(settings);
    gate.set_slots(1, 0);
    gate.offer(&request(1, RANK, KIND, SECOND), 0);
    // A request with 1 s left may wait 150 ms. The predicted wait is 100 ms for the first one and
    // 200 ms for the next.
    assert!(matches!(gate.offer(&request(2, RANK, KIND, SECOND), 0), AdmissionDecision::Wait(_)));
    let AdmissionDecision::Refuse(refusal) = gate.offer(&request(3, RANK, KIND, SECOND), 0) else {
        panic!("the request is not refused")
    };
    assert_eq!(refusal.reason, Reason::Shed);
    assert!(refusal.retry_after_ms >= settings.min_retry_after_ms, "{refusal:?}");
}

#[test]
fn a_waiting_request_is_refused_once_it_can_no_longer_start_in_time() {
    let mut gate = gate(1);
    gate.offer(&request(1, RANK, KIND, SECOND), 0);
    let AdmissionDecision::Wait(late) = gate.offer(&request(2, RANK, KIND, 400 * MS), 0) else {
        panic!("the request does not wait")
    };
    let due_us = gate.next_poll_us().expect("a poll is due when the waiting request expires");
    assert!(due_us <= 400 * MS);
    let decisions = gate.poll(due_us);
    assert!(matches!(decisions[..], [QueueDecision::Refuse(ticket, _)] if ticket == late));
}

#[test]
fn a_drain_refuses_waiting_requests_and_lets_runs_end() {
    let mut gate = gate(1);
    let AdmissionDecision::Run(running) = gate.offer(&request(1, RANK, KIND, SECOND), 0) else {
        panic!("the request does not run")
    };
    let AdmissionDecision::Wait(waiting) = gate.offer(&request(2, RANK, KIND, SECOND), 0) else {
        panic!("the request does not wait")
    };
    gate.set_drain(true, 0);
    let decisions = gate.poll(0);
    assert!(matches!(decisions[..], [QueueDecision::Refuse(ticket, r)]
        if ticket == waiting && r.reason == Reason::Draining));
    assert!(matches!(gate.offer(&request(3, RANK, KIND, SECOND), 0), AdmissionDecision::Refuse(_)));
    gate.finish(running, &answered(MS), MS);
    assert!(gate.poll(MS).is_empty());
}

/// Guards the slot accounting: there are never more runs than the limit, every request ends exactly
/// once, and no request waits after a poll while a slot is free.
#[test]
fn every_request_ends_once_and_slots_are_not_wasted() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut gate = gate(3);
        let mut running: BTreeSet<Ticket> = BTreeSet::new();
        let mut waiting: BTreeSet<Ticket> = BTreeSet::new();
        for (at, (action, rank, left_ms)) in steps.into_iter().enumerate() {
            let now_us = at as u64 * 20 * MS;
            match action % 4 {
                0 | 1 => {
                    let left_us = u64::from(left_ms % 600) * MS;
                    let request = request(at as u64, rank % 3, u32::from(rank % 5), left_us);
                    match gate.offer(&request, now_us) {
                        AdmissionDecision::Run(ticket) => drop(running.insert(ticket)),
                        AdmissionDecision::Wait(ticket) => drop(waiting.insert(ticket)),
                        AdmissionDecision::Refuse(_) => {}
                    }
                }
                2 => {
                    if let Some(ticket) = running.pop_first() {
                        gate.finish(ticket, &answered(u64::from(left_ms) * MS), now_us);
                    }
                }
                _ => {
                    if let Some(ticket) = waiting.pop_last() {
                        gate.withdraw(ticket, now_us);
                    }
                }
            }
            for decision in gate.poll(now_us) {
                let (QueueDecision::Run(ticket) | QueueDecision::Refuse(ticket, _)) = decision;
                if !waiting.remove(&ticket) {
                    return false;
                }
                if matches!(decision, QueueDecision::Run(_)) {
                    running.insert(ticket);
                }
            }
            if running.len() > 3 || (running.len() < 3 && !waiting.is_empty()) {
                return false;
            }
        }
        true
    }
    check_property(61, 300, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// A kind of requests in a simulated load.
struct SimulatedKind {
    kind: u32,
    /// Probability that a request arrives in one ms.
    arrival_probability: f64,
    rank: u8,
    mean_run_us: u64,
    time_limit_us: u64,
}

/// Simulated run of a request.
struct SimulatedRun {
    kind: u32,
    run_us: u64,
    deadline_us: u64,
}

/// Number of requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    completed_in_time: u32,
    arrived: u32,
}

type CountsByKind = BTreeMap<u32, RequestCounts>;

/// Simulates a load on one server of 54 slots: many calls with a run time of 55 ms and a deadline
/// of 700 ms, and searches with a run time of 750 ms and a deadline of 5 s, together slightly below
/// the capacity of the server. Run times vary by a factor of four.
fn simulate_load(gate: &mut dyn AdmissionPolicy) -> CountsByKind {
    const SLOTS: u32 = 54;
    const CALL: u32 = 1;
    const SEARCH: u32 = 2;
    let mut rng = Pcg32::seed_from_u64(5);
    let mut counts = CountsByKind::new();
    let mut ends: BTreeSet<(u64, Ticket)> = BTreeSet::new();
    let mut requests: BTreeMap<Ticket, SimulatedRun> = BTreeMap::new();
    gate.set_slots(SLOTS, 0);
    for now_us in (0..24 * SECOND).step_by(MS as usize) {
        while let Some((end_us, ticket)) = ends.first().copied().filter(|(at, _)| *at <= now_us) {
            ends.pop_first();
            let SimulatedRun { kind, run_us, deadline_us } = requests[&ticket];
            gate.finish(ticket, &answered(run_us), now_us);
            counts.entry(kind).or_default().completed_in_time += u32::from(end_us <= deadline_us);
        }
        let kinds = [
            SimulatedKind {
                kind: CALL,
                arrival_probability: 0.55,
                rank: RANK,
                mean_run_us: 55 * MS,
                time_limit_us: 700 * MS,
            },
            SimulatedKind {
                kind: SEARCH,
                arrival_probability: 0.022,
                rank: UNIMPORTANT_RANK,
                mean_run_us: 750 * MS,
                time_limit_us: 5 * SECOND,
            },
        ];
        // Requests stop arriving early enough that all of them can be served.
        let is_over = now_us >= 18 * SECOND;
        for SimulatedKind { kind, arrival_probability, rank, mean_run_us, time_limit_us } in kinds {
            if is_over || rng.random::<f64>() >= arrival_probability {
                continue;
            }
            counts.entry(kind).or_default().arrived += 1;
            let run_us = (mean_run_us as f64 * (0.4 + 1.2 * rng.random::<f64>())) as u64;
            match gate.offer(&request(rng.random(), rank, kind, time_limit_us), now_us) {
                AdmissionDecision::Run(ticket) => {
                    requests.insert(
                        ticket,
                        SimulatedRun { kind, run_us, deadline_us: now_us + time_limit_us },
                    );
                    ends.insert((now_us + run_us, ticket));
                }
                AdmissionDecision::Wait(ticket) => {
                    requests.insert(
                        ticket,
                        SimulatedRun { kind, run_us, deadline_us: now_us + time_limit_us },
                    );
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        for decision in gate.poll(now_us) {
            if let QueueDecision::Run(ticket) = decision {
                ends.insert((now_us + requests[&ticket].run_us, ticket));
            }
        }
    }
    counts
}

fn share_in_time(counts: &CountsByKind, kind: u32) -> f64 {
    let RequestCounts { completed_in_time, arrived } = counts[&kind];
    f64::from(completed_in_time) / f64::from(arrived)
}

/// Guards the share of requests completed in time under the load that this policy is meant for.
/// Both kinds are served, while a limit derived from latency refuses work that fits into the slots.
#[test]
fn short_calls_and_long_searches_are_both_served_below_capacity() {
    let slots = simulate_load(&mut SlotAdmission::new(SlotAdmissionSettings::default()));
    let adaptive = simulate_load(&mut AdaptiveAdmission::new(&AdmissionSettings::default()));
    for kind in [1, 2] {
        assert!(share_in_time(&slots, kind) > 0.98, "{kind}: {slots:?}");
        assert!(
            share_in_time(&slots, kind) >= share_in_time(&adaptive, kind),
            "{kind}: {slots:?} {adaptive:?}"
        );
    }
    let total =
        |counts: &CountsByKind| counts.values().map(|count| count.completed_in_time).sum::<u32>();
    assert!(total(&slots) > total(&adaptive), "{slots:?} {adaptive:?}");
}

/// Slots of a server that names a limit; its slots are not what limits it.
const SLOTS_OF_LIMITED: u32 = 50;

/// Plays a demand of 40 requests per second, half of them important, for `duration_us` at the gate
/// of a server that names a limit. Returns the start times with the rank of each request.
fn starts_at_limit(
    gate: &mut dyn AdmissionPolicy,
    max_requests_per_s: f64,
    seed: u64,
    duration_us: u64,
) -> Vec<(u64, u8)> {
    const RUN_US: u64 = 80 * MS;
    let mut rng = Pcg32::seed_from_u64(seed);
    gate.set_slots(SLOTS_OF_LIMITED, 0);
    gate.set_rate_limit(Some(max_requests_per_s), 0);
    let (mut starts, mut ranks, mut ends) = (vec![], BTreeMap::new(), BTreeMap::new());
    let mut next_arrival_us = 0;
    for now_us in (0..duration_us).step_by(MS as usize) {
        while next_arrival_us <= now_us {
            let counter = starts.len() as u64 + 1;
            let rank = if rng.random_bool(0.5) { IMPORTANT_RANK } else { UNIMPORTANT_RANK };
            match gate.offer(&request(counter, rank, KIND, SECOND), now_us) {
                AdmissionDecision::Run(ticket) => {
                    starts.push((now_us, rank));
                    ends.insert((now_us + RUN_US, ticket), ());
                }
                AdmissionDecision::Wait(ticket) => drop(ranks.insert(ticket, rank)),
                AdmissionDecision::Refuse(_) => {}
            }
            next_arrival_us += rng.random_range(0..50 * MS);
        }
        while let Some((&(end_us, ticket), ())) = ends.first_key_value() {
            if end_us > now_us {
                break;
            }
            ends.pop_first();
            gate.finish(ticket, &answered(RUN_US), now_us);
        }
        for decision in gate.poll(now_us) {
            if let QueueDecision::Run(ticket) = decision {
                starts.push((now_us, ranks[&ticket]));
                ends.insert((now_us + RUN_US, ticket), ());
            }
        }
    }
    starts
}

#[test]
fn no_window_has_more_starts_than_a_limited_server_takes() {
    const WINDOW_US: u64 = 4 * SECOND;
    fn keeps_limit(seed: u64, limit: u8) -> bool {
        let max_requests_per_s = f64::from(limit) / 8.0;
        // The users allow one and a half times the limit, and 5 more.
        let allowed = (max_requests_per_s * 4.0 * 1.5 + 5.0) as usize;
        let policies: [Box<dyn AdmissionPolicy>; 2] = [
            Box::new(gate(SLOTS_OF_LIMITED)),
            Box::new(AdaptiveAdmission::new(&AdmissionSettings::default())),
        ];
        policies.into_iter().all(|mut gate| {
            let starts = starts_at_limit(gate.as_mut(), max_requests_per_s, seed, 12 * SECOND);
            starts.iter().enumerate().all(|(first, (from_us, _))| {
                let later = starts[first..].iter();
                later.take_while(|(at_us, _)| *at_us < from_us + WINDOW_US).count() <= allowed
            })
        })
    }
    check_property(7, 40, keeps_limit as fn(u64, u8) -> bool);
}

#[test]
fn a_limited_server_gets_what_it_takes_and_the_important_requests_first() {
    let starts = starts_at_limit(&mut gate(SLOTS_OF_LIMITED), 20.0, 1, 20 * SECOND);
    let important = starts.iter().filter(|(_, rank)| *rank == IMPORTANT_RANK).count();
    assert!(starts.len() >= 360, "{} of 400 possible requests started", starts.len());
    // About 400 important requests arrive.
    assert!(important * 10 >= starts.len() * 9, "{important} of {} are important", starts.len());
}

#[test]
fn requests_start_at_once_when_the_limit_is_lifted() {
    let mut gate = gate(SLOTS_OF_LIMITED);
    gate.set_rate_limit(Some(0.0), 0);
    let decisions: Vec<_> =
        (0..3).map(|n| gate.offer(&request(n, RANK, KIND, 10 * SECOND), 0)).collect();
    assert!(matches!(decisions[..2], [AdmissionDecision::Run(_), AdmissionDecision::Wait(_)]));
    gate.set_rate_limit(None, MS);
    assert_eq!(gate.poll(MS).len(), decisions.len() - 1);
}

/// Guards against advice that makes a limited server look idle to the nodes that call it.
#[test]
fn the_advised_limit_is_what_the_rate_limit_lets_run_at_once() {
    const RUN_US: u64 = 500 * MS;
    let mut gate = gate(SLOTS_OF_LIMITED);
    for n in 0..500 {
        let AdmissionDecision::Run(ticket) = gate.offer(&request(n, RANK, KIND, SECOND), 0) else {
            panic!("the request does not run")
        };
        gate.finish(ticket, &answered(RUN_US), RUN_US);
    }
    assert_eq!(gate.advice(SECOND).limit, SLOTS_OF_LIMITED);
    gate.set_rate_limit(Some(10.0), SECOND);
    assert_eq!(gate.advice(SECOND).limit, 5);
    gate.set_rate_limit(None, SECOND);
    assert_eq!(gate.advice(SECOND).limit, SLOTS_OF_LIMITED);
}
