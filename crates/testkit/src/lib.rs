//! Property tests with fixed seeds, so that every run of the tests gives the same verdict.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Size of generated values.
const GENERATED_SIZE: usize = 100;

/// Checks a property on `tests` generated inputs. `TARRAGON_SEED` in the environment replaces the
/// seed, to search for further failures.
///
/// # Panics
/// Panics with the shrunk input if the property fails.
pub fn check_property<P: Testable>(seed: u64, tests: u64, property: P) {
    let seed = std::env::var("TARRAGON_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(seed);
    eprintln!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATED_SIZE, seed))
        .tests(tests)
        .quickcheck(property);
}
