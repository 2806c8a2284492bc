use crate::admission::WorkClass;

/// Buckets by the binary logarithm of the expected run time, for each class.
const BUCKETS: usize = 32;

/// Weight of a new sample in the mean run time; about 16 runs show a change.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// First samples of the uncongested latency, which are averaged evenly. Their number makes the
/// error of the average small against the tolerance of the limit.
const FIRST_SAMPLES: u32 = 1024;

/// First samples that count even if the latency seems raised. The very first runs to end are short
/// ones, against which all later ones seem slow.
const UNCONDITIONAL_SAMPLES: u32 = 128;

/// Weight, in samples, that remains of an uncongested latency after it was multiplied.
const SCALED_SAMPLES: u32 = 32;

/// Largest weight of a later sample in the uncongested latency, so that the spread of single run
/// times does not move the limit.
const BASELINE_WEIGHT: f64 = 1.0 / 256.0;

/// Time constant of the uncongested latency after its first samples, in µs. A faster one would
/// take the latency of tolerated congestion for the uncongested one within seconds, and the limit
/// would creep up.
const BASELINE_US: f64 = 30_000_000.0;

/// Time without samples after which an estimate halves, in µs. Without this decay, an estimate
/// over every deadline would refuse all work and so never be corrected.
const STALE_US: u64 = 500_000;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    samples: u32,
    baseline_samples: u32,
    mean_us: f64,
    /// Mean square root of the uncongested latency in µs. The root keeps the few very long runs of
    /// a skewed distribution from hiding what happens to all others.
    baseline_root: f64,
    baseline_run_us: f64,
    last_us: u64,
}

/// Measured run times and uncongested latencies by class and expected run time.
///
/// Expected run times are declared by operators and may be wrong; they only tell operations apart.
#[derive(Debug, Clone)]
pub(super) struct RunTimes {
    buckets: [[Bucket; BUCKETS]; 2],
}

impl RunTimes {
    pub(super) fn new() -> Self {
        Self { buckets: [[Bucket::default(); BUCKETS]; 2] }
    }

    fn bucket(&self, class: WorkClass, expected_us: u64) -> &Bucket {
        let index = (expected_us.max(1).ilog2() as usize).min(BUCKETS - 1);
        &self.buckets[class as usize][index]
    }

    fn bucket_mut(&mut self, class: WorkClass, expected_us: u64) -> &mut Bucket {
        let index = (expected_us.max(1).ilog2() as usize).min(BUCKETS - 1);
        &mut self.buckets[class as usize][index]
    }

    /// Records a whole answer. The uncongested latency follows only while `is_uncongested`.
    pub(super) fn record(
        &mut self,
        class: WorkClass,
        expected_us: u64,
        run_us: u64,
        first_byte_us: u64,
        is_uncongested: bool,
        now_us: u64,
    ) {
        let bucket = self.bucket_mut(class, expected_us);
        bucket.samples = bucket.samples.saturating_add(1);
        let mean_weight = MEAN_WEIGHT.max(1.0 / f64::from(bucket.samples));
        bucket.mean_us += (run_us as f64 - bucket.mean_us) * mean_weight;
        if is_uncongested || bucket.samples <= UNCONDITIONAL_SAMPLES {
            bucket.baseline_samples = bucket.baseline_samples.saturating_add(1);
            let passed_us = now_us.saturating_sub(bucket.last_us) as f64;
            let weight = if bucket.baseline_samples <= FIRST_SAMPLES {
                1.0 / f64::from(bucket.baseline_samples)
            } else {
                (passed_us / BASELINE_US).min(BASELINE_WEIGHT)
            };
            let root = (first_byte_us.max(1) as f64).sqrt();
            bucket.baseline_root += (root - bucket.baseline_root) * weight;
            bucket.baseline_run_us += (run_us as f64 - bucket.baseline_run_us) * weight;
        }
        bucket.last_us = now_us;
    }

    /// Raises the mean run time by a run that was cut off after `run_us`.
    pub(super) fn record_cut(&mut self, class: WorkClass, expected_us: u64, run_us: u64, now: u64) {
        let bucket = self.bucket_mut(class, expected_us);
        if bucket.samples > 0 && run_us as f64 > bucket.mean_us {
            bucket.mean_us += (run_us as f64 - bucket.mean_us) * MEAN_WEIGHT;
            bucket.last_us = now;
        }
    }

    /// Square of the mean root of the uncongested latency, in µs, if anything was measured.
    pub(super) fn baseline_us(&self, class: WorkClass, expected_us: u64) -> Option<f64> {
        let baseline_root = self.bucket(class, expected_us).baseline_root;
        (baseline_root > 0.0).then_some(baseline_root * baseline_root)
    }

    /// Multiplies every uncongested latency.
    pub(super) fn scale_baselines(&mut self, factor: f64) {
        for bucket in self.buckets.iter_mut().flatten() {
            bucket.baseline_root *= factor.sqrt();
            bucket.baseline_run_us *= factor;
            bucket.baseline_samples = bucket.baseline_samples.min(SCALED_SAMPLES);
        }
    }

    /// Measured run time, in µs. 0 without a measurement: nothing is refused on a guess.
    pub(super) fn estimate_us(&self, class: WorkClass, expected_us: u64, now_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let halvings = (now_us.saturating_sub(bucket.last_us) / STALE_US).min(63);
        (bucket.mean_us as u64) >> halvings
    }

    /// Slot time that a run is expected to use at present, in µs.
    pub(super) fn work_us(&self, class: WorkClass, expected_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let work_us = if bucket.samples > 0 { bucket.mean_us as u64 } else { expected_us };
        work_us.max(1)
    }

    /// Slot time that a run uses without congestion, in µs. It does not change with concurrency,
    /// so demand and capacity are compared in it.
    pub(super) fn baseline_work_us(&self, class: WorkClass, expected_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let is_measured = bucket.samples > 0;
        let work_us = if is_measured { bucket.baseline_run_us as u64 } else { expected_us };
        work_us.max(1)
    }
}
