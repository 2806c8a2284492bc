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

/// Fast answers in succession after which a slow server has recovered. One or two may be luck.
const RECOVERY_ANSWERS: u32 = 3;

/// Growth of the share of a server, from its start over a time.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    start_us: u64,
    length_us: u64,
}

/// What a node knows of one backend server of a service from its own calls.
#[derive(Debug)]
pub(super) struct Server {
    pub instance: InstanceId,
    pub distance: Distance,
    pub state: BackendState,
    /// False once it has left the candidates but has calls in flight.
    pub is_candidate: bool,
    pub in_flight: u32,
    latency: LatencyEstimate,
    /// Last answer, or the first call after a time without any in flight.
    silent_since_us: u64,
    is_slow: bool,
    /// Answers in succession, while slow, that were as fast as those of the peers.
    fast_answers: u32,
    /// Latency below which an answer is as fast, in µs.
    recovered_us: f64,
    /// Request number of the pool from which the next probe is allowed.
    next_probe: u64,
    failures: u32,
    failing_until_us: u64,
    ramp: Option<Ramp>,
    advice: Option<DecayingAdvice>,
}

impl Server {
    /// Creates a server without calls so far.
    pub fn new(candidate: &Candidate) -> Self {
        Self {
            instance: candidate.instance,
            distance: candidate.distance,
            state: candidate.state,
            is_candidate: true,
            in_flight: 0,
            latency: LatencyEstimate::default(),
            silent_since_us: 0,
            is_slow: false,
            fast_answers: 0,
            recovered_us: 0.0,
            next_probe: 0,
            failures: 0,
            failing_until_us: 0,
            ramp: None,
            advice: None,
        }
    }

