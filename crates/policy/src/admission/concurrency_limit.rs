use crate::admission::AdmissionSettings;

/// Share to which concurrency is reduced to test whether latency depends on it.
const REDUCED_SHARE: f64 = 1.0 / 3.0;

/// Share of the latency that must remain at the reduced concurrency for the server to count as slow
/// at any concurrency. If the server only queues requests, about a third remains, or up to two
/// thirds if the mean at the onset of congestion includes earlier samples.
const REMAINING_LATENCY_SHARE: f64 = 0.75;

/// Number of samples at the reduced concurrency that completes the comparison.
const COMPARISON_SAMPLES: u32 = 32;

/// Number of samples at the reduced concurrency that suffices after `FEW_SAMPLES_AFTER_US`.
const FEW_COMPARISON_SAMPLES: u32 = 8;

/// Time since samples at the reduced concurrency count, after which few of them suffice, in µs.
const FEW_SAMPLES_AFTER_US: u64 = 250_000;

/// Time since the start of the phase of reduced concurrency, after which the comparison is
/// abandoned, in µs.
const MAX_COMPARISON_US: u64 = 2_000_000;

/// Time at the reduced concurrency before samples count, in multiples of the latency. Runs that
/// started earlier would make the server look slow. Counting only runs that started later would be
/// biased too, since the shortest of them end first.
const SETTLING_LATENCIES: f64 = 1.5;

/// Minimum length of a window, in multiples of the latency. Samples reflect the concurrency of one
/// latency ago, so faster changes would overshoot.
const WINDOW_LATENCIES: f64 = 1.5;

/// Growth per window, as a share of the limit, if there is little evidence for a higher limit: the
/// latency is raised but tolerated, or too few requests ran to use the current limit.
const CAUTIOUS_GROWTH: f64 = 0.02;

/// Maximum number of growth steps when a window closes. A window stays open while no event arrives,
/// so it may be many times `window_us` long.
const MAX_GROWTH_STEPS: u64 = 200;

/// Minimum share of the limit in use for which the limit grows fast.
const FAST_GROWTH_USED_SHARE: f64 = 0.7;

/// Maximum duration of congestion before a forced reduction, in µs.
const MAX_FORCED_REDUCTION_DELAY_US: u64 = 8_000_000;

/// Relative latency below which the baseline counts as outdated. Smaller deviations may be due to
/// chance.
const OUTDATED_RATIO: f64 = 0.7;

/// Maximum relative latency that counts as uncongested.
const UNCONGESTED_RATIO: f64 = 1.15;

/// Maximum relative latency of a sample; larger ones are clipped, so that a few stalls do not
/// outweigh all other samples.
const MAX_RATIO: f64 = 20.0;

/// State since the onset of congestion, used to distinguish queueing from a server that is slow at
/// any concurrency.
#[derive(Debug, Clone, Copy)]
struct Congestion {
    onset_us: u64,
    /// Limit before the reduction to `REDUCED_SHARE`.
    limit_before: f64,
    /// Samples taken before the samples of the comparison.
    before: Samples,
    reduced: Option<ReducedPhase>,
}

/// Samples at the reduced concurrency.
#[derive(Debug, Clone, Copy)]
struct ReducedPhase {
    started_us: u64,
    /// Time from which samples count; `None` until the concurrency has decreased.
    count_from_us: Option<u64>,
    /// Whether the limit was reduced because congestion lasted long, and not by its gradient.
    is_forced: bool,
    samples: Samples,
}

/// Sums of relative latencies and of latencies.
///
/// Means of relative latencies are taken over square roots, which limits the influence of the few
/// very long runs of a skewed distribution.
#[derive(Debug, Clone, Copy, Default)]
struct Samples {
    count: u32,
    /// Sum of the square roots of the relative latencies.
    root_sum: f64,
    /// Sum of the relative latencies.
    ratio_sum: f64,
    latency_sum_us: f64,
}

impl Samples {
    fn add(&mut self, ratio: f64, latency_us: f64) {
        let ratio = ratio.min(MAX_RATIO);
        self.count += 1;
        self.root_sum += ratio.sqrt();
        self.ratio_sum += ratio;
        self.latency_sum_us += latency_us;
    }

    fn append(&mut self, other: &Self) {
        self.count += other.count;
        self.root_sum += other.root_sum;
        self.ratio_sum += other.ratio_sum;
        self.latency_sum_us += other.latency_sum_us;
    }

