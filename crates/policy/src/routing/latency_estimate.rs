use crate::routing::AdaptiveRouterSettings;

/// Largest weight of one answer. A slower one may belong to a long operation, and a faster one of a
/// slow server may be luck.
const MAX_WEIGHT: f64 = 0.5;

/// Latency of a server as a moving average that rises fast and falls slowly.
///
/// It follows the peak-sensitive moving average of Finagle (Twitter, `PeakEwma` load metric):
/// answers are weighted by the time since the one before, so the reaction time does not depend on
/// the request rate. Unlike there, a slower answer does not replace the average at once, because
/// with many answers per time constant the average would follow the slowest of them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyEstimate {
    value_us: f64,
    sampled_us: Option<u64>,
}

impl LatencyEstimate {
    /// Includes the latency of an answer.
    pub fn record(&mut self, latency_us: u64, settings: &AdaptiveRouterSettings, now_us: u64) {
        let latency_us = latency_us as f64;
        if let Some(sampled_us) = self.sampled_us {
            let is_rise = latency_us > self.value_us;
            let constant_us = if is_rise { settings.rise_us } else { settings.fall_us };
            let passed_us = now_us.saturating_sub(sampled_us).max(1);
            let weight = 1.0 - (-(passed_us as f64) / constant_us.max(1) as f64).exp();
            self.value_us += (latency_us - self.value_us) * weight.min(MAX_WEIGHT);
        } else {
            self.value_us = latency_us;
        }
        self.sampled_us = Some(now_us);
    }

    /// The average, in µs, or `None` without an answer so far.
    pub fn value_us(&self) -> Option<f64> {
        self.sampled_us.map(|_| self.value_us)
    }

    /// Time since the last answer, in µs.
    pub fn age_us(&self, now_us: u64) -> u64 {
        self.sampled_us.map_or(u64::MAX, |sampled_us| now_us.saturating_sub(sampled_us))
    }
}
