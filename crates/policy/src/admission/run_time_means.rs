use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

/// Weight of the newest run in a mean run time once there are enough runs.
const RUN_TIME_WEIGHT: f64 = 1.0 / 32.0;

/// Minimum number of runs in a mean that is reported to calling nodes. A few runs say little about
/// a server, since single run times vary.
const MIN_REPORTED_RUNS: u32 = 8;

/// Maximum number of kinds of requests with a mean run time. When it is reached, a new kind
/// discards all means.
const MAX_KINDS: usize = 4_096;

/// Mean run time of a kind of request at one gate, sent to calling nodes with the response to a
/// request of that kind.
///
/// In a large fleet each calling node sends few requests to each server, so it cannot measure how
/// fast a server is; the gate of the server sees all of its runs. See `docs/overload.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeanRunTime {
    /// Identifier of the kind of request.
    pub kind: u32,
    /// Mean run time, in µs.
    pub mean_us: u64,
}

impl fmt::Display for MeanRunTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind, self.mean_us)
    }
}

impl FromStr for MeanRunTime {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, mean_us) = text.split_once(':').ok_or(())?;
        let kind = kind.parse().map_err(|_| ())?;
        let mean_us = mean_us.parse().map_err(|_| ())?;
        Ok(Self { kind, mean_us })
    }
}

#[derive(Debug, Clone, Copy)]
struct KindMean {
    mean_us: f64,
    runs: u32,
}

/// Mean run times at one gate, by kind of request.
#[derive(Debug)]
pub(super) struct RunTimeMeans {
    /// Run time assumed for a kind of request without measurements, in µs.
    default_run_us: u64,
    kinds: HashMap<u32, KindMean>,
    /// Mean run time of all kinds, in µs.
    overall_us: f64,
}

impl RunTimeMeans {
    pub(super) fn new(default_run_us: u64) -> Self {
        Self { default_run_us, kinds: HashMap::new(), overall_us: default_run_us as f64 }
    }

    /// Expected run time of a request of a kind, in µs.
    pub(super) fn expected_us(&self, kind: u32) -> u64 {
        self.kinds.get(&kind).map_or(self.default_run_us, |mean| mean.mean_us as u64)
    }

    /// Mean run time of all kinds, in µs.
    pub(super) fn overall_us(&self) -> u64 {
        self.overall_us as u64
    }

    /// Mean run time to report for a kind, if it has enough runs.
    pub(super) fn reported(&self, kind: u32) -> Option<MeanRunTime> {
        let mean = self.kinds.get(&kind).filter(|mean| mean.runs >= MIN_REPORTED_RUNS)?;
        Some(MeanRunTime { kind, mean_us: mean.mean_us as u64 })
    }

    pub(super) fn record(&mut self, kind: u32, run_us: u64) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        let run_us = run_us as f64;
        let mean = self.kinds.entry(kind).or_insert(KindMean { mean_us: run_us, runs: 0 });
        mean.runs = mean.runs.saturating_add(1);
        // The first runs have equal weights, so that none of them dominates the mean.
        let weight = RUN_TIME_WEIGHT.max(1.0 / f64::from(mean.runs));
        mean.mean_us += (run_us - mean.mean_us) * weight;
        self.overall_us += (run_us - self.overall_us) * RUN_TIME_WEIGHT;
    }
}