    /// Mean relative latency, as the square of the mean root plus a number of standard errors; 1
    /// without samples.
    fn mean_ratio_bound(&self, standard_errors: f64) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        let count = f64::from(self.count);
        let mean = self.root_sum / count;
        let variance = (self.ratio_sum / count - mean * mean).max(0.0);
        let bound = (mean + standard_errors * (variance / count).sqrt()).max(0.0);
        bound * bound
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    start_us: u64,
    max_in_flight: u32,
    samples: Samples,
    /// Incomplete runs and runs that have taken too long so far. They count only if hardly any run
    /// ends, since long runs are always over-represented among them.
    unfinished: Samples,
    rejected: u32,
}

/// Concurrency limit, adapted to the latency relative to the uncongested latency.
///
/// The decrease is the gradient rule of Netflix' concurrency-limits library (`Gradient2Limit`,
/// 2018), which follows TCP Vegas (Brakmo and Peterson, 1995): the limit is multiplied by the
/// ratio of tolerated to measured latency, and a square root of it is added as room for a queue.
/// Rejections by the server decrease the limit as losses do in AIMD (Chiu and Jain, 1989).
///
/// With the gradient alone, the limit would stay low forever if the server became slower at any
/// concurrency, because its latency would never return to the baseline. Therefore latency at a
/// third of the concurrency is compared with latency at the onset of congestion: if it has not
/// dropped, the baseline is replaced. Without congestion the limit always grows, even while idle.
#[derive(Debug, Clone)]
pub(super) struct ConcurrencyLimit {
    settings: AdmissionSettings,
    slots: f64,
    limit: f64,
    window: Window,
    congestion: Option<Congestion>,
    /// Time at which the relative latency exceeded its tolerance, if it has not returned to
    /// `UNCONGESTED_RATIO` since, in µs.
    raised_since_us: Option<u64>,
    /// Duration of congestion before a forced reduction, in µs. It is doubled when the baseline is
    /// replaced and reset when the limit grows fast.
    forced_reduction_delay_us: u64,
    /// Mean relative latency in the last window; 1 after too few samples or a new baseline.
    last_ratio: f64,
    /// Upper bound of the mean relative latency in the last window with enough samples.
    previous_upper_ratio: f64,
    /// Mean latency in the last window with enough samples, in µs.
    last_latency_us: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(settings: &AdmissionSettings) -> Self {
        let slots = f64::from(settings.default_slots.max(1));
        Self {
            settings: settings.clone(),
            slots,
            limit: (slots * settings.initial_share).max(1.0),
            window: Window::default(),
            congestion: None,
            raised_since_us: None,
            forced_reduction_delay_us: settings.reduction_after_us,
            last_ratio: 1.0,
            previous_upper_ratio: 1.0,
            last_latency_us: 0.0,
        }
    }

    /// Current limit, at least one.
    pub(super) fn value(&self) -> u32 {
        let is_forced = |c: &Congestion| c.reduced.is_some_and(|r| r.is_forced);
        let limit = match self.congestion.filter(is_forced) {
            Some(congestion) => congestion.limit_before * REDUCED_SHARE,
            None => self.limit,
        };
        limit.max(self.min_limit()) as u32
    }

    /// Number of slots that the server announced, the upper bound of the limit.
    pub(super) fn slots(&self) -> u32 {
        self.slots as u32
    }

    /// Whether current samples represent the uncongested latency.
    pub(super) fn is_uncongested(&self) -> bool {
        self.congestion.is_none() && self.last_ratio <= UNCONGESTED_RATIO
    }

