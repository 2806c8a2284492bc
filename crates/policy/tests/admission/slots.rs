//! Tests of the slot accounting over random sequences of events, and of the drain.

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::RunOutcome;
use tarragon_testkit::check_property;

use crate::harness::long_request;
use crate::harness::short_request;
use crate::harness::GateEvent;
use crate::harness::GateHarness;
use crate::harness::MS;
use crate::harness::SECOND;

const RUN_OUTCOMES: [RunOutcome; 4] =
    [RunOutcome::Answered, RunOutcome::Failed, RunOutcome::Rejected, RunOutcome::Cancelled];

/// Guards against leaks of slots and waiting requests, with which the capacity of a gate would
/// shrink over time.
#[test]
fn slots_never_leak_over_any_sequence_of_events() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let settings = AdmissionSettings { max_queue: 6, ..AdmissionSettings::default() };
        let mut harness = GateHarness::with_settings(4, settings);
        for (counter, (action, rank, value)) in steps.into_iter().enumerate() {
            let counter = counter as u64;
            let pick = |length: usize| usize::from(value) % length.max(1);
            harness.now_us += u64::from(value);
            match action % 9 {
                0 | 1 => {
                    harness.offer(short_request(counter, rank, u64::from(value) * MS));
                }
                2 => {
                    harness.offer(long_request(counter, rank, u64::from(value) * MS));
                }
                3 | 4 => {
                    let ticket = harness.running.keys().nth(pick(harness.running.len())).copied();
                    if let Some(ticket) = ticket {
                        harness.finish(ticket, RUN_OUTCOMES[usize::from(rank) % 4]);
                    }
                }
                5 => harness.poll(),
                6 => {
                    let ticket = harness.waiting.keys().nth(pick(harness.waiting.len())).copied();
                    if let Some(ticket) = ticket {
                        harness.waiting.remove(&ticket);
                        harness.gate.withdraw(ticket, harness.now_us);
                    }
                }
                7 => harness.gate.set_drain(rank % 2 == 0, harness.now_us),
                _ => harness.now_us += u64::from(value) * 100,
            }
            let in_flight = harness.gate.advice(harness.now_us).in_flight as usize;
            if in_flight != harness.running.len() || in_flight > 4 || harness.waiting.len() > 12 {
                return false;
            }
        }
        harness.gate.set_drain(false, harness.now_us);
        for _ in 0..100 {
            harness.poll();
            for ticket in harness.running.keys().copied().collect::<Vec<_>>() {
                harness.finish(ticket, RunOutcome::Answered);
            }
        }
        harness.now_us += 10 * SECOND;
        let is_usable =
            matches!(harness.offer(short_request(1 << 40, 0, SECOND)), AdmissionDecision::Run(_));
        harness.waiting.is_empty() && is_usable && harness.gate.next_poll_us().is_none()
    }
    check_property(11, 500, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against a drain that lets new or waiting requests run, cancels runs or does not end.
#[test]
fn a_drain_refuses_new_and_waiting_work_and_leaves_running_work() {
    let mut harness = GateHarness::new(1);
    harness.offer(short_request(1, 0, SECOND));
    harness.offer(short_request(2, 0, SECOND));
    harness.gate.set_drain(true, 0);
    let refused = harness.offer(short_request(3, 0, SECOND));
    harness.advance(MS);
    let is_draining =
        |decision| matches!(decision, AdmissionDecision::Refuse(r) if r.reason == Reason::Draining);
    assert!(is_draining(refused));
    assert_eq!((harness.running.len(), harness.waiting.len()), (1, 0));
    assert!(matches!(harness.events[2], GateEvent::Refused(_, r) if r.reason == Reason::Draining));
    let ticket = *harness.running.keys().next().unwrap();
    harness.finish(ticket, RunOutcome::Answered);
    harness.gate.set_drain(false, MS);
    assert!(matches!(harness.offer(short_request(4, 0, SECOND)), AdmissionDecision::Run(_)));
}
