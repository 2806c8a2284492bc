//! Tests of the adaptive limit: it decreases when the server is slow and always recovers.

use std::cell::Cell;

use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::RunOutcome;

use crate::harness::short_request;
use crate::harness::GateHarness;
use crate::harness::MS;
use crate::harness::SECOND;

const SLOTS: u32 = 40;

/// Creates a gate that has served 70% of its capacity of 4000 requests/s for two seconds.
fn warmed_up_gate() -> GateHarness {
    let mut harness = GateHarness::new(SLOTS);
    harness.run_load(&[0, 1], 357, &|_| 10 * MS, 2 * SECOND);
    assert!(harness.limit() >= 36, "limit {} after the warm-up", harness.limit());
    harness
}

/// Run time on a server that has lost three quarters of its slots, in µs.
fn run_us_at_reduced_capacity(in_flight: usize) -> u64 {
    10 * MS * (in_flight as u64).max(10) / 10
}

/// Guards against an unchanged number of concurrent runs, all of them slow, on a server that has
/// lost capacity.
#[test]
fn the_limit_falls_within_hundreds_of_ms_when_the_server_loses_capacity() {
    let mut harness = warmed_up_gate();
    harness.run_load(&[0, 1], 250, &run_us_at_reduced_capacity, 800 * MS);
    assert!(harness.limit() <= 24, "limit {}", harness.limit());
}

/// Guards against a limit that stays low after the server has recovered.
#[test]
fn the_limit_recovers_after_a_long_loss_of_capacity() {
    let mut harness = warmed_up_gate();
    harness.run_load(&[0, 1], 250, &run_us_at_reduced_capacity, 20 * SECOND);
    assert!(harness.limit() <= 24, "limit {}", harness.limit());
    harness.run_load(&[0, 1], 250, &|_| 10 * MS, 2 * SECOND);
    assert!(harness.limit() >= 36, "limit {}", harness.limit());
}

/// Guards against a limit that stays at its minimum forever because the latency never returns to
/// the baseline.
#[test]
fn the_limit_recovers_while_the_server_is_slow_at_any_concurrency() {
    for factor in [2, 4, 10] {
        let mut harness = warmed_up_gate();
        let mut lowest = SLOTS;
        for _ in 0..50 {
            harness.run_load(&[0, 1], 357, &|_| factor * 10 * MS, 100 * MS);
            lowest = lowest.min(harness.limit());
        }
        assert!(
            lowest <= SLOTS / 2,
            "no decrease at {factor} times the latency: lowest limit {lowest}"
        );
        assert!(harness.limit() >= 36, "limit {} at {factor} times the latency", harness.limit());
        harness.run_load(&[0, 1], 357, &|_| 10 * MS, SECOND);
        assert!(
            harness.limit() >= 36,
            "limit {} after the recovery of the server",
            harness.limit()
        );
    }
}

/// Guards against a decrease because of a few long runs among many short ones.
#[test]
fn skewed_run_times_do_not_lower_the_limit() {
    let settings = AdmissionSettings::default();
    let mut harness = GateHarness::with_settings(SLOTS, settings);
    let runs = Cell::new(0);
    let skewed_run_us = |_| {
        runs.set(runs.get() + 1);
        if runs.get() % 20 == 7 {
            105 * MS
        } else {
            5 * MS
        }
    };
    harness.run_load(&[0, 1], 300, &skewed_run_us, 3 * SECOND);
    for _ in 0..50 {
        harness.run_load(&[0, 1], 300, &skewed_run_us, 100 * MS);
        assert!(harness.limit() >= 30, "limit {}", harness.limit());
    }
}

/// Guards against rejections by the server that do not lower the limit or lower it permanently.
#[test]
fn the_limit_falls_with_rejections_and_recovers() {
    let mut harness = warmed_up_gate();
    for counter in 0..200 {
        harness.offer(short_request(1 << 20 | counter, 0, SECOND));
        harness.now_us += MS;
        harness.finish_short(0, RunOutcome::Rejected);
    }
    assert!(harness.limit() <= SLOTS / 2, "limit {}", harness.limit());
    harness.run_load(&[0, 1], 250, &|_| 10 * MS, 2 * SECOND);
    assert!(harness.limit() >= 36, "limit {}", harness.limit());
}

/// Guards against an idle gate that keeps the low limit of its last busy period because no event
/// raises it.
#[test]
fn the_limit_recovers_while_the_gate_is_idle() {
    let mut harness = warmed_up_gate();
    harness.run_load(&[0, 1], 250, &run_us_at_reduced_capacity, 5 * SECOND);
    let busy_limit = harness.limit();
    assert!(busy_limit <= 24, "limit {busy_limit}");
    for _ in 0..20 {
        harness.now_us += 500 * MS;
        harness.finish_short(0, RunOutcome::Cancelled);
    }
    assert!(harness.limit() >= 36, "limit {} after ten idle seconds", harness.limit());
}

/// Guards against new requests up to all slots for a server that has stopped responding.
#[test]
fn the_limit_falls_when_the_server_stops_responding() {
    let mut harness = warmed_up_gate();
    harness.run_load(&[0, 1], 250, &|_| 60 * SECOND, SECOND);
    assert!(harness.limit() <= SLOTS / 2, "limit {}", harness.limit());
}
