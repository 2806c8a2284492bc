use crate::routing::AdaptiveRouterSettings;

/// Largest weight of one answer in the average. A single slow answer may come from a long
/// operation, and a single fast answer of a slow server may be chance.
const MAX_SAMPLE_WEIGHT: f64 = 0.5;

/// Moving average of the latency of a server that rises fast and falls slowly.
///
/// Follows the peak-sensitive moving average of Finagle (Twitter, `PeakEwma` load metric): the
/// weight of an answer grows with the time since the previous answer, so the reaction time does not
/// depend on the request rate. Unlike in Finagle, a slower answer does not replace the average at
/// once, because with many answers per time constant the average would follow the slowest answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    value_us: f64,
    last_sample_us: Option<u64>,
}

impl LatencyEstimate {
    /// Adds the latency of an answer to the average.
    pub fn record(&mut self, latency_us: u64, settings: &AdaptiveRouterSettings, now_us: u64) {
        let latency_us = latency_us as f64;
        if let Some(last_sample_us) = self.last_sample_us {
            let is_rise = latency_us > self.value_us;
            let time_constant_us = if is_rise { settings.rise_us } else { settings.fall_us };
            let elapsed_us = now_us.saturating_sub(last_sample_us).max(1);
            let weight = 1.0 - (-(elapsed_us as f64) / time_constant_us.max(1) as f64).exp();
            self.value_us += (latency_us - self.value_us) * weight.min(MAX_SAMPLE_WEIGHT);
        } else {
            self.value_us = latency_us;
        }
        self.last_sample_us = Some(now_us);
    }

    /// Average latency, in µs, or `None` before the first answer.
    pub fn value_us(&self) -> Option<f64> {
        self.last_sample_us.map(|_| self.value_us)
    }

    /// Time since the last answer, in µs; `u64::MAX` before the first answer.
    pub fn age_us(&self, now_us: u64) -> u64 {
        self.last_sample_us.map_or(u64::MAX, |last_sample_us| now_us.saturating_sub(last_sample_us))
    }
}
