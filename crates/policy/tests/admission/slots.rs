//! Guards the accounts of a gate over any sequence of events, and its drain.

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::RunOutcome;
use tarragon_testkit::check;

use crate::bench::long;
use crate::bench::short;
use crate::bench::Bench;
use crate::bench::Seen;
use crate::bench::MS;
use crate::bench::SECOND;

const ENDS: [RunOutcome; 4] =
    [RunOutcome::Answered, RunOutcome::Failed, RunOutcome::Rejected, RunOutcome::Cancelled];

/// Failure: a slot or a waiting request is lost, so that the gate serves less and less.
#[test]
fn slots_never_leak_over_any_sequence_of_events() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let settings = AdmissionSettings { max_queue: 6, ..AdmissionSettings::default() };
        let mut bench = Bench::with(4, settings);
        for (counter, (action, rank, value)) in steps.into_iter().enumerate() {
            let counter = counter as u64;
            let pick = |length: usize| usize::from(value) % length.max(1);
            bench.now_us += u64::from(value);
            match action % 9 {
                0 | 1 => {
                    bench.offer(short(counter, rank, u64::from(value) * MS));
                }
                2 => {
                    bench.offer(long(counter, rank, u64::from(value) * MS));
                }
                3 | 4 => {
                    let ticket = bench.running.keys().nth(pick(bench.running.len())).copied();
                    if let Some(ticket) = ticket {
                        bench.finish(ticket, ENDS[usize::from(rank) % 4]);
                    }
                }
                5 => bench.poll(),
                6 => {
                    let ticket = bench.waiting.keys().nth(pick(bench.waiting.len())).copied();
                    if let Some(ticket) = ticket {
                        bench.waiting.remove(&ticket);
                        bench.gate.withdraw(ticket, bench.now_us);
                    }
                }
                7 => bench.gate.set_drain(rank % 2 == 0, bench.now_us),
                _ => bench.now_us += u64::from(value) * 100,
            }
            let in_flight = bench.gate.advice(bench.now_us).in_flight as usize;
            if in_flight != bench.running.len() || in_flight > 4 || bench.waiting.len() > 12 {
                return false;
            }
        }
        bench.gate.set_drain(false, bench.now_us);
        for _ in 0..100 {
            bench.poll();
            for ticket in bench.running.keys().copied().collect::<Vec<_>>() {
                bench.finish(ticket, RunOutcome::Answered);
            }
        }
        bench.now_us += 10 * SECOND;
        let is_usable = matches!(bench.offer(short(1 << 40, 0, SECOND)), AdmissionDecision::Run(_));
        bench.waiting.is_empty() && is_usable && bench.gate.next_poll_us().is_none()
    }
    check(11, 500, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Failure: a drain lets new or waiting work reach the server, interrupts work, or never ends.
#[test]
fn a_drain_refuses_new_and_waiting_work_and_leaves_running_work() {
    let mut bench = Bench::new(1);
    bench.offer(short(1, 0, SECOND));
    bench.offer(short(2, 0, SECOND));
    bench.gate.set_drain(true, 0);
    let refused = bench.offer(short(3, 0, SECOND));
    bench.pass(MS);
    let is_draining =
        |verdict| matches!(verdict, AdmissionDecision::Refuse(r) if r.reason == Reason::Draining);
    assert!(is_draining(refused));
    assert_eq!((bench.running.len(), bench.waiting.len()), (1, 0));
    assert!(matches!(bench.seen[2], Seen::Refused(_, r) if r.reason == Reason::Draining));
    let ticket = *bench.running.keys().next().unwrap();
    bench.finish(ticket, RunOutcome::Answered);
    bench.gate.set_drain(false, MS);
    assert!(matches!(bench.offer(short(4, 0, SECOND)), AdmissionDecision::Run(_)));
}
