use crate::admission::WorkClass;

/// Number of buckets per class, by the binary logarithm of the expected run time.
const BUCKET_COUNT: usize = 32;

/// Weight of a new sample in the mean run time. The mean follows a change within about 16 runs.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Number of first samples of the uncongested latency that have equal weights. It makes the error
/// of their mean small compared with the latency tolerance of the limit.
const EQUAL_WEIGHT_SAMPLES: u32 = 1024;

/// Number of first samples that count even if the server seems congested. The very first runs to
/// end are the shortest ones, compared with which all later runs seem slow.
const UNCONDITIONAL_SAMPLES: u32 = 128;

/// Maximum weight of an uncongested latency after it has been scaled, in samples.
const MAX_SCALED_SAMPLES: u32 = 32;

/// Maximum weight of a later sample in the uncongested latency, so that the variation of single run
/// times does not change the limit.
const MAX_BASELINE_WEIGHT: f64 = 1.0 / 256.0;

/// Time constant of the uncongested latency after its first samples, in µs. With a shorter one the
/// baseline would rise to the latency of tolerated congestion within seconds, and the limit with
/// it.
const BASELINE_TIME_CONSTANT_US: f64 = 30_000_000.0;

/// Half-life of an estimate without new samples, in µs. Without this decay, an estimate longer than
/// every deadline would refuse all requests and therefore never be corrected.
const ESTIMATE_HALF_LIFE_US: u64 = 500_000;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    samples: u32,
    baseline_samples: u32,
    mean_us: f64,
    /// Mean of the square root of the uncongested latency in µs. The square root limits the
    /// influence of the few very long runs of a skewed distribution.
    baseline_root: f64,
    baseline_run_us: f64,
    updated_us: u64,
}

/// Measured run times and uncongested latencies by class and expected run time.
///
/// Expected run times are declared by operators and may be wrong. They only serve to distinguish
/// operations.
#[derive(Debug, Clone)]
pub(super) struct RunTimes {
    buckets: [[Bucket; BUCKET_COUNT]; 2],
}

impl RunTimes {
    pub(super) fn new() -> Self {
        Self { buckets: [[Bucket::default(); BUCKET_COUNT]; 2] }
    }

    fn bucket(&self, class: WorkClass, expected_us: u64) -> &Bucket {
        let index = (expected_us.max(1).ilog2() as usize).min(BUCKET_COUNT - 1);
        &self.buckets[class as usize][index]
    }

    fn bucket_mut(&mut self, class: WorkClass, expected_us: u64) -> &mut Bucket {
        let index = (expected_us.max(1).ilog2() as usize).min(BUCKET_COUNT - 1);
        &mut self.buckets[class as usize][index]
    }

    /// Records a complete response. The uncongested latency is updated only while `is_uncongested`,
    /// and by the first samples.
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
            let elapsed_us = now_us.saturating_sub(bucket.updated_us) as f64;
            let weight = if bucket.baseline_samples <= EQUAL_WEIGHT_SAMPLES {
                1.0 / f64::from(bucket.baseline_samples)
            } else {
                (elapsed_us / BASELINE_TIME_CONSTANT_US).min(MAX_BASELINE_WEIGHT)
            };
            let root = (first_byte_us.max(1) as f64).sqrt();
            bucket.baseline_root += (root - bucket.baseline_root) * weight;
            bucket.baseline_run_us += (run_us as f64 - bucket.baseline_run_us) * weight;
        }
        bucket.updated_us = now_us;
    }

    /// Raises the mean run time if an incomplete run took longer than it.
    pub(super) fn record_incomplete(
        &mut self,
        class: WorkClass,
        expected_us: u64,
        run_us: u64,
        now_us: u64,
    ) {
        let bucket = self.bucket_mut(class, expected_us);
        if bucket.samples > 0 && run_us as f64 > bucket.mean_us {
            bucket.mean_us += (run_us as f64 - bucket.mean_us) * MEAN_WEIGHT;
            bucket.updated_us = now_us;
        }
    }

    /// Uncongested latency in µs (the square of the mean square root), if there are measurements.
    pub(super) fn baseline_us(&self, class: WorkClass, expected_us: u64) -> Option<f64> {
        let baseline_root = self.bucket(class, expected_us).baseline_root;
        (baseline_root > 0.0).then_some(baseline_root * baseline_root)
    }

    /// Multiplies every uncongested latency.
    pub(super) fn scale_baselines(&mut self, factor: f64) {
        for bucket in self.buckets.iter_mut().flatten() {
            bucket.baseline_root *= factor.sqrt();
            bucket.baseline_run_us *= factor;
            bucket.baseline_samples = bucket.baseline_samples.min(MAX_SCALED_SAMPLES);
        }
    }

    /// Measured run time, in µs; 0 without measurements, so that no request is refused without one.
    pub(super) fn estimate_us(&self, class: WorkClass, expected_us: u64, now_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let halvings = (now_us.saturating_sub(bucket.updated_us) / ESTIMATE_HALF_LIFE_US).min(63);
        (bucket.mean_us as u64) >> halvings
    }

    /// Slot time that a run currently uses, estimated in µs.
    pub(super) fn work_us(&self, class: WorkClass, expected_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let work_us = if bucket.samples > 0 { bucket.mean_us as u64 } else { expected_us };
        work_us.max(1)
    }

    /// Slot time that a run uses without congestion, in µs. It does not depend on concurrency, so
    /// demand and capacity are compared in this unit.
    pub(super) fn baseline_work_us(&self, class: WorkClass, expected_us: u64) -> u64 {
        let bucket = self.bucket(class, expected_us);
        let is_measured = bucket.samples > 0;
        let work_us = if is_measured { bucket.baseline_run_us as u64 } else { expected_us };
        work_us.max(1)
    }
}
