//! Property tests with fixed seeds, so that every run of the tests gives the same result.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Size parameter of the generator, such as the maximum length of a generated collection.
const GENERATOR_SIZE: usize = 100;

/// Checks a property on `tests` generated inputs. The environment variable `TARRAGON_SEED` replaces
/// the seed, to search for further failures.
///
/// # Panics
/// Panics with the shrunk input if the property fails.
pub fn check_property<P: Testable>(seed: u64, tests: u64, property: P) {
    let seed = std::env::var("TARRAGON_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(seed);
    eprintln!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, seed))
        .tests(tests)
        .quickcheck(property);
}