    /// Sets the announced slots. If they increase, the limit grows towards them by probing.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        if slots != self.slots {
            self.slots = slots;
            self.limit = self.limit.max(slots * self.settings.initial_share).min(slots);
        }
    }

    /// Resets the limit to that of a new server.
    pub(super) fn restart(&mut self) {
        self.limit = (self.slots * self.settings.initial_share).max(1.0);
        self.congestion = None;
        self.raised_since_us = None;
        self.last_ratio = 1.0;
    }

    /// Records the latency of a run, in µs and relative to the baseline.
    pub(super) fn record(&mut self, latency_us: f64, ratio: f64, now_us: u64) {
        self.window.samples.add(ratio, latency_us);
        if let Some(reduced) = self.congestion.as_mut().and_then(|c| c.reduced.as_mut()) {
            if reduced.count_from_us.is_some_and(|count_from_us| now_us >= count_from_us) {
                reduced.samples.add(ratio, latency_us);
            }
        }
    }

    /// Records a run that was incomplete or still in progress after `latency_us`.
    pub(super) fn record_unfinished(&mut self, latency_us: f64, ratio: f64) {
        self.window.unfinished.add(ratio, latency_us);
    }

    /// Latency in the last window, relative to the uncongested latency.
    pub(super) fn last_ratio(&self) -> f64 {
        self.last_ratio
    }

    /// Records the number of concurrent runs after the start of a run.
    pub(super) fn record_start(&mut self, in_flight: u32) {
        self.window.max_in_flight = self.window.max_in_flight.max(in_flight);
    }

    /// Records a rejection by the server.
    pub(super) fn record_rejected(&mut self) {
        self.window.rejected += 1;
    }

    /// Time at which the window ends unless further samples end it earlier, in µs.
    pub(super) fn window_end_us(&self) -> u64 {
        let is_filled =
            self.window.samples.count + self.window.rejected >= self.settings.min_samples;
        if !is_filled {
            return self.window.start_us + self.settings.max_window_us;
        }
        let latencies_us = (self.last_latency_us * WINDOW_LATENCIES) as u64;
        let length_us = self.settings.window_us.max(latencies_us).min(self.settings.max_window_us);
        self.window.start_us + length_us
    }

    /// Sets the limit from the samples of the window. `in_flight` is the current number of runs.
    /// If the baselines are outdated, returns the factor by which they must be multiplied.
    pub(super) fn close_window(&mut self, in_flight: u32, now_us: u64) -> Option<f64> {
        let mut window = self.window;
        if window.samples.count < self.settings.min_samples / 2 {
            window.samples.append(&window.unfinished);
        }
        let samples = window.samples;
        self.window = Window { start_us: now_us, max_in_flight: in_flight, ..Window::default() };
        let age_us = now_us.saturating_sub(window.start_us);
        let is_measured = samples.count + window.rejected >= self.settings.min_samples / 2;
        if !is_measured {
            self.last_ratio = 1.0;
            // An idle server is not congested.
            self.congestion = self.congestion.filter(|_| window.max_in_flight > 0);
            self.grow(&window, age_us);
            // Few samples cannot confirm congestion; a reduced limit may be the reason for them.
            return self.compare_latencies(in_flight, now_us);
        }
        self.last_ratio = samples.mean_ratio_bound(0.0);
        self.last_latency_us = samples.latency_sum_us / f64::from(samples.count.max(1));
        // The lower bound excludes deviations by chance in few samples or a skewed distribution.
        let lower_ratio = samples.mean_ratio_bound(-1.0);
        if window.rejected > 0 {
            let rejected = f64::from(window.rejected);
            let share = rejected / (rejected + f64::from(samples.count));
            // The server has just accepted `in_flight` requests; the limit may be far above that.
            let base = self.limit.min(f64::from(in_flight.max(1)) * 2.0);
            self.limit = (base * (1.0 - share / 2.0)).max(self.min_limit());
        } else if lower_ratio <= self.settings.latency_tolerance {
            if self.last_ratio <= UNCONGESTED_RATIO {
                self.raised_since_us = None;
                self.congestion =
                    self.congestion.filter(|c| c.reduced.is_some_and(|r| r.is_forced));
            } else {
                self.congestion = self.congestion.filter(|c| c.reduced.is_some());
            }
            self.grow(&window, age_us);
        } else {
            self.decrease(&samples, lower_ratio, now_us);
        }
        // One window may have low latency by chance, two in a row hardly.
        let upper_ratio = samples.mean_ratio_bound(1.0);
        let previous = std::mem::replace(&mut self.previous_upper_ratio, upper_ratio);
        if upper_ratio.max(previous) < OUTDATED_RATIO {
            (self.last_ratio, self.previous_upper_ratio) = (1.0, 1.0);
            return Some(upper_ratio.max(previous));
        }
        self.compare_latencies(in_flight, now_us)
    }

    fn min_limit(&self) -> f64 {
        (self.slots * self.settings.min_share).max(1.0)
    }

    /// Raises the limit by its square root or by `CAUTIOUS_GROWTH`, once for every `window_us` in
    /// `age_us`.
    fn grow(&mut self, window: &Window, age_us: u64) {
        if self.congestion.is_some() {
            return;
        }
        let is_used = f64::from(window.max_in_flight) >= self.limit * FAST_GROWTH_USED_SHARE;
        let is_fast = is_used && self.last_ratio <= UNCONGESTED_RATIO;
        if is_fast {
            self.forced_reduction_delay_us = self.settings.reduction_after_us;
        }
        let steps = (age_us / self.settings.window_us.max(1)).clamp(1, MAX_GROWTH_STEPS);
        for _ in 0..steps {
            self.limit += if is_fast { self.limit.sqrt() } else { self.limit * CAUTIOUS_GROWTH };
        }
        self.limit = self.limit.min(self.slots);
    }

    fn decrease(&mut self, samples: &Samples, ratio: f64, now_us: u64) {
        let (limit_before, min_limit) = (self.limit, self.min_limit());
        let onset_us = *self.raised_since_us.get_or_insert(now_us);
        let congestion = self.congestion.get_or_insert(Congestion {
            onset_us,
            limit_before,
            before: Samples::default(),
            reduced: None,
        });
        // Until the samples of the comparison count, the runs that end have started at the full
        // concurrency. Their mean covers this whole time, because short runs end first and long
        // runs last.
        let is_counting = |reduced: ReducedPhase| {
            reduced.count_from_us.is_some_and(|count_from_us| now_us >= count_from_us)
        };
        if !congestion.reduced.is_some_and(is_counting) {
            congestion.before.append(samples);
        }
        if congestion.reduced.is_some() {
            return;
        }
        let gradient = (self.settings.latency_tolerance / ratio).clamp(0.5, 1.0);
        let reduced_limit = (congestion.limit_before * REDUCED_SHARE).max(min_limit);
        self.limit = (self.limit * gradient).max(reduced_limit);
    }

    /// Compares latency at the reduced concurrency with latency at the onset of congestion. If the
    /// baselines are outdated, returns the factor by which they must be multiplied.
    fn compare_latencies(&mut self, in_flight: u32, now_us: u64) -> Option<f64> {
        let min_limit = self.min_limit();
        let congestion = self.congestion.as_mut()?;
        let Some(reduced) = congestion.reduced.as_mut() else {
            let is_long =
                now_us.saturating_sub(congestion.onset_us) >= self.forced_reduction_delay_us;
            let is_reduced = self.limit <= (congestion.limit_before * REDUCED_SHARE).max(min_limit);
            if is_long && !is_reduced {
                congestion.limit_before = self.limit;
            }
            if is_long || is_reduced {
                congestion.reduced = Some(ReducedPhase {
                    started_us: now_us,
                    count_from_us: None,
                    is_forced: !is_reduced,
                    samples: Samples::default(),
                });
            }
            return None;
        };
        let reduced_limit = (congestion.limit_before * REDUCED_SHARE).max(min_limit);
        if reduced.count_from_us.is_none() && f64::from(in_flight) <= reduced_limit + 1.0 {
            let settling_us = (self.last_latency_us * SETTLING_LATENCIES) as u64;
            reduced.count_from_us =
                Some(now_us + settling_us.min(self.settings.reduction_after_us));
        }
        let counted_us = now_us.saturating_sub(reduced.count_from_us.unwrap_or(now_us));
        if now_us.saturating_sub(reduced.started_us) >= MAX_COMPARISON_US {
            self.congestion = None;
            self.raised_since_us = None;
            return None;
        }
        let is_few = reduced.samples.count < COMPARISON_SAMPLES;
        if is_few
            && (reduced.samples.count < FEW_COMPARISON_SAMPLES || counted_us < FEW_SAMPLES_AFTER_US)
        {
            return None;
        }
        let measured = reduced.samples.mean_ratio_bound(0.0);
        let is_slow_at_any_concurrency =
            measured >= REMAINING_LATENCY_SHARE * congestion.before.mean_ratio_bound(0.0);
        // After a forced reduction, the measured latency always becomes the baseline: after long
        // congestion the limit is stable, and a third of it does not congest the server.
        if is_slow_at_any_concurrency || reduced.is_forced {
            self.forced_reduction_delay_us =
                (self.forced_reduction_delay_us * 2).min(MAX_FORCED_REDUCTION_DELAY_US);
            self.congestion = None;
            self.raised_since_us = None;
            self.last_ratio = 1.0;
            return Some(measured);
        }
        *congestion = Congestion {
            onset_us: now_us,
            limit_before: self.limit,
            before: reduced.samples,
            reduced: None,
        };
        None
    }
}
