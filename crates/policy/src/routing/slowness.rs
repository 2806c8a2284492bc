use std::collections::HashMap;

use crate::admission::MeanRunTime;
use crate::routing::LoadRouterSettings;

/// Weight of the newest latency in the slowness of a server.
const NEWEST_LATENCY_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of the newest value in the mean of a kind of request over all servers of a service.
const NEWEST_KIND_WEIGHT: f64 = 1.0 / 16.0;

/// Minimum ratio of one value to the mean of its kind; smaller ones are clipped, so that a single
/// value cannot dominate the average.
const MIN_RATIO: f64 = 0.2;

/// Maximum ratio of one value to the mean of its kind; larger ones are clipped.
const MAX_RATIO: f64 = 5.0;

/// Maximum number of kinds of requests with a mean. When it is reached, a new kind discards all
/// means.
const MAX_KINDS: usize = 1_024;

/// Maximum number of kinds of requests whose reported run times are kept for one server. The kind
/// whose report is the oldest is discarded when another one is added.
const MAX_REPORTED_KINDS: usize = 64;

/// Means over all servers of a service, by kind of request.
#[derive(Debug, Default)]
pub(super) struct KindMeans {
    means_us: HashMap<u32, f64>,
}

impl KindMeans {
    /// Computes the ratio of a time to the mean of its kind of request, then adds the time to that
    /// mean.
    pub(super) fn ratio(&mut self, kind: u32, time_us: u64) -> f64 {
        if self.means_us.len() >= MAX_KINDS && !self.means_us.contains_key(&kind) {
            self.means_us.clear();
        }
        let time_us = time_us.max(1) as f64;
        let mean_us = self.means_us.entry(kind).or_insert(time_us);
        let ratio = (time_us / *mean_us).clamp(MIN_RATIO, MAX_RATIO);
        *mean_us += (time_us - *mean_us) * NEWEST_KIND_WEIGHT;
        ratio
    }
}

/// How much slower a server is than the mean of its service, for the same kinds of requests.
///
/// For kinds of requests whose mean run time the gate of the server has reported, it is the ratio of
/// that time to the mean over the servers of the service. It differs between kinds: a request that
/// mostly waits for its own calls takes equally long on any server. For other kinds it is the ratio
/// of the latencies that this node measured. Every ratio decays to 1 while nothing new is known.
#[derive(Debug, Default)]
pub(super) struct Slowness {
    measured: DecayingRatio,
    /// Latest reports by kind of request, in the order of their arrival.
    reports: Vec<RunTimeReport>,
}

#[derive(Debug, Clone, Copy)]
struct RunTimeReport {
    run_time: MeanRunTime,
    received_us: u64,
}

impl Slowness {
    /// Latest reported mean run time of a kind, in µs.
    pub(super) fn reported_us(&self, kind: u32) -> Option<u64> {
        self.report(kind).map(|report| report.run_time.mean_us)
    }

    /// Slowness for requests of a kind, whose reported run times have this mean over the servers of
    /// the service.
    pub(super) fn at(
        &self,
        kind: u32,
        service_mean_us: f64,
        settings: &LoadRouterSettings,
        now_us: u64,
    ) -> f64 {
        let Some(report) = self.report(kind) else {
            return self.measured.at(settings.slowness_time_constant_ms, now_us);
        };
        let ratio = report.run_time.mean_us as f64 / service_mean_us.max(1.0);
        let ratio = DecayingRatio {
            ratio: ratio.clamp(MIN_RATIO, MAX_RATIO),
            updated_us: report.received_us,
        };
        ratio.at(settings.reported_slowness_time_constant_ms, now_us)
    }

    /// Records the ratio of the latency of one answer to the mean of its kind.
    pub(super) fn record_latency(
        &mut self,
        ratio: f64,
        settings: &LoadRouterSettings,
        now_us: u64,
    ) {
        let time_constant_ms = settings.slowness_time_constant_ms;
        self.measured.record(ratio, NEWEST_LATENCY_WEIGHT, time_constant_ms, now_us);
    }

    pub(super) fn record_report(&mut self, run_time: &MeanRunTime, now_us: u64) {
        self.reports.retain(|report| report.run_time.kind != run_time.kind);
        if self.reports.len() >= MAX_REPORTED_KINDS {
            self.reports.remove(0);
        }
        self.reports.push(RunTimeReport { run_time: *run_time, received_us: now_us });
    }

    fn report(&self, kind: u32) -> Option<&RunTimeReport> {
        self.reports.iter().find(|report| report.run_time.kind == kind)
    }
}

/// Moving average of a ratio that decays to 1.
#[derive(Debug, Clone, Copy)]
struct DecayingRatio {
    ratio: f64,
    updated_us: u64,
}

impl Default for DecayingRatio {
    fn default() -> Self {
        Self { ratio: 1.0, updated_us: 0 }
    }
}

impl DecayingRatio {
    fn at(&self, time_constant_ms: u64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        let remaining = (-age_us / (time_constant_ms * 1_000).max(1) as f64).exp();
        1.0 + (self.ratio - 1.0) * remaining
    }

    fn record(&mut self, ratio: f64, weight: f64, time_constant_ms: u64, now_us: u64) {
        let decayed = self.at(time_constant_ms, now_us);
        self.ratio = decayed + (ratio - decayed) * weight;
        self.updated_us = now_us;
    }
}