    /// Takes over what the server's node told. A server that becomes ready starts afresh.
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
            self.failures = 0;
            self.failing_until_us = 0;
            self.advice = None;
            self.start_ramp(settings.ramp_ms, now_us);
        }
    }

    /// Starts a ramp, unless one that ends later is under way.
    pub fn start_ramp(&mut self, length_ms: u64, now_us: u64) {
        let length_us = length_ms * 1_000;
        let ends_us = self.ramp.map_or(0, |ramp| ramp.start_us + ramp.length_us);
        if now_us + length_us > ends_us {
            self.ramp = Some(Ramp { start_us: now_us, length_us });
        }
    }

    /// Share of draws in which the server takes part, 0 to 1. It stays at the start of the ramp
    /// during a cold start.
    pub fn share(&mut self, settings: &AdaptiveRouterSettings, now_us: u64) -> f64 {
        let start = f64::from(settings.ramp_start_percent) / 100.0;
        if self.state == BackendState::Starting {
            return start;
        }
        let Some(ramp) = self.ramp else { return 1.0 };
        let passed_us = now_us.saturating_sub(ramp.start_us);
        if passed_us >= ramp.length_us {
            self.ramp = None;
            return 1.0;
        }
        start + (1.0 - start) * passed_us as f64 / ramp.length_us as f64
    }

    /// Records that a call was sent.
    pub fn record_call_start(&mut self, now_us: u64) {
        if self.in_flight == 0 {
            self.silent_since_us = now_us;
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
                self.silent_since_us = now_us;
                self.answered(result.latency_us, settings, now_us);
                self.failures = 0;
                if self.failing_until_us > now_us {
                    self.failing_until_us = 0;
                    self.ramp = None;
                    self.start_ramp(settings.recovery_ramp_ms, now_us);
                }
            }
            CallOutcome::NotRun | CallOutcome::Rejected => {
                // A quick refusal says nothing about the latency of work. A gate that sheds says
                // so in its advice; any other refusal repeats until membership catches up.
                self.silent_since_us = now_us;
                let decay_us = settings.advice_decay_ms * 1_000;
                if !self.advice.is_some_and(|advice| advice.is_shedding(decay_us, now_us)) {
                    self.count_failure(settings, now_us);
                }
            }
            CallOutcome::Failed => {
                if is_longer {
                    self.latency.record(result.latency_us, settings, now_us);
                }
                self.count_failure(settings, now_us);
            }
            // The time until the caller gave up is a lower bound of the latency.
            CallOutcome::Cancelled if is_longer => {
                self.latency.record(result.latency_us, settings, now_us);
            }
            CallOutcome::Cancelled => {}
        }
    }

    fn answered(&mut self, latency_us: u64, settings: &AdaptiveRouterSettings, now_us: u64) {
        let is_fast = (latency_us as f64) < self.recovered_us;
        self.fast_answers = if self.is_slow && is_fast { self.fast_answers + 1 } else { 0 };
        if self.fast_answers >= RECOVERY_ANSWERS {
            // The average would need its time constant to fall, and probes for all of it.
            self.latency = LatencyEstimate::default();
        }
        self.latency.record(latency_us, settings, now_us);
    }

    fn count_failure(&mut self, settings: &AdaptiveRouterSettings, now_us: u64) {
        self.failures += 1;
        if self.failures >= settings.failure_limit {
            // One more failure after this time is enough to avoid it again.
            self.failures = settings.failure_limit.saturating_sub(1);
            self.failing_until_us = now_us + settings.failing_ms * 1_000;
            self.ramp = None;
            let after_us = self.failing_until_us;
            self.start_ramp(settings.recovery_ramp_ms, after_us);
        }
    }

    /// Whether it is avoided because its last calls failed.
    pub fn is_failing(&self, now_us: u64) -> bool {
        now_us < self.failing_until_us
    }

    /// Compares the server with its peers' median latency. A slow one that recovered ramps up.
    pub fn compare(&mut self, peers_us: f64, settings: &AdaptiveRouterSettings, now_us: u64) {
        let slow_us = peers_us * f64::from(settings.slow_percent) / 100.0;
        let recovered_us = peers_us * f64::from(settings.recovered_percent) / 100.0;
        let latency_us = self.latency_us(peers_us, settings, now_us);
        if latency_us >= slow_us {
            if !self.is_slow {
                self.next_probe = 0;
                self.fast_answers = 0;
            }
            self.is_slow = true;
        } else if self.is_slow && latency_us < recovered_us {
            self.is_slow = false;
            self.start_ramp(settings.recovery_ramp_ms, now_us);
        }
        self.recovered_us = recovered_us;
    }

    /// Whether a probe of a slow server is due at this request of the pool. The first probe of a
    /// slow spell waits for the interval only, so that a short spell is soon over for this node. A
    /// fast answer is followed by another probe at once, since one alone may be luck.
    pub fn is_probe_due(
        &self,
        request: u64,
        settings: &AdaptiveRouterSettings,
        now_us: u64,
    ) -> bool {
        let interval_us = settings.probe_interval_ms * 1_000;
        let is_in_turn = self.latency.age_us(now_us) >= interval_us && request >= self.next_probe;
        self.is_slow && self.in_flight == 0 && (is_in_turn || self.fast_answers > 0)
    }

    /// Records that a probe is sent with this request of the pool.
    pub fn probed(&mut self, request: u64, settings: &AdaptiveRouterSettings) {
        self.next_probe = request + u64::from(settings.probe_spacing);
    }

    /// Latency from answers alone, in µs.
    pub fn answered_us(&self) -> Option<f64> {
        self.latency.value_us()
    }

    /// Latency that the next call has to expect, in µs.
    ///
    /// The time without any answer while calls are in flight is a lower bound, so that a server
    /// that stops answering is noticed without an answer.
    pub fn latency_us(&self, peers_us: f64, settings: &AdaptiveRouterSettings, now_us: u64) -> f64 {
        let answered_us = self.latency.value_us().unwrap_or(peers_us);
        if self.in_flight > 0 {
            return answered_us.max(now_us.saturating_sub(self.silent_since_us) as f64);
        }
        let forget_us = (settings.forget_ms * 1_000).max(1) as f64;
        let rest = (-(self.latency.age_us(now_us) as f64) / forget_us).exp();
        peers_us + (answered_us - peers_us) * rest
    }

    /// Records what the gate admits.
    pub fn record_advice(&mut self, advice: &AdmissionAdvice, now_us: u64) {
        self.advice = Some(DecayingAdvice::new(*advice, now_us));
    }

    /// Whether the gate admits a request as far as its advice says.
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

    /// Time until the gate's advice admits a request, in µs.
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
