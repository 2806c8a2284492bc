use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;

use crate::admission::AdmissionAdvice;
use crate::routing::decaying_advice::DecayingAdvice;
use crate::routing::latency_estimate::LatencyEstimate;
use crate::routing::AdaptiveRouterSettings;
use crate::routing::CallOutcome;
use crate::routing::CallResult;
use crate::routing::Candidate;
use crate::routing::Distance;

/// Number of consecutive fast answers after which a slow server has recovered. One or two may be
/// chance.
const RECOVERY_ANSWER_COUNT: u32 = 3;

/// Linear growth of the share of random selections that include a new or recovered server.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    start_us: u64,
    duration_us: u64,
}

/// State of one backend server of a service as measured by the calls of this node.
#[derive(Debug)]
pub(super) struct MeasuredServer {
    pub instance: InstanceId,
    pub distance: Distance,
    pub state: BackendState,
    /// False after its removal from the candidates, while calls are in flight.
    pub is_candidate: bool,
    pub in_flight: u32,
    latency: LatencyEstimate,
    /// Time of the last answer, or of the first call after a time without calls in flight.
    unanswered_since_us: u64,
    is_slow: bool,
    /// Consecutive answers faster than `recovery_threshold_us` while the server is slow.
    consecutive_fast_answers: u32,
    /// Latency below which an answer of a slow server counts as fast, in µs.
    recovery_threshold_us: f64,
    /// Number of the request to the pool from which the next probe is allowed.
    next_probe_request: u64,
    consecutive_failures: u32,
    failing_until_us: u64,
    ramp: Option<Ramp>,
    advice: Option<DecayingAdvice>,
}

impl MeasuredServer {
    /// Creates the state of a server without calls.
    pub fn new(candidate: &Candidate) -> Self {
        Self {
            instance: candidate.instance,
            distance: candidate.distance,
            state: candidate.state,
            is_candidate: true,
            in_flight: 0,
            latency: LatencyEstimate::default(),
            unanswered_since_us: 0,
            is_slow: false,
            consecutive_fast_answers: 0,
            recovery_threshold_us: 0.0,
            next_probe_request: 0,
            consecutive_failures: 0,
            failing_until_us: 0,
            ramp: None,
            advice: None,
        }
    }

    /// Applies the state that the server's node reported. The measurements of a server that becomes
    /// ready are discarded, and it ramps up.
    pub fn update(
        &mut self,
        candidate: &Candidate,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) {
        let was_ready = self.is_candidate && self.state == BackendState::Ready;
        self.is_candidate = true;
        self.distance = candidate.distance;
        self.state = candidate.state;
        if self.state == BackendState::Ready && !was_ready {
            self.latency = LatencyEstimate::default();
            self.is_slow = false;
            self.consecutive_failures = 0;
            self.failing_until_us = 0;
            self.advice = None;
            self.start_ramp(settings.ramp_ms, now_us);
        }
    }

    /// Starts a ramp, unless a ramp that ends later is in progress.
    pub fn start_ramp(&mut self, duration_ms: u64, now_us: u64) {
        let duration_us = duration_ms * 1_000;
        let current_end_us = self.ramp.map_or(0, |ramp| ramp.start_us + ramp.duration_us);
        if now_us + duration_us > current_end_us {
            self.ramp = Some(Ramp { start_us: now_us, duration_us });
        }
    }

    /// Share of random selections that include the server, 0 to 1. During a cold start it stays at
    /// the start of the ramp.
    pub fn selection_share(&mut self, settings: &AdaptiveRouterSettings, now_us: u64) -> f64 {
        let start = f64::from(settings.ramp_start_percent) / 100.0;
        if self.state == BackendState::Starting {
            return start;
        }
        let Some(ramp) = self.ramp else { return 1.0 };
        let elapsed_us = now_us.saturating_sub(ramp.start_us);
        if elapsed_us >= ramp.duration_us {
            self.ramp = None;
            return 1.0;
        }
        start + (1.0 - start) * elapsed_us as f64 / ramp.duration_us as f64
    }

    /// Records that a call was sent.
    pub fn record_call_start(&mut self, now_us: u64) {
        if self.in_flight == 0 {
            self.unanswered_since_us = now_us;
        }
        self.in_flight += 1;
    }

    /// Records the end of a call.
    pub fn record_call_end(
        &mut self,
        result: &CallResult,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_longer = self.latency.value_us().is_some_and(|us| result.latency_us as f64 > us);
        match result.outcome {
            CallOutcome::Answered | CallOutcome::Errored => {
                self.unanswered_since_us = now_us;
                self.record_answer(result.latency_us, settings, now_us);
                self.consecutive_failures = 0;
                if self.failing_until_us > now_us {
                    self.failing_until_us = 0;
                    self.ramp = None;
                    self.start_ramp(settings.recovery_ramp_ms, now_us);
                }
            }
            CallOutcome::NotRun | CallOutcome::Rejected => {
                // The latency of a refusal does not reflect that of executed requests. A gate that
                // sheds reports it in its advice; any other refusal recurs until membership is up
                // to date.
                self.unanswered_since_us = now_us;
                let decay_us = settings.advice_decay_ms * 1_000;
                if !self.advice.is_some_and(|advice| advice.is_shedding(decay_us, now_us)) {
                    self.record_failure(settings, now_us);
                }
            }
            CallOutcome::Failed => {
                if is_longer {
                    self.latency.record(result.latency_us, settings, now_us);
                }
                self.record_failure(settings, now_us);
            }
            // The time until the caller cancelled is a lower bound of the latency.
            CallOutcome::Cancelled if is_longer => {
                self.latency.record(result.latency_us, settings, now_us);
            }
            CallOutcome::Cancelled => {}
        }
    }

