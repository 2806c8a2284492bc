use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::LongestRuns;

const KIND: u32 = 1;
const MEAN_US: f64 = 60_000.0;
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

fn run_us(rng: &mut Pcg32) -> u64 {
    let tail = if rng.random_bool(TAIL_SHARE) { TAIL_FACTOR } else { 1.0 };
    (MEAN_US * tail * rng.random_range(0.4..1.6)) as u64
}

/// Guards against giving up requests that are merely long: of a kind in which one request in 33
/// lasts seven times the mean, at most one in a thousand may exceed the limit, however few there are.
#[test]
fn long_runs_are_not_taken_for_silence() {
    for seed in 0..20 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut runs = LongestRuns::default();
        let mut given_up = 0;
        for _ in 0..5_000 {
            let run_us = run_us(&mut rng);
            given_up += u32::from(runs.silence_limit_us(KIND).is_some_and(|limit| run_us > limit));
            runs.record(KIND, run_us);
        }
        assert!(given_up <= 5, "seed {seed}: {given_up} of 5000 requests were given up");
    }
}

/// Guards against a limit that never comes, and against one that stays long after a server was slow.
#[test]
fn the_limit_follows_the_run_times() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut runs = LongestRuns::default();
    for _ in 0..255 {
        runs.record(KIND, run_us(&mut rng));
    }
    assert_eq!(runs.silence_limit_us(KIND), None, "too few runs");
    runs.record(KIND, (MEAN_US * 100.0) as u64);
    for _ in 0..8_000 {
        runs.record(KIND, run_us(&mut rng));
    }
    let limit_us = runs.silence_limit_us(KIND).expect("there are enough runs");
    assert!(limit_us < (MEAN_US * 20.0) as u64, "{limit_us} us after 8000 usual runs");
}
