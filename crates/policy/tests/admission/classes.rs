//! Guards the work classes: the cap of long work, lending, and importance across classes.

use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::WorkClass;

use crate::bench::long;
use crate::bench::short;
use crate::bench::Bench;
use crate::bench::Seen;
use crate::bench::MS;
use crate::bench::SECOND;

/// Failure: long uploads take every slot and short work waits for their end.
#[test]
fn long_work_stays_at_its_cap_while_short_work_wants_the_slots() {
    let mut bench = Bench::new(20);
    bench.load(&[1], 800, &|_| 10 * MS, SECOND);
    for counter in 0..40 {
        bench.offer(long(1 << 20 | counter, 1, 60 * SECOND));
    }
    bench.finish_short(0, RunOutcome::Answered);
    assert!(bench.running_of(WorkClass::Long) <= 5, "{}", bench.running_of(WorkClass::Long));
    assert!(matches!(bench.offer(short(1 << 30, 1, SECOND)), AdmissionDecision::Run(_)));
}

/// Failure: slots stay idle because they belong to the other class.
#[test]
fn unused_slots_are_lent_in_both_directions() {
    let mut bench = Bench::new(20);
    for counter in 0..40 {
        bench.offer(long(counter, 1, 60 * SECOND));
    }
    let lent = bench.running_of(WorkClass::Long);
    assert!((15..20).contains(&lent), "{lent} long requests run without any short work");
    let mut bench = Bench::new(20);
    for counter in 0..40 {
        bench.offer(short(counter, 1, 60 * SECOND));
    }
    assert_eq!(bench.running_of(WorkClass::Short), 20);
}

/// Failure: an important upload is refused because its class is full, while lookups go on.
#[test]
fn less_important_work_stops_before_an_important_long_request_is_refused() {
    let mut bench = Bench::new(20);
    bench.load(&[3], 500, &|_| 10 * MS, SECOND);
    let uploads: Vec<_> = (0..7).map(|counter| long(1 << 20 | counter, 0, 2 * SECOND)).collect();
    for upload in &uploads {
        assert!(!matches!(bench.offer(*upload), AdmissionDecision::Refuse(_)));
    }
    bench.seen.clear();
    // Uploads do not end in this time. Short work leaves no slot to lend beyond the cap of five,
    // until half of the time to the uploads' deadline has passed.
    for step in 0..1200 {
        if step == 500 {
            assert_eq!(bench.running_of(WorkClass::Long), 5);
        }
        bench.now_us += MS;
        bench.finish_short(10 * MS, RunOutcome::Answered);
        bench.offer(short(1 << 30 | step, 3, SECOND));
        bench.offer(short(1 << 31 | step, 3, SECOND));
    }
    let refused =
        bench.seen.iter().filter(|seen| matches!(seen, Seen::Refused(o, _) if o.rank == 0));
    assert_eq!(refused.count(), 0);
    assert_eq!(bench.running_of(WorkClass::Long), 7);
}

/// Failure: lending for a long request displaces short work of the same importance.
#[test]
fn an_urgent_long_request_does_not_displace_equally_important_short_work() {
    let mut bench = Bench::new(20);
    bench.load(&[1], 800, &|_| 10 * MS, SECOND);
    for counter in 0..40 {
        bench.offer(long(1 << 20 | counter, 1, SECOND));
    }
    bench.seen.clear();
    bench.load(&[1], 800, &|_| 10 * MS, SECOND);
    let of_short = |seen: &&Seen| matches!(seen, Seen::Ran(o) | Seen::Refused(o, _) if o.class == WorkClass::Short);
    let refused = bench.seen.iter().filter(of_short).filter(|s| matches!(s, Seen::Refused(..)));
    let (refused, all) = (refused.count(), bench.seen.iter().filter(of_short).count());
    assert!(all > 1000 && refused * 100 <= all, "{refused} of {all} short requests refused");
}
