use std::collections::HashMap;

/// Minimum number of runs of a kind before silence says anything about a request of that kind. If
/// 3% of the runs are several times as long as the others, there are some among so many.
const MIN_RUNS: u32 = 256;

/// Factor on the longest run of a kind that gives its silence limit. It leaves room for runs that
/// are longer than any before.
const SILENCE_FACTOR: f64 = 1.5;

/// Number of runs after which the longest one counts for half, so that a single long run does not
/// hide silence for good. It is not a time, since a kind with few requests would soon have only its
/// usual runs left.
const LONGEST_HALF_LIFE_RUNS: f64 = 1_024.0;

/// Maximum number of kinds of requests that are tracked. When it is reached, a new kind discards all
/// others.
const MAX_KINDS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct KindRuns {
    runs: u32,
    /// Longest time to the first byte, reduced with each later run, in µs.
    longest_us: f64,
}

/// Longest time to the first byte of a response at one gate, by kind of request.
///
/// It tells a backend server that works from one that will never answer: some servers never answer a
/// request that they cannot queue, and hold its slot at the gate until its deadline. Means do not
/// serve for this, since a few requests of a kind may take ten times as long as the others. See
/// `docs/overload.md`.
#[derive(Debug, Default)]
pub(super) struct LongestRuns {
    kinds: HashMap<u32, KindRuns>,
}

impl LongestRuns {
    pub(super) fn record(&mut self, kind: u32, first_byte_us: u64) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let runs = self.kinds.entry(kind).or_default();
        runs.runs = runs.runs.saturating_add(1);
        runs.longest_us *= (-1.0 / LONGEST_HALF_LIFE_RUNS).exp2();
        runs.longest_us = runs.longest_us.max(first_byte_us as f64);
    }

    /// Time without a byte after which a request of a kind is taken for unanswered, in µs; `None`
    /// without enough runs.
    pub(super) fn silence_limit_us(&self, kind: u32) -> Option<u64> {
        let runs = self.kinds.get(&kind).filter(|runs| runs.runs >= MIN_RUNS)?;
        Some((runs.longest_us * SILENCE_FACTOR) as u64)
    }
}

#[cfg(test)]
mod tests;
