use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::exchanges::row::Choice;
use crate::exchanges::row::SIDES;
use crate::exchanges::row::TIED_SIDES;
use crate::exchanges::row::VALUE_COUNTS;

/// Number of random rows of which the one with the most new pairs is taken.
const CANDIDATES: usize = 60;

/// Some sides and the value of each.
type Combination = Vec<(usize, usize)>;

/// Sides whose values have to occur in every combination.
fn covered_sides() -> Vec<Vec<usize>> {
    let pairs = (0..SIDES).flat_map(|one| (one + 1..SIDES).map(move |other| vec![one, other]));
    pairs.chain(TIED_SIDES.iter().map(|sides| sides.to_vec())).collect()
}

/// All combinations of values of these sides.
fn combinations(sides: &[usize]) -> Vec<Combination> {
    let mut all: Vec<Combination> = vec![Vec::new()];
    for side in sides {
        let extend = |found: &Combination| {
            let found = found.clone();
            (0..VALUE_COUNTS[*side]).map(move |value| [&found[..], &[(*side, value)]].concat())
        };
        all = all.iter().flat_map(extend).collect();
    }
    all
}

fn combination_of(choice: &Choice, sides: &[usize]) -> Combination {
    sides.iter().map(|side| (*side, choice[*side])).collect()
}

/// Draws rows until every pair of values of two sides and every combination of the tied sides occurs, and
/// at least `count` of them.
pub fn draw_rows(seed: u64, count: usize) -> Vec<Choice> {
    let mut generator = SmallRng::seed_from_u64(seed);
    let covered = covered_sides();
    let mut missing: BTreeSet<Combination> =
        covered.iter().flat_map(|sides| combinations(sides)).collect();
    let mut rows = Vec::new();
    while !missing.is_empty() || rows.len() < count {
        // Each row brings the first combination that is missing.
        let wanted = missing.first().cloned().unwrap_or_default();
        let mut draw = || {
            let mut choice = VALUE_COUNTS.map(|values| generator.random_range(0..values));
            for (side, value) in &wanted {
                choice[*side] = *value;
            }
            choice
        };
        let candidates: Vec<Choice> = (0..CANDIDATES).map(|_| draw()).collect();
        let is_new =
            |choice: &Choice, sides: &Vec<usize>| missing.contains(&combination_of(choice, sides));
        let new_count =
            |choice: &Choice| covered.iter().filter(|sides| is_new(choice, sides)).count();
        let best = candidates.into_iter().max_by_key(new_count).expect("candidates were drawn");
        for sides in &covered {
            missing.remove(&combination_of(&best, sides));
        }
        rows.push(best);
    }
    rows
}