    fn record_answer(&mut self, latency_us: u64, settings: &AdaptiveRouterSettings, now_us: u64) {
        let is_fast = (latency_us as f64) < self.recovery_threshold_us;
        self.consecutive_fast_answers =
            if self.is_slow && is_fast { self.consecutive_fast_answers + 1 } else { 0 };
        if self.consecutive_fast_answers >= RECOVERY_ANSWER_COUNT {
            // The average falls only over its time constant, and would need probes for all of that
            // time.
            self.latency = LatencyEstimate::default();
        }
        self.latency.record(latency_us, settings, now_us);
    }

    fn record_failure(&mut self, settings: &AdaptiveRouterSettings, now_us: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= settings.failure_limit {
            // After `failing_ms`, one more failure is enough to avoid the server again.
            self.consecutive_failures = settings.failure_limit.saturating_sub(1);
            self.failing_until_us = now_us + settings.failing_ms * 1_000;
            self.ramp = None;
            let ramp_start_us = self.failing_until_us;
            self.start_ramp(settings.recovery_ramp_ms, ramp_start_us);
        }
    }

    /// Whether the server is avoided because its last calls failed.
    pub fn is_failing(&self, now_us: u64) -> bool {
        now_us < self.failing_until_us
    }

    /// Compares the expected latency with the median of the servers that can take the request and
    /// updates whether the server is slow. A slow server that recovered ramps up.
    pub fn update_slowness(
        &mut self,
        median_us: f64,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) {
        let slow_threshold_us = median_us * f64::from(settings.slow_percent) / 100.0;
        let recovery_threshold_us = median_us * f64::from(settings.recovered_percent) / 100.0;
        let latency_us = self.expected_latency_us(median_us, settings, now_us);
        if latency_us >= slow_threshold_us {
            if !self.is_slow {
                self.next_probe_request = 0;
                self.consecutive_fast_answers = 0;
            }
            self.is_slow = true;
        } else if self.is_slow && latency_us < recovery_threshold_us {
            self.is_slow = false;
            self.start_ramp(settings.recovery_ramp_ms, now_us);
        }
        self.recovery_threshold_us = recovery_threshold_us;
    }

    /// Whether a probe of a slow server is due with this request to the pool.
    ///
    /// The first probe after the server became slow waits only for the probe interval, so that this
    /// node soon detects the end of a short slowdown. A fast answer is followed by another probe at
    /// once, since a single fast answer may be chance.
    pub fn is_probe_due(
        &self,
        request: u64,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> bool {
        let interval_us = settings.probe_interval_ms * 1_000;
        let is_spaced =
            self.latency.age_us(now_us) >= interval_us && request >= self.next_probe_request;
        self.is_slow && self.in_flight == 0 && (is_spaced || self.consecutive_fast_answers > 0)
    }

    /// Records that this request to the pool is sent as a probe.
    pub fn record_probe(&mut self, request: u64, settings: &AdaptiveRouterSettings) {
        self.next_probe_request = request + u64::from(settings.probe_spacing);
    }

    /// Average latency of the calls, in µs, or `None` before the first measurement.
    pub fn average_latency_us(&self) -> Option<f64> {
        self.latency.value_us()
    }

    /// Expected latency of the next call, in µs.
    ///
    /// While calls are in flight, the time since the last answer is a lower bound, so that a server
    /// that stops answering is detected without an answer. Without calls in flight, the estimate
    /// returns to the median of the servers that can take the request over `forget_ms`.
    pub fn expected_latency_us(
        &self,
        median_us: f64,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> f64 {
        let average_latency_us = self.latency.value_us().unwrap_or(median_us);
        if self.in_flight > 0 {
            return average_latency_us.max(now_us.saturating_sub(self.unanswered_since_us) as f64);
        }
        let forget_us = (settings.forget_ms * 1_000).max(1) as f64;
        let remaining = (-(self.latency.age_us(now_us) as f64) / forget_us).exp();
        median_us + (average_latency_us - median_us) * remaining
    }

    /// Records the admission advice of the gate.
    pub fn record_advice(&mut self, advice: &AdmissionAdvice, now_us: u64) {
        self.advice = Some(DecayingAdvice::new(*advice, now_us));
    }

    /// Whether the gate admits a request according to its decayed advice.
    pub fn is_admitting(
        &self,
        rank: u8,
        hash: u16,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> bool {
        let decay_us = settings.advice_decay_ms * 1_000;
        self.advice.is_none_or(|advice| advice.is_admitted(rank, hash, decay_us, now_us))
    }

    /// Time until the decayed advice of the gate admits a request, in µs.
    pub fn wait_us(
        &self,
        rank: u8,
        hash: u16,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> u64 {
        let decay_us = settings.advice_decay_ms * 1_000;
        self.advice.map_or(0, |advice| advice.wait_us(rank, hash, decay_us, now_us))
    }
}
