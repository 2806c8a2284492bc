//! Requests that crash their servers, in a simulated fleet of the size of the users' largest service.

mod fleet;

use fleet::Play;

/// Sendings of a crashing request that the users allow after all nodes know of it.
const MAX_LATE_SENDINGS: usize = 3;

/// One in this number of requests that crash nothing may be refused, as the users allow for requests
/// that are denied.
const HARMLESS_PER_REFUSAL: usize = 500;

/// Seeds of a run in CI. The code before the records were told evenly fails with them.
const SEEDS: [u64; 2] = [3, 4];

/// The service `ripewatch` of the users' grown mesh, with a few crashing requests.
const CALM: Play = Play {
    nodes: 90,
    servers: 29,
    requests_per_s: 1_000.0,
    run_ms: 110,
    crashing: 3,
    crashing_interval_ms: 300,
    random_crashes_per_s: 0.0,
    length_ms: 20_000,
};

fn check(play: Play) {
    for seed in SEEDS {
        let outcome = fleet::run(play, seed);
        assert!(outcome.most_late_sendings <= MAX_LATE_SENDINGS, "seed {seed}: {outcome:?}");
        let max_refused = outcome.harmless / HARMLESS_PER_REFUSAL;
        assert!(outcome.refused_harmless <= max_refused, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_few_crashing_requests_reach_few_servers() {
    check(CALM);
}

/// Guards against crashes that another request is blamed for, and against records that are not told.
#[test]
fn crashing_requests_at_full_servers_that_fail_reach_few_servers() {
    check(Play {
        crashing: 20,
        crashing_interval_ms: 500,
        run_ms: 1_500,
        random_crashes_per_s: 0.1,
        ..CALM
    });
}
