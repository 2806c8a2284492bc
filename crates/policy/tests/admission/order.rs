//! Tests of the shedding order: by rank and then by hash, the same requests at every gate, and no
//! request past its deadline.

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::AdvisoryFilter;
use tarragon_policy::admission::RunOutcome;
use tarragon_testkit::check_property;

use crate::harness::long_request;
use crate::harness::shedding_order;
use crate::harness::short_request;
use crate::harness::GateEvent;
use crate::harness::GateHarness;
use crate::harness::MS;
use crate::harness::SECOND;

/// Guards against a less important request that runs before a more important one or is kept in its
/// place.
#[test]
fn no_less_important_request_is_preferred_when_capacity_is_short() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let settings =
            AdmissionSettings { max_queue: 8, initial_share: 1.0, ..AdmissionSettings::default() };
        let mut harness = GateHarness::with_settings(3, settings);
        for (counter, (rank, action)) in steps.into_iter().enumerate() {
            harness.now_us += u64::from(action) * 100;
            harness.events.clear();
            if action % 3 == 0 {
                if let Some(ticket) = harness.running.keys().next().copied() {
                    harness.finish(ticket, RunOutcome::Answered);
                }
            } else {
                harness.offer(short_request(counter as u64, rank % 4, 1000 * SECOND));
            }
            harness.poll();
            for event in &harness.events {
                let mut waiting = harness.waiting.values().map(|(request, _)| request);
                let is_wrong = match event {
                    GateEvent::Started(started) => {
                        waiting.any(|waiting| waiting.rank < started.rank)
                    }
                    GateEvent::Refused(refused, _) => {
                        waiting.any(|waiting| shedding_order(waiting) > shedding_order(refused))
                    }
                };
                if is_wrong {
                    return false;
                }
            }
        }
        true
    }
    check_property(12, 300, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a request that waits past its deadline or starts too late to meet it.
#[test]
fn no_request_waits_past_its_deadline() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut harness = GateHarness::new(2);
        for (counter, (rank, action, deadline_ms)) in steps.into_iter().enumerate() {
            let deadline_us = u64::from(deadline_ms % 500) * MS;
            match action % 3 {
                0 => harness.advance(u64::from(deadline_ms % 50) * MS),
                1 => {
                    harness.offer(long_request(counter as u64, rank, deadline_us));
                }
                _ => {
                    harness.offer(short_request(counter as u64, rank, deadline_us));
                }
            }
            if harness.waiting.values().any(|(_, deadline_us)| *deadline_us < harness.now_us) {
                return false;
            }
            if action % 7 == 0 {
                if let Some(ticket) = harness.running.keys().next().copied() {
                    harness.finish(ticket, RunOutcome::Answered);
                }
            }
        }
        true
    }
    check_property(13, 300, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against work at one gate for requests that another gate with the same cutoff refuses.
#[test]
fn two_gates_under_one_cutoff_shed_the_same_requests() {
    let mut gates = [GateHarness::new(10), GateHarness::new(10)];
    let mut shed = 0;
    for step in 0..1000 {
        // 4000 requests/s at a capacity of 1000/s; the second gate gets them in reverse order.
        let mut requests: Vec<_> =
            (0..8).map(|at| short_request(step * 8 + at, 1, 200 * MS)).collect();
        let decisions = gates.each_mut().map(|gate| {
            gate.now_us = step * 2 * MS;
            gate.finish_short(10 * MS, RunOutcome::Answered);
            gate.events.clear();
            let cutoff = gate.gate.advice(gate.now_us).cutoff_hash;
            for request in &requests {
                gate.offer(*request);
            }
            requests.reverse();
            let refused = gate.events.iter().filter_map(|event| match event {
                GateEvent::Refused(request, refusal) if refusal.reason == Reason::Shed => {
                    Some(request)
                }
                _ => None,
            });
            let mut refused: Vec<_> = refused.map(|request| request.request_id.counter).collect();
            refused.sort_unstable();
            (cutoff, refused)
        });
        if decisions[0].0 == decisions[1].0 && step > 100 {
            assert_eq!(decisions[0].1, decisions[1].1, "in step {step}");
            shed += decisions[0].1.len();
        }
    }
    assert!(shed > 1000, "only {shed} requests were shed at equal cutoffs");
}

/// Guards against the refusal of the most important requests under overload.
#[test]
fn at_ten_times_the_capacity_no_important_request_is_refused() {
    let mut harness = GateHarness::new(10);
    // 10,000 requests/s at a capacity of 1000/s; one in twenty is important.
    let mut ranks = [2; 20];
    ranks[7] = 0;
    harness.run_load(&ranks, 100, &|_| 10 * MS, SECOND);
    harness.events.clear();
    harness.run_load(&ranks, 100, &|_| 10 * MS, 3 * SECOND);
    let is_important_refusal =
        |event: &&GateEvent| matches!(event, GateEvent::Refused(request, _) if request.rank == 0);
    assert_eq!(harness.events.iter().filter(is_important_refusal).count(), 0);
    let started =
        harness.events.iter().filter(|event| matches!(event, GateEvent::Started(_))).count();
    assert!(started >= 2700, "{started} of 3000 possible requests started");
}

/// Guards against runs that cannot end in time, and against an outdated estimate that refuses
/// requests forever.
#[test]
fn a_deadline_below_the_measured_run_time_is_refused_until_the_measurement_is_old() {
    let mut harness = GateHarness::new(10);
    harness.run_load(&[1], 20 * MS, &|_| 80 * MS, SECOND);
    let late = harness.offer(short_request(1_000_000, 1, 30 * MS));
    assert!(matches!(late, AdmissionDecision::Refuse(refusal) if refusal.reason == Reason::Late));
    harness.now_us += 2 * SECOND;
    assert!(matches!(
        harness.offer(short_request(1_000_001, 1, 30 * MS)),
        AdmissionDecision::Run(_)
    ));
}

/// Guards against a difference between the advice of a gate and the requests that it admits.
#[test]
fn advice_reflects_the_overload_and_admits_all_ranks_after_it() {
    let mut harness = GateHarness::new(10);
    // One eighth of the load is important and needs half of the capacity.
    let ranks = [0, 2, 2, 2, 2, 2, 2, 2];
    harness.run_load(&ranks, 250, &|_| 10 * MS, 2 * SECOND);
    let advice = harness.gate.advice(harness.now_us);
    assert!(advice.is_admitted(0, u16::MAX) && !advice.is_admitted(2, u16::MAX), "{advice}");
    harness.run_load(&ranks, 4 * MS, &|_| 10 * MS, SECOND);
    let advice = harness.gate.advice(harness.now_us);
    assert!(advice.is_admitted(2, u16::MAX), "{advice}");
}

/// Guards against stale advice that keeps requests away from an idle server, and against advice
/// that decays too soon.
#[test]
fn advice_decays_linearly_within_a_second() {
    let mut filter = AdvisoryFilter::default();
    assert!(filter.is_admitted(255, 65_534, 0));
    let half = 1 << 15;
    let advice = AdmissionAdvice { cutoff_rank: 1, cutoff_hash: half, in_flight: 9, limit: 9 };
    filter.update(advice, SECOND);
    let admitted = |rank: u8, now_us: u64| {
        (0..=u16::MAX).step_by(64).filter(|hash| filter.is_admitted(rank, *hash, now_us)).count()
    };
    let admitted_after =
        |us: u64| [admitted(0, SECOND + us), admitted(1, SECOND + us), admitted(2, SECOND + us)];
    assert_eq!(admitted_after(0), [1024, 512, 0]);
    assert_eq!(admitted_after(500 * MS), [1024, 768, 512]);
    assert_eq!(admitted_after(SECOND), [1024, 1024, 1024]);
}
