use super::CallDurations;
use super::CallEnd;

const KIND: u64 = 7;
const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

/// Durations after a number of calls of the same length, one after the other, and the time after them.
fn after_calls(count: u64, duration_us: u64) -> (CallDurations, u64) {
    let mut durations = CallDurations::default();
    let mut now_us = 100 * S;
    for _ in 0..count {
        let ticket = durations.start(KIND, now_us);
        now_us += duration_us;
        durations.end(ticket, CallEnd::Complete, now_us);
    }
    (durations, now_us)
}

/// Whether a call of the kind with a far deadline is expected to end within a time.
fn ends_within(durations: &CallDurations, left_us: u64, now_us: u64) -> bool {
    durations.ends_by(now_us + left_us, KIND, now_us + 60 * S, now_us)
}

#[test]
fn calls_of_a_short_kind_are_expected_to_end_in_time() {
    let (durations, now_us) = after_calls(20, 100 * MS);
    assert!(ends_within(&durations, 300 * MS, now_us));
    assert!(!ends_within(&durations, 150 * MS, now_us));
}

/// Guards against taking a kind of call for short because nothing is known of it.
#[test]
fn a_kind_with_few_calls_is_not_expected_to_end_before_its_deadline() {
    for count in [0, 1, 7] {
        let (durations, now_us) = after_calls(count, MS);
        assert!(!ends_within(&durations, 10 * S, now_us), "{count} calls");
    }
    let (durations, now_us) = after_calls(0, 0);
    assert!(durations.ends_by(now_us + S, KIND, now_us + S, now_us));
    assert!(!durations.ends_by(now_us + S, KIND, now_us + S + 1, now_us));
}

/// Guards against a bound by the typical call, which half of the calls exceed.
#[test]
fn the_longest_call_counts() {
    let (mut durations, mut now_us) = after_calls(30, 10 * MS);
    let ticket = durations.start(KIND, now_us);
    now_us += 2 * S;
    durations.end(ticket, CallEnd::Complete, now_us);
    assert!(!ends_within(&durations, 2 * S, now_us));
    // Calls that were given up would have taken longer still.
    let ticket = durations.start(KIND, now_us);
    now_us += 3 * S;
    durations.end(ticket, CallEnd::Incomplete, now_us);
    assert!(!ends_within(&durations, 5 * S, now_us));
    assert!(ends_within(&durations, 6 * S, now_us));
}

/// Guards against a bound from the time before a server became slow.
#[test]
fn a_call_in_flight_counts_with_the_time_that_it_has_taken() {
    let (mut durations, now_us) = after_calls(30, 10 * MS);
    let slow = durations.start(KIND, now_us);
    let other = durations.start(KIND + 1, now_us);
    let later_us = now_us + S;
    assert!(!ends_within(&durations, S, later_us));
    durations.end(slow, CallEnd::NotRun, later_us);
    assert!(ends_within(&durations, S, later_us), "a refused call says nothing");
    durations.end(other, CallEnd::Complete, later_us);
    assert!(ends_within(&durations, S, later_us), "other kinds say nothing");
}

#[test]
fn calls_are_forgotten_after_some_time() {
    let (mut durations, now_us) = after_calls(30, 10 * MS);
    assert!(ends_within(&durations, S, now_us + 29 * S));
    assert!(!ends_within(&durations, S, now_us + 61 * S));
    let later_us = now_us + 200 * S;
    let ticket = durations.start(KIND, later_us);
    durations.end(ticket, CallEnd::Complete, later_us + MS);
    assert!(!ends_within(&durations, S, later_us + MS), "one call is left");
}
