//! Guards the learnt limit: it falls with a slow server and is never stuck low.

use std::cell::Cell;

use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::RunOutcome;

use crate::bench::short;
use crate::bench::Bench;
use crate::bench::MS;
use crate::bench::SECOND;

const SLOTS: u32 = 40;

/// A gate that has served 70% of its capacity of 4000 requests/s for two seconds.
fn warm() -> Bench {
    let mut bench = Bench::new(SLOTS);
    bench.load(&[0, 1], 357, &|_| 10 * MS, 2 * SECOND);
    assert!(bench.limit() >= 36, "limit {} after warming up", bench.limit());
    bench
}

/// Runs on a server that has lost three quarters of its slots.
fn crowded(in_flight: usize) -> u64 {
    10 * MS * (in_flight as u64).max(10) / 10
}

/// Failure: a server that has less capacity keeps as many runs and answers all of them slowly.
#[test]
fn the_limit_falls_within_hundreds_of_ms_when_the_server_loses_capacity() {
    let mut bench = warm();
    bench.load(&[0, 1], 250, &crowded, 800 * MS);
    assert!(bench.limit() <= 24, "limit {}", bench.limit());
}

/// Failure: the limit stays low after the server has recovered.
#[test]
fn the_limit_recovers_after_a_long_loss_of_capacity() {
    let mut bench = warm();
    bench.load(&[0, 1], 250, &crowded, 20 * SECOND);
    assert!(bench.limit() <= 24, "limit {}", bench.limit());
    bench.load(&[0, 1], 250, &|_| 10 * MS, 2 * SECOND);
    assert!(bench.limit() >= 36, "limit {}", bench.limit());
}

/// Failure: the latency never returns to the baseline and the limit stays at its floor for ever.
#[test]
fn the_limit_recovers_while_the_server_is_slow_at_any_concurrency() {
    for factor in [2, 4, 10] {
        let mut bench = warm();
        let mut lowest = SLOTS;
        for _ in 0..50 {
            bench.load(&[0, 1], 357, &|_| factor * 10 * MS, 100 * MS);
            lowest = lowest.min(bench.limit());
        }
        assert!(lowest <= SLOTS / 2, "the slow-down by {factor} was not noticed: {lowest}");
        assert!(bench.limit() >= 36, "limit {} at {factor} times the latency", bench.limit());
        bench.load(&[0, 1], 357, &|_| 10 * MS, SECOND);
        assert!(bench.limit() >= 36, "limit {} after it", bench.limit());
    }
}

/// Failure: a few long runs among many short ones are taken for a slow server.
#[test]
fn skewed_run_times_do_not_lower_the_limit() {
    let settings = AdmissionSettings::default();
    let mut bench = Bench::with(SLOTS, settings);
    let runs = Cell::new(0);
    let skewed = |_| {
        runs.set(runs.get() + 1);
        if runs.get() % 20 == 7 {
            105 * MS
        } else {
            5 * MS
        }
    };
    bench.load(&[0, 1], 300, &skewed, 3 * SECOND);
    for _ in 0..50 {
        bench.load(&[0, 1], 300, &skewed, 100 * MS);
        assert!(bench.limit() >= 30, "limit {}", bench.limit());
    }
}

/// Failure: refusals of the server do not lower the limit, or lower it for good.
#[test]
fn the_limit_falls_with_rejections_and_recovers() {
    let mut bench = warm();
    for counter in 0..200 {
        bench.offer(short(1 << 20 | counter, 0, SECOND));
        bench.now_us += MS;
        bench.finish_short(0, RunOutcome::Rejected);
    }
    assert!(bench.limit() <= SLOTS / 2, "limit {}", bench.limit());
    bench.load(&[0, 1], 250, &|_| 10 * MS, 2 * SECOND);
    assert!(bench.limit() >= 36, "limit {}", bench.limit());
}

/// Failure: an idle gate keeps the low limit of its last busy time and no event ever raises it.
#[test]
fn the_limit_recovers_while_the_gate_is_idle() {
    let mut bench = warm();
    bench.load(&[0, 1], 250, &crowded, 5 * SECOND);
    let low = bench.limit();
    assert!(low <= 24, "limit {low}");
    for _ in 0..20 {
        bench.now_us += 500 * MS;
        bench.finish_short(0, RunOutcome::Cancelled);
    }
    assert!(bench.limit() >= 36, "limit {} after ten idle seconds", bench.limit());
}

/// Failure: a server that has stopped answering is given all its slots' worth of new work.
#[test]
fn a_server_that_answers_nothing_lowers_the_limit() {
    let mut bench = warm();
    bench.load(&[0, 1], 250, &|_| 60 * SECOND, SECOND);
    assert!(bench.limit() <= SLOTS / 2, "limit {}", bench.limit());
}
