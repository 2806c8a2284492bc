//! Calls of a backend server whose node stops, with random run times and moments.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tarragon_policy::stop::CallDurations;
use tarragon_policy::stop::CallEnd;
use tarragon_testkit::check_property;

const MS: u64 = 1_000;

/// Time between the start of a stop and the end of the process, in µs.
const GRACE_US: u64 = 6_000 * MS;

/// Last part of the grace time, in which no calls are taken, in µs.
const LAST_CALLS_US: u64 = 500 * MS;

/// Interval between two calls, in µs.
const INTERVAL_US: u64 = 20 * MS;

/// Number of calls before the stop.
const CALLS_BEFORE_STOP: u64 = 300;

/// Moment at which the stop begins, in µs.
const STOP_US: u64 = CALLS_BEFORE_STOP * INTERVAL_US;

#[derive(Debug, Default)]
struct Counts {
    taken: u32,
    cut: u32,
    refused: u32,
    /// Refused calls that would have ended in half of the time that was left.
    refused_short: u32,
}

/// Plays calls of four kinds, which take 0.1 s to 3 s at most. From `slow_us` on they take three times as
/// long. One of the kinds is called during the stop for the first time.
fn play(seed: u64, slow_us: Option<u64>) -> Counts {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let longest_us = [100, 300, 1_000, 3_000].map(|ms| ms * MS);
    let mut durations = CallDurations::default();
    let mut running = Vec::new();
    let mut counts = Counts::default();
    let mut now_us = 0;
    while now_us < STOP_US + GRACE_US - LAST_CALLS_US {
        now_us += INTERVAL_US;
        running.retain(|(ticket, end, end_us)| {
            if *end_us <= now_us {
                durations.end(*ticket, *end, *end_us);
            }
            *end_us > now_us
        });
        let is_stopping = now_us >= STOP_US;
        let kind = rng.random_range(0..if is_stopping { 4 } else { 3 });
        let factor = if slow_us.is_some_and(|slow_us| now_us >= slow_us) { 3 } else { 1 };
        let longest_us = longest_us[kind as usize] * factor;
        let run_us = rng.random_range(longest_us / 5..longest_us);
        let end_us = STOP_US + GRACE_US - LAST_CALLS_US;
        let deadline_us = now_us + rng.random_range(500 * MS..10_000 * MS);
        if is_stopping && !durations.ends_by(end_us, kind, deadline_us, now_us) {
            counts.refused += 1;
            counts.refused_short +=
                u32::from(kind < 3 && longest_us * 2 <= end_us - now_us && slow_us.is_none());
            continue;
        }
        let ticket = durations.start(kind, now_us);
        let is_complete = now_us + run_us <= deadline_us;
        let end = if is_complete { CallEnd::Complete } else { CallEnd::Incomplete };
        running.push((ticket, end, (now_us + run_us).min(deadline_us)));
        if is_stopping {
            counts.taken += 1;
            let is_cut = now_us + run_us > STOP_US + GRACE_US && deadline_us > STOP_US + GRACE_US;
            counts.cut += u32::from(is_cut);
        }
    }
    counts
}

/// Guards against calls that are cut at the end of a stop, and against refusing those that are known
/// to be short.
#[test]
fn no_call_is_taken_that_outlasts_the_process_and_short_calls_are() {
    fn property(seed: u64) -> Result<(), String> {
        let counts = play(seed, None);
        let is_good = counts.cut == 0 && counts.refused_short == 0 && counts.taken > 100;
        is_good.then_some(()).ok_or(format!("{counts:?}"))
    }
    check_property(121, 300, property as fn(u64) -> Result<(), String>);
}

/// Longest run before the server became slow, in µs.
const USUAL_LONGEST_US: u64 = 1_000 * MS;

/// Guards against calls that are cut since the server has become slow, at any moment before or during
/// the stop. That a run takes longer than usual shows only when the usual time has passed, so the
/// moment comes at least that long before the last calls for which twice the usual time is left.
#[test]
fn no_call_is_cut_after_a_server_became_slow() {
    fn property(seed: u64) -> Result<(), String> {
        let earliest_before_end_us = LAST_CALLS_US + 4 * USUAL_LONGEST_US;
        let before_end_us = seed % 6_000 * MS + earliest_before_end_us;
        let counts = play(seed, Some(STOP_US + GRACE_US - before_end_us));
        (counts.cut == 0).then_some(()).ok_or(format!("{counts:?}"))
    }
    check_property(122, 300, property as fn(u64) -> Result<(), String>);
}
