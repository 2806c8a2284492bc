use super::KindLimitSettings;
use super::KindLimits;

const MS: u64 = 1_000;
const RUN_US: u64 = 200 * MS;
const CHAIN_KIND: u32 = 1;
const OTHER_KIND: u32 = 2;

/// Requests of one batch.
struct Batch {
    /// Number of requests that are to run.
    demand: u32,
    /// Number of runs, evenly spread, with a refused call.
    refused: u32,
}

/// Runs `count` consecutive batches of a kind. A batch has as many runs as the limit allows, up to
/// its demand. Returns the numbers of runs of the batches.
fn run_batches(
    limits: &mut KindLimits,
    kind: u32,
    Batch { demand, refused }: Batch,
    from_us: u64,
    count: u64,
) -> Vec<u32> {
    let batch = |number: u64| {
        let mut started = 0;
        while started < demand && limits.may_start(kind) {
            limits.record_start(kind);
            started += 1;
        }
        let start_us = from_us + number * RUN_US;
        for run in 0..started {
            let now_us = start_us + u64::from(run) * RUN_US / u64::from(started);
            let refused_runs = refused.min(started);
            let is_refused = run * refused_runs / started != (run + 1) * refused_runs / started;
            limits.record_end(kind, is_refused, RUN_US, now_us);
        }
        started
    };
    (1..=count).map(batch).collect()
}

/// Guards against a limit on a kind although none of its calls was refused.
#[test]
fn kinds_whose_calls_are_not_refused_are_not_limited() {
    let mut limits = KindLimits::new(KindLimitSettings::default());
    assert!(run_batches(&mut limits, CHAIN_KIND, Batch { demand: 50, refused: 0 }, 0, 100)
        .iter()
        .all(|started| *started == 50));
    assert_eq!(limits.limit(CHAIN_KIND), None);
}

/// Guards against a limit on a kind with few refused calls.
#[test]
fn a_share_of_refused_calls_below_the_bound_limits_nothing() {
    let mut limits = KindLimits::new(KindLimitSettings::default());
    run_batches(&mut limits, CHAIN_KIND, Batch { demand: 50, refused: 2 }, 0, 100);
    assert_eq!(limits.limit(CHAIN_KIND), None);
}

/// Guards against a kind that is stopped forever since all its calls are refused, and against an
/// effect on other kinds.
#[test]
fn a_kind_with_only_refused_calls_keeps_one_run_and_other_kinds_are_not_limited() {
    let mut limits = KindLimits::new(KindLimitSettings::default());
    let started = run_batches(&mut limits, CHAIN_KIND, Batch { demand: 50, refused: 50 }, 0, 40);
    assert_eq!(started.last(), Some(&1), "{started:?}");
    assert!(run_batches(&mut limits, OTHER_KIND, Batch { demand: 50, refused: 0 }, 0, 40)
        .iter()
        .all(|started| *started == 50));
}

/// Guards against a limit that remains long after the calls of the kind are served again.
#[test]
fn a_limit_is_removed_once_calls_are_served_again() {
    let mut limits = KindLimits::new(KindLimitSettings::default());
    run_batches(&mut limits, CHAIN_KIND, Batch { demand: 50, refused: 50 }, 0, 5);
    let limit = limits.limit(CHAIN_KIND).expect("a kind with refused calls has a limit");
    assert!(limit < 10, "limit {limit}");
    run_batches(&mut limits, CHAIN_KIND, Batch { demand: 50, refused: 0 }, 5 * RUN_US, 40);
    assert_eq!(limits.limit(CHAIN_KIND), None);
}
