use std::collections::HashMap;

/// Settings of the concurrency limits for kinds of requests whose calls are refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindLimitSettings {
    /// Share of the runs of a kind that may fail because of a refused call before the kind is
    /// limited.
    pub max_refused_share: f64,
    /// Minimum number of finished runs in a period for the limit to be updated.
    pub min_finished_runs: u32,
    /// Minimum length of a period, in µs. If the mean run time is longer, it is the length.
    pub min_period_us: u64,
    /// Growth of a limit per period, as a share of the limit; at least one run.
    pub growth_share: f64,
    /// Maximum of the growth share. The share doubles with each consecutive period without refused
    /// calls, so that a service that has recovered is soon used fully again.
    pub max_growth_share: f64,
    /// A limit above this multiple of the maximum number of concurrent runs in a period is removed.
    pub drop_factor: f64,
}

impl Default for KindLimitSettings {
    fn default() -> Self {
        Self {
            // Less than one refused call in 100 if a run makes five calls.
            max_refused_share: 0.04,
            // With fewer finished runs, a single failure would be a third of them or more.
            min_finished_runs: 4,
            // A failure is attributed to a refused call up to this time before it.
            min_period_us: 100_000,
            // The correct limit is exceeded by less than the allowed share of refused calls.
            growth_share: 0.02,
            // A limit reduced to a third recovers in about eight periods. Faster growth starts so many
            // runs at a deep overload that most of them lose a call.
            max_growth_share: 0.25,
            // One period of the fastest growth does not reach this multiple.
            drop_factor: 2.0,
        }
    }
}

/// Decrease of a limit, as a multiple of the share of runs with a refused call. Calls are refused in
/// bursts, so a decrease by the whole share would leave the other service idle afterwards.
const DECREASE_FACTOR: f64 = 1.0 / 3.0;

/// Maximum number of tracked kinds. When it is reached, a new kind discards those without runs.
const MAX_KINDS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct KindState {
    running: u32,
    /// Maximum number of concurrent runs; `None` if the kind is not limited.
    limit: Option<f64>,
    /// Highest number of concurrent runs in this period.
    max_running: u32,
    finished_runs: u32,
    refused_runs: u32,
    /// Number of consecutive periods without a refused call.
    clean_periods: i32,
    period_start_us: u64,
}

/// Limits the concurrent runs of each kind of request whose calls to other services are refused.
///
/// When a downstream service is overloaded and each run makes several calls to it, a run with one
/// refused call has wasted its other calls. Runs that cannot all be completed therefore wait before
/// their first call. The limit depends on the share of runs with a refused call: it decreases in
/// proportion to the share if that exceeds its bound, and otherwise grows by a small share of
/// itself ("Congestion avoidance and control", Jacobson, 1988).
#[derive(Debug)]
pub(super) struct KindLimits {
    settings: KindLimitSettings,
    kinds: HashMap<u32, KindState>,
}

impl KindLimits {
    pub(super) fn new(settings: KindLimitSettings) -> Self {
        Self { settings, kinds: HashMap::new() }
    }

    fn kind_state(&mut self, kind: u32) -> &mut KindState {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            // Kinds with runs are kept, since the ends of these runs are still counted.
            self.kinds.retain(|_, state| state.running > 0);
        }
        self.kinds.entry(kind).or_default()
    }

    /// Maximum number of concurrent runs of a kind, if it is limited.
    pub(super) fn limit(&self, kind: u32) -> Option<u32> {
        let limit = self.kinds.get(&kind)?.limit?;
        Some(limit as u32)
    }

    /// Whether another request of a kind may start.
    pub(super) fn may_start(&self, kind: u32) -> bool {
        self.limit(kind).is_none_or(|limit| self.kinds[&kind].running < limit)
    }

    pub(super) fn record_start(&mut self, kind: u32) {
        let state = self.kind_state(kind);
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
    }

    /// Counts the end of a run. `is_call_refused` is set if it failed because of a refused call.
    pub(super) fn record_end(
        &mut self,
        kind: u32,
        is_call_refused: bool,
        mean_run_us: u64,
        now_us: u64,
    ) {
        let settings = self.settings;
        let state = self.kind_state(kind);
        state.running = state.running.saturating_sub(1);
        state.finished_runs += 1;
        state.refused_runs += u32::from(is_call_refused);
        let period_us = mean_run_us.max(settings.min_period_us);
        let is_over = now_us.saturating_sub(state.period_start_us) >= period_us;
        if is_over && state.finished_runs >= settings.min_finished_runs {
            state.limit = state.next_limit(&settings);
            state.clean_periods = if state.refused_runs == 0 { state.clean_periods + 1 } else { 0 };
            state.max_running = state.running;
            state.finished_runs = 0;
            state.refused_runs = 0;
            state.period_start_us = now_us;
        }
    }
}

impl KindState {
    fn next_limit(&self, settings: &KindLimitSettings) -> Option<f64> {
        let max_running = f64::from(self.max_running);
        let refused_share = f64::from(self.refused_runs) / f64::from(self.finished_runs);
        if refused_share > settings.max_refused_share {
            let base = self.limit.map_or(max_running, |limit| limit.min(max_running));
            return Some((base * (1.0 - refused_share * DECREASE_FACTOR)).max(1.0));
        }
        let limit = self.limit?;
        let doublings = if self.refused_runs == 0 { self.clean_periods } else { 0 };
        let share = settings.growth_share * 2.0_f64.powi(doublings);
        let share = share.min(settings.max_growth_share);
        let next = limit + (limit * share).max(1.0);
        (next <= max_running * settings.drop_factor).then_some(next)
    }
}

#[cfg(test)]
mod tests;
