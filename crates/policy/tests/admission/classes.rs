//! Tests of the work classes: the share of long work, the use of free slots of the other class, and
//! importance across classes.

use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::WorkClass;

use crate::harness::long_request;
use crate::harness::short_request;
use crate::harness::GateEvent;
use crate::harness::GateHarness;
use crate::harness::MS;
use crate::harness::SECOND;

/// Guards against long uploads that take every slot, so that short requests wait for their end.
#[test]
fn long_work_is_limited_to_its_share_while_short_work_needs_the_slots() {
    let mut harness = GateHarness::new(20);
    harness.run_load(&[1], 800, &|_| 10 * MS, SECOND);
    for counter in 0..40 {
        harness.offer(long_request(1 << 20 | counter, 1, 60 * SECOND));
    }
    harness.finish_short(0, RunOutcome::Answered);
    assert!(
        harness.running_count(WorkClass::Long) <= 5,
        "{}",
        harness.running_count(WorkClass::Long)
    );
    assert!(matches!(harness.offer(short_request(1 << 30, 1, SECOND)), AdmissionDecision::Run(_)));
}

/// Guards against slots that stay idle because they are reserved for the other class.
#[test]
fn both_classes_use_free_slots_of_the_other_class() {
    let mut harness = GateHarness::new(20);
    for counter in 0..40 {
        harness.offer(long_request(counter, 1, 60 * SECOND));
    }
    let long_running = harness.running_count(WorkClass::Long);
    assert!(
        (15..20).contains(&long_running),
        "{long_running} long requests run without any short work"
    );
    let mut harness = GateHarness::new(20);
    for counter in 0..40 {
        harness.offer(short_request(counter, 1, 60 * SECOND));
    }
    assert_eq!(harness.running_count(WorkClass::Short), 20);
}

/// Guards against the refusal of an important upload because of the limit of its class, while less
/// important lookups still run.
#[test]
fn less_important_work_stops_before_an_important_long_request_is_refused() {
    let mut harness = GateHarness::new(20);
    harness.run_load(&[3], 500, &|_| 10 * MS, SECOND);
    let uploads: Vec<_> =
        (0..7).map(|counter| long_request(1 << 20 | counter, 0, 2 * SECOND)).collect();
    for upload in &uploads {
        assert!(!matches!(harness.offer(*upload), AdmissionDecision::Refuse(_)));
    }
    harness.events.clear();
    // Uploads do not end during the test. Short work leaves no free slot beyond the five slots of
    // long work, until half of the time to the deadline of the uploads has passed.
    for step in 0..1200 {
        if step == 500 {
            assert_eq!(harness.running_count(WorkClass::Long), 5);
        }
        harness.now_us += MS;
        harness.finish_short(10 * MS, RunOutcome::Answered);
        harness.offer(short_request(1 << 30 | step, 3, SECOND));
        harness.offer(short_request(1 << 31 | step, 3, SECOND));
    }
    let refused = harness
        .events
        .iter()
        .filter(|event| matches!(event, GateEvent::Refused(request, _) if request.rank == 0));
    assert_eq!(refused.count(), 0);
    assert_eq!(harness.running_count(WorkClass::Long), 7);
}

/// Guards against short requests displaced by an urgent long request of the same importance.
#[test]
fn an_urgent_long_request_does_not_displace_equally_important_short_work() {
    let mut harness = GateHarness::new(20);
    harness.run_load(&[1], 800, &|_| 10 * MS, SECOND);
    for counter in 0..40 {
        harness.offer(long_request(1 << 20 | counter, 1, SECOND));
    }
    harness.events.clear();
    harness.run_load(&[1], 800, &|_| 10 * MS, SECOND);
    let is_short = |event: &&GateEvent| {
        let (GateEvent::Started(request) | GateEvent::Refused(request, _)) = event;
        request.class == WorkClass::Short
    };
    let refused = harness
        .events
        .iter()
        .filter(is_short)
        .filter(|event| matches!(event, GateEvent::Refused(..)));
    let (refused, all) = (refused.count(), harness.events.iter().filter(is_short).count());
    assert!(all > 1000 && refused * 100 <= all, "{refused} of {all} short requests were refused");
}
