use std::collections::HashMap;

use tarragon_model::call::Reason;

use crate::admission::Refusal;

/// Settings of [`FailureThrottle`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureThrottleSettings {
    /// Time over which outcomes are averaged, in µs.
    pub window_us: u64,
    /// Requests that are let through for each one that succeeded. At 1.5, requests are refused only if
    /// more than a third of them fail (client-side throttling, "Site Reliability Engineering", 2016, chapter 21).
    pub requests_per_success: f64,
    /// The same for the ranks that are more important than `least_rank`, which are refused later.
    pub important_requests_per_success: f64,
    /// First rank that counts as less important.
    pub least_rank: u8,
    /// Share of requests that is refused at most. The rest shows when the failures end.
    pub max_refused_share: f64,
    /// Refusals for overload within the window from which a failure is taken for its consequence.
    pub min_overloads: f64,
    /// Failures within the window that say nothing.
    pub free_failures: f64,
    /// When a refused caller may come back, in ms; each is told half of this to one and a half times
    /// this.
    pub retry_after_ms: u64,
}

impl Default for FailureThrottleSettings {
    fn default() -> Self {
        Self {
            window_us: 2_000_000,
            requests_per_success: 1.5,
            important_requests_per_success: 3.0,
            least_rank: 2,
            max_refused_share: 0.85,
            min_overloads: 3.0,
            free_failures: 3.0,
            retry_after_ms: 1_000,
        }
    }
}

/// How a request ended that was let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered, and the answer tells of no failure of the server.
    Succeeded,
    /// It ran, or may have run, and failed.
    Failed,
    /// A gate refused it for overload.
    Overloaded,
    /// It ended in a way that says nothing about the servers.
    Other,
}

/// Most kinds of requests that are told apart; beyond it all are learnt anew.
const MAX_KINDS: usize = 4_096;

/// Different times to come back.
const SPREAD_STEPS: u64 = 16;

/// A count that loses its force over the window.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    value: f64,
    updated_us: u64,
}

impl Decaying {
    fn at(&self, window_us: u64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.value * (-age_us / window_us.max(1) as f64).exp()
    }

    fn add(&mut self, window_us: u64, now_us: u64) {
        self.value = self.at(window_us, now_us) + 1.0;
        self.updated_us = now_us;
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    requests: Decaying,
    successes: Decaying,
    /// Part of a refusal that is due; whole ones are carried out.
    due: f64,
}

/// Refuses requests at their entry whose runs mostly fail because a service behind them is full.
///
/// The load that it answers: chains of calls at more than the capacity of the last service. A chain
/// that loses one of its calls has wasted the others, so at full load most work goes to chains that
/// fail, the services before hold their slots meanwhile, and the state outlasts its cause. Requests
/// that fail although no gate refuses for overload are let through: fewer of them would not help.
#[derive(Debug)]
pub struct FailureThrottle {
    settings: FailureThrottleSettings,
    kinds: HashMap<u32, Kind>,
    overloads: Decaying,
    refusals: u64,
}

impl FailureThrottle {
    /// Creates a throttle that lets everything through until requests fail.
    pub fn new(settings: FailureThrottleSettings) -> Self {
        Self { settings, kinds: HashMap::new(), overloads: Decaying::default(), refusals: 0 }
    }

    fn kind(&mut self, kind: u32) -> &mut Kind {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        self.kinds.entry(kind).or_default()
    }

    /// Share of the requests of a kind that is to be refused.
    fn refused_share(&self, kind: &Kind, rank: u8, now_us: u64) -> f64 {
        let settings = &self.settings;
        let window_us = settings.window_us;
        if self.overloads.at(window_us, now_us) < settings.min_overloads {
            return 0.0;
        }
        let per_success = if rank < settings.least_rank {
            settings.important_requests_per_success
        } else {
            settings.requests_per_success
        };
        let requests = kind.requests.at(window_us, now_us);
        let allowed = per_success * kind.successes.at(window_us, now_us) + settings.free_failures;
        ((requests - allowed) / (requests + 1.0)).clamp(0.0, settings.max_refused_share)
    }

    /// Decides on a request.
    ///
    /// # Errors
    /// The request is to be refused; it does not run.
    pub fn admit(&mut self, kind: u32, rank: u8, now_us: u64) -> Result<(), Refusal> {
        let known = self.kinds.get(&kind).copied().unwrap_or_default();
        let share = self.refused_share(&known, rank, now_us);
        let window_us = self.settings.window_us;
        let state = self.kind(kind);
        state.due = if share > 0.0 { state.due + share } else { 0.0 };
        if state.due < 1.0 {
            return Ok(());
        }
        state.due -= 1.0;
        state.requests.add(window_us, now_us);
        self.refusals += 1;
        let mean_ms = self.settings.retry_after_ms;
        let spread_ms = mean_ms * (self.refusals % SPREAD_STEPS) / SPREAD_STEPS;
        Err(Refusal { reason: Reason::Shed, retry_after_ms: mean_ms / 2 + spread_ms })
    }

    /// Records how a request ended that was let through.
    pub fn ended(&mut self, kind: u32, end: RequestEnd, now_us: u64) {
        let window_us = self.settings.window_us;
        match end {
            RequestEnd::Succeeded => {
                let state = self.kind(kind);
                state.requests.add(window_us, now_us);
                state.successes.add(window_us, now_us);
            }
            RequestEnd::Failed => self.kind(kind).requests.add(window_us, now_us),
            RequestEnd::Overloaded => self.overloads.add(window_us, now_us),
            RequestEnd::Other => {}
        }
    }
}

#[cfg(test)]
mod tests;
