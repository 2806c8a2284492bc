//! Guards who is shed: rank before hash, the same requests everywhere, nothing past its deadline.

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::AdvisoryFilter;
use tarragon_policy::admission::RunOutcome;
use tarragon_testkit::check;

use crate::bench::long;
use crate::bench::short;
use crate::bench::worth;
use crate::bench::Bench;
use crate::bench::Seen;
use crate::bench::MS;
use crate::bench::SECOND;

/// Failure: a less important request runs ahead of, or is kept instead of, a more important one.
#[test]
fn no_less_important_request_is_preferred_when_capacity_is_short() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let settings =
            AdmissionSettings { max_queue: 8, initial_share: 1.0, ..AdmissionSettings::default() };
        let mut bench = Bench::with(3, settings);
        for (counter, (rank, action)) in steps.into_iter().enumerate() {
            bench.now_us += u64::from(action) * 100;
            bench.seen.clear();
            if action % 3 == 0 {
                if let Some(ticket) = bench.running.keys().next().copied() {
                    bench.finish(ticket, RunOutcome::Answered);
                }
            } else {
                bench.offer(short(counter as u64, rank % 4, 1000 * SECOND));
            }
            bench.poll();
            for seen in &bench.seen {
                let mut waiting = bench.waiting.values().map(|(offer, _)| offer);
                let is_wrong = match seen {
                    Seen::Ran(ran) => waiting.any(|w| w.rank < ran.rank),
                    Seen::Refused(refused, _) => waiting.any(|w| worth(w) > worth(refused)),
                };
                if is_wrong {
                    return false;
                }
            }
        }
        true
    }
    check(12, 300, property as fn(Vec<(u8, u8)>) -> bool);
}

/// Failure: a request waits past its deadline, or starts when it can no longer meet it.
#[test]
fn nothing_waits_past_its_deadline() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut bench = Bench::new(2);
        for (counter, (rank, action, deadline_ms)) in steps.into_iter().enumerate() {
            let deadline_us = u64::from(deadline_ms % 500) * MS;
            match action % 3 {
                0 => bench.pass(u64::from(deadline_ms % 50) * MS),
                1 => {
                    bench.offer(long(counter as u64, rank, deadline_us));
                }
                _ => {
                    bench.offer(short(counter as u64, rank, deadline_us));
                }
            }
            if bench.waiting.values().any(|(_, deadline_us)| *deadline_us < bench.now_us) {
                return false;
            }
            if action % 7 == 0 {
                if let Some(ticket) = bench.running.keys().next().copied() {
                    bench.finish(ticket, RunOutcome::Answered);
                }
            }
        }
        true
    }
    check(13, 300, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Failure: work is spent at one gate on requests that another gate with the same cutoff refuses.
#[test]
fn two_gates_under_one_cutoff_shed_the_same_requests() {
    let mut gates = [Bench::new(10), Bench::new(10)];
    let mut shed = 0;
    for step in 0..1000 {
        // 4000 requests/s at a capacity of 1000; the second gate sees them in another order.
        let mut offers: Vec<_> = (0..8).map(|at| short(step * 8 + at, 1, 200 * MS)).collect();
        let decisions = gates.each_mut().map(|gate| {
            gate.now_us = step * 2 * MS;
            gate.finish_short(10 * MS, RunOutcome::Answered);
            gate.seen.clear();
            let cutoff = gate.gate.advice(gate.now_us).cutoff_hash;
            for offer in &offers {
                gate.offer(*offer);
            }
            offers.reverse();
            let refused = gate.seen.iter().filter_map(|seen| match seen {
                Seen::Refused(offer, refusal) if refusal.reason == Reason::Shed => Some(offer),
                _ => None,
            });
            let mut refused: Vec<_> = refused.map(|offer| offer.request_id.counter).collect();
            refused.sort_unstable();
            (cutoff, refused)
        });
        if decisions[0].0 == decisions[1].0 && step > 100 {
            assert_eq!(decisions[0].1, decisions[1].1, "in step {step}");
            shed += decisions[0].1.len();
        }
    }
    assert!(shed > 1000, "only {shed} requests were shed under equal cutoffs");
}

/// Failure: the important share of an overload is refused with the rest.
#[test]
fn ten_times_the_capacity_leaves_the_most_important_work_alone() {
    let mut bench = Bench::new(10);
    // 10,000 requests/s at a capacity of 1000; one in twenty is important.
    let mut ranks = [2; 20];
    ranks[7] = 0;
    bench.load(&ranks, 100, &|_| 10 * MS, SECOND);
    bench.seen.clear();
    bench.load(&ranks, 100, &|_| 10 * MS, 3 * SECOND);
    let is_important_refusal = |seen: &&Seen| matches!(seen, Seen::Refused(o, _) if o.rank == 0);
    assert_eq!(bench.seen.iter().filter(is_important_refusal).count(), 0);
    let ran = bench.seen.iter().filter(|seen| matches!(seen, Seen::Ran(_))).count();
    assert!(ran >= 2700, "{ran} of 3000 possible requests ran");
}

/// Failure: work that cannot end in time is run, or an old estimate refuses work for ever.
#[test]
fn a_deadline_below_the_measured_run_time_is_refused_until_the_measurement_is_old() {
    let mut bench = Bench::new(10);
    bench.load(&[1], 20 * MS, &|_| 80 * MS, SECOND);
    let late = bench.offer(short(1_000_000, 1, 30 * MS));
    assert!(matches!(late, AdmissionDecision::Refuse(refusal) if refusal.reason == Reason::Late));
    bench.now_us += 2 * SECOND;
    assert!(matches!(bench.offer(short(1_000_001, 1, 30 * MS)), AdmissionDecision::Run(_)));
}

/// Failure: a gate refuses by rules that the nodes that call it are not told.
#[test]
fn advice_states_the_overload_and_opens_after_it() {
    let mut bench = Bench::new(10);
    // The important eighth of the load alone takes half of the capacity.
    let ranks = [0, 2, 2, 2, 2, 2, 2, 2];
    bench.load(&ranks, 250, &|_| 10 * MS, 2 * SECOND);
    let advice = bench.gate.advice(bench.now_us);
    assert!(advice.is_admitted(0, u16::MAX) && !advice.is_admitted(2, u16::MAX), "{advice}");
    bench.load(&ranks, 4 * MS, &|_| 10 * MS, SECOND);
    let advice = bench.gate.advice(bench.now_us);
    assert!(advice.is_admitted(2, u16::MAX), "{advice}");
}

/// Failure: stale advice keeps work away from an idle server, or is ignored before it is stale.
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
    let at =
        |us: u64| [admitted(0, SECOND + us), admitted(1, SECOND + us), admitted(2, SECOND + us)];
    assert_eq!(at(0), [1024, 512, 0]);
    assert_eq!(at(500 * MS), [1024, 768, 512]);
    assert_eq!(at(SECOND), [1024, 1024, 1024]);
}
