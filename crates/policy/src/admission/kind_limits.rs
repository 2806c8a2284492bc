use std::collections::HashMap;

/// Settings of the bounds on kinds of requests whose calls are refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindLimitSettings {
    /// Share of the runs of a kind that may end with a refused call before fewer of them start.
    pub max_refused_share: f64,
    /// Runs that must have ended before the share is looked at.
    pub min_finished_runs: u32,
    /// Shortest time over which it is counted, in µs. Longer runs are counted over their mean run time.
    pub min_period_us: u64,
    /// Growth of a limit that is used up, each period, as a share of it; at least one run.
    pub growth_share: f64,
    /// Most that this share grows to; it doubles with each period in a row without a refused call, so
    /// that a service which has recovered is soon used again.
    pub max_growth_share: f64,
    /// Limits above this many times the most that ran in a period are dropped.
    pub drop_factor: f64,
}

impl Default for KindLimitSettings {
    fn default() -> Self {
        Self {
            // One lost call in 100, if a run makes five.
            max_refused_share: 0.05,
            // Of fewer ends a single one is a third or more.
            min_finished_runs: 4,
            // As long as a failure may follow the refused call that explains it.
            min_period_us: 100_000,
            // A limit that is right is exceeded by less than the share of lost calls that is allowed.
            growth_share: 0.02,
            // From a third back to the whole in three periods.
            max_growth_share: 0.5,
            // One more period of the fastest growth would not reach it.
            drop_factor: 2.0,
        }
    }
}

/// Most kinds with a limit of their own; beyond it all are learnt anew.
const MAX_KINDS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    running: u32,
    /// Most runs at once; none if nothing limits them.
    limit: Option<f64>,
    /// Most that ran at once in this period.
    most_running: u32,
    ended: u32,
    refused: u32,
    /// Periods in a row without a refused call.
    clean_periods: i32,
    period_start_us: u64,
}

/// Bounds the concurrent runs of each kind whose calls to other services are refused there.
///
/// The load that it answers: a service behind this one is full, and each run makes several calls
/// there. A run that loses one of its calls has wasted the others, so runs that cannot all be
/// completed wait before their first call instead. The limit follows the share of runs that lose a
/// call: it falls in proportion above the bound and else grows by a part ("Congestion avoidance and
/// control", Jacobson, 1988).
#[derive(Debug)]
pub(super) struct KindLimits {
    settings: KindLimitSettings,
    kinds: HashMap<u32, Kind>,
}

impl KindLimits {
    pub(super) fn new(settings: KindLimitSettings) -> Self {
        Self { settings, kinds: HashMap::new() }
    }

    fn kind(&mut self, kind: u32) -> &mut Kind {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            // Kinds with runs stay, since their ends are still counted.
            self.kinds.retain(|_, known| known.running > 0);
        }
        self.kinds.entry(kind).or_default()
    }

    /// Most runs of a kind at once, if they are limited.
    pub(super) fn limit(&self, kind: u32) -> Option<u32> {
        let limit = self.kinds.get(&kind)?.limit?;
        Some(limit as u32)
    }

    pub(super) fn may_start(&self, kind: u32) -> bool {
        self.limit(kind).is_none_or(|limit| self.kinds[&kind].running < limit)
    }

    pub(super) fn started(&mut self, kind: u32) {
        let state = self.kind(kind);
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
    }

    /// Counts the end of a run. `is_call_refused` tells that it failed since a call of it was refused.
    pub(super) fn ended(
        &mut self,
        kind: u32,
        is_call_refused: bool,
        mean_run_us: u64,
        now_us: u64,
    ) {
        let settings = self.settings;
        let state = self.kind(kind);
        state.running = state.running.saturating_sub(1);
        state.ended += 1;
        state.refused += u32::from(is_call_refused);
        let period_us = mean_run_us.max(settings.min_period_us);
        let is_over = now_us.saturating_sub(state.period_start_us) >= period_us;
        if is_over && state.ended >= settings.min_finished_runs {
            state.limit = state.next_limit(&settings);
            state.clean_periods = if state.refused == 0 { state.clean_periods + 1 } else { 0 };
            state.most_running = state.running;
            state.ended = 0;
            state.refused = 0;
            state.period_start_us = now_us;
        }
    }
}

impl Kind {
    fn next_limit(&self, settings: &KindLimitSettings) -> Option<f64> {
        let most = f64::from(self.most_running);
        let refused_share = f64::from(self.refused) / f64::from(self.ended);
        if refused_share > settings.max_refused_share {
            let base = self.limit.map_or(most, |limit| limit.min(most));
            return Some((base * (1.0 - refused_share / 2.0)).max(1.0));
        }
        let limit = self.limit?;
        let doublings = if self.refused == 0 { self.clean_periods } else { 0 };
        let share = settings.growth_share * 2.0_f64.powi(doublings);
        let share = share.min(settings.max_growth_share);
        let next = limit + (limit * share).max(1.0);
        (next <= most * settings.drop_factor).then_some(next)
    }
}

#[cfg(test)]
mod tests;
