use crate::admission::AdmissionSettings;

/// Share to which concurrency is reduced to learn whether latency depends on it.
const REDUCED_SHARE: f64 = 1.0 / 3.0;

/// Part of the latency that must remain at the reduced concurrency for the server to count as slow
/// at any concurrency. A server that only queues requests would show about a third, or up to two
/// thirds where the latency at the onset was averaged with that before it.
const UNIFORM_SHARE: f64 = 0.75;

/// Samples that settle the comparison at the reduced concurrency, and those that do so after
/// `COMPARISON_US`.
const COMPARISON_SAMPLES: u32 = 32;
const FEW_COMPARISON_SAMPLES: u32 = 8;

/// Time after which few samples settle the comparison, and after which it ends anyway, in µs.
const COMPARISON_US: u64 = 250_000;
const MAX_COMPARISON_US: u64 = 2_000_000;

/// Latencies that pass at the reduced concurrency before samples count. Runs that began before would
/// make the server look slow, and counting only runs that began since would count short ones
/// first.
const SETTLING_LATENCIES: f64 = 1.5;

/// Latencies that a window spans at least. Samples tell of the concurrency one latency ago, so a
/// faster change would overshoot.
const WINDOW_LATENCIES: f64 = 1.5;

/// Growth as a share of the limit in a window that tells little about a higher limit: the latency
/// is raised but tolerated, or too few requests ran to test the present limit.
const CAUTIOUS_GROWTH: f64 = 0.02;

/// Windows of growth that one interval without events counts for.
const MAX_GROWTH_WINDOWS: u64 = 200;

/// Share of the limit that must have been in use for the limit to grow fast.
const USED_SHARE: f64 = 0.7;

/// Largest interval between two forced reductions, in µs.
const MAX_REDUCTION_AFTER_US: u64 = 8_000_000;

/// Relative latency below which the baseline is taken to be outdated rather than the samples
/// lucky.
const OUTDATED_RATIO: f64 = 0.7;

/// Relative latency up to which samples count as uncongested.
const UNCONGESTED_RATIO: f64 = 1.15;

/// Largest relative latency that one sample contributes, so that a few stalls do not outweigh all
/// other samples.
const MAX_RATIO: f64 = 20.0;

/// Congestion since its onset, kept to tell queueing from a server that is slow anyway.
#[derive(Debug, Clone, Copy)]
struct Congestion {
    onset_us: u64,
    limit: f64,
    /// Samples before those of the comparison count.
    before: Samples,
    reduced: Option<Reduced>,
}

/// Samples at the reduced concurrency.
#[derive(Debug, Clone, Copy)]
struct Reduced {
    since_us: u64,
    /// Time from which samples count; none before the concurrency has fallen.
    from_us: Option<u64>,
    is_forced: bool,
    samples: Samples,
}

/// Square roots of relative latencies, and the latencies themselves.
#[derive(Debug, Clone, Copy, Default)]
struct Samples {
    count: u32,
    sum: f64,
    square_sum: f64,
    latency_sum_us: f64,
}

impl Samples {
    fn add(&mut self, ratio: f64, latency_us: f64) {
        let ratio = ratio.min(MAX_RATIO);
        self.count += 1;
        self.sum += ratio.sqrt();
        self.square_sum += ratio;
        self.latency_sum_us += latency_us;
    }

    fn append(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.square_sum += other.square_sum;
        self.latency_sum_us += other.latency_sum_us;
    }

    /// Relative latency, off by a number of standard errors.
    fn ratio(&self, errors: f64) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        let count = f64::from(self.count);
        let mean = self.sum / count;
        let variance = (self.square_sum / count - mean * mean).max(0.0);
        let bound = (mean + errors * (variance / count).sqrt()).max(0.0);
        bound * bound
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    start_us: u64,
    most_in_flight: u32,
    samples: Samples,
    /// Runs that were cut off or have not ended for long. They count only if hardly any run ends,
    /// since long runs are always over-represented among them.
    unfinished: Samples,
    rejected: u32,
}

/// Concurrency limit learnt from latency relative to the uncongested latency.
///
/// The decrease is the gradient rule of Netflix' concurrency-limits library (`Gradient2Limit`,
/// 2018), which follows TCP Vegas (Brakmo and Peterson, 1995): the limit is multiplied by the
/// ratio of tolerated to measured latency, and a square root of it is added as room for a queue.
/// Refusals by the server decrease the limit as losses do in AIMD (Chiu and Jain, 1989).
///
/// The gradient alone stays low for ever when the server is slower at any concurrency, because
/// its latency never returns to the baseline. So latency at a third of the concurrency is compared
/// with latency at the onset of congestion: if it has not dropped, the baseline is replaced. Without
/// congestion the limit always grows, also while idle.
#[derive(Debug, Clone)]
pub(super) struct ConcurrencyLimit {
    settings: AdmissionSettings,
    slots: f64,
    limit: f64,
    window: Window,
    congestion: Option<Congestion>,
    /// Start of the time in which the latency was over its tolerance or little below it.
    raised_since_us: Option<u64>,
    reduction_after_us: u64,
    last_ratio: f64,
    previous_most_ratio: f64,
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
            reduction_after_us: settings.reduction_after_us,
            last_ratio: 1.0,
            previous_most_ratio: 1.0,
            last_latency_us: 0.0,
        }
    }

    /// Present limit, at least one.
    pub(super) fn value(&self) -> u32 {
        let is_forced = |c: &Congestion| c.reduced.is_some_and(|h| h.is_forced);
        let limit = match self.congestion.filter(is_forced) {
            Some(congestion) => congestion.limit * REDUCED_SHARE,
            None => self.limit,
        };
        limit.max(self.floor()) as u32
    }

    /// Slots that the server announced, the upper bound of the limit.
    pub(super) fn slots(&self) -> u32 {
        self.slots as u32
    }

    /// Whether samples tell the uncongested latency.
    pub(super) fn is_uncongested(&self) -> bool {
        self.congestion.is_none() && self.last_ratio <= UNCONGESTED_RATIO
    }

    /// Adopts the announced slots. A limit that had reached its bound follows it by probing.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        if slots != self.slots {
            self.slots = slots;
            self.limit = self.limit.max(slots * self.settings.initial_share).min(slots);
        }
    }

    /// Starts again as for a new server.
    pub(super) fn restart(&mut self) {
        self.limit = (self.slots * self.settings.initial_share).max(1.0);
        self.congestion = None;
        self.raised_since_us = None;
        self.last_ratio = 1.0;
    }

    /// Records the latency of a run, in µs, and relative to the baseline.
    pub(super) fn record(&mut self, latency_us: f64, ratio: f64, now_us: u64) {
        self.window.samples.add(ratio, latency_us);
        if let Some(reduced) = self.congestion.as_mut().and_then(|c| c.reduced.as_mut()) {
            if reduced.from_us.is_some_and(|from_us| now_us >= from_us) {
                reduced.samples.add(ratio, latency_us);
            }
        }
    }

    /// Records a run that was cut off, or that has not ended, after `latency_us`.
    pub(super) fn record_unfinished(&mut self, latency_us: f64, ratio: f64) {
        self.window.unfinished.add(ratio, latency_us);
    }

    /// Latency relative to the uncongested latency in the last window.
    pub(super) fn last_ratio(&self) -> f64 {
        self.last_ratio
    }

    /// Records the number of runs after one has started.
    pub(super) fn record_start(&mut self, in_flight: u32) {
        self.window.most_in_flight = self.window.most_in_flight.max(in_flight);
    }

    /// Records a refusal by the server.
    pub(super) fn record_rejected(&mut self) {
        self.window.rejected += 1;
    }

    /// Time at which the window ends, unless further samples fill it earlier, in µs.
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

    /// Sets the limit from the samples of the window. `in_flight` is the number of present runs.
    /// Returns a factor by which the baselines must be multiplied, if they are outdated.
    pub(super) fn close_window(&mut self, in_flight: u32, now_us: u64) -> Option<f64> {
        let mut window = self.window;
        if window.samples.count < self.settings.min_samples / 2 {
            window.samples.append(&window.unfinished);
        }
        let samples = window.samples;
        self.window = Window { start_us: now_us, most_in_flight: in_flight, ..Window::default() };
        let age_us = now_us.saturating_sub(window.start_us);
        let is_measured = samples.count + window.rejected >= self.settings.min_samples / 2;
        if !is_measured {
            self.last_ratio = 1.0;
            // An idle server is not congested.
            self.congestion = self.congestion.filter(|_| window.most_in_flight > 0);
            self.grow(&window, age_us);
            // Few samples cannot confirm congestion; a reduced limit may be the very cause.
            return self.compare(in_flight, now_us);
        }
        self.last_ratio = samples.ratio(0.0);
        self.last_latency_us = samples.latency_sum_us / f64::from(samples.count.max(1));
        // A decrease must be beyond the chance of few samples or of a skewed distribution.
        let least_ratio = samples.ratio(-1.0);
        if window.rejected > 0 {
            let rejected = f64::from(window.rejected);
            let share = rejected / (rejected + f64::from(samples.count));
            // In flight is what the server just had accepted; the limit may be far above it.
            let base = self.limit.min(f64::from(in_flight.max(1)) * 2.0);
            self.limit = (base * (1.0 - share / 2.0)).max(self.floor());
        } else if least_ratio <= self.settings.latency_tolerance {
            if self.last_ratio <= UNCONGESTED_RATIO {
                self.raised_since_us = None;
                self.congestion =
                    self.congestion.filter(|c| c.reduced.is_some_and(|r| r.is_forced));
            } else {
                self.congestion = self.congestion.filter(|c| c.reduced.is_some());
            }
            self.grow(&window, age_us);
        } else {
            self.decrease(&samples, least_ratio, now_us);
        }
        // One window may be lucky, two in a row hardly are.
        let most_ratio = samples.ratio(1.0);
        let previous = std::mem::replace(&mut self.previous_most_ratio, most_ratio);
        if most_ratio.max(previous) < OUTDATED_RATIO {
            (self.last_ratio, self.previous_most_ratio) = (1.0, 1.0);
            return Some(most_ratio.max(previous));
        }
        self.compare(in_flight, now_us)
    }

    fn floor(&self) -> f64 {
        (self.slots * self.settings.min_share).max(1.0)
    }

    /// Grows by a square root, or cautiously, for every window that has passed.
    fn grow(&mut self, window: &Window, age_us: u64) {
        if self.congestion.is_some() {
            return;
        }
        let is_used = f64::from(window.most_in_flight) >= self.limit * USED_SHARE;
        let is_fast = is_used && self.last_ratio <= UNCONGESTED_RATIO;
        if is_fast {
            self.reduction_after_us = self.settings.reduction_after_us;
        }
        let windows = (age_us / self.settings.window_us.max(1)).clamp(1, MAX_GROWTH_WINDOWS);
        for _ in 0..windows {
            self.limit += if is_fast { self.limit.sqrt() } else { self.limit * CAUTIOUS_GROWTH };
        }
        self.limit = self.limit.min(self.slots);
    }

    fn decrease(&mut self, samples: &Samples, ratio: f64, now_us: u64) {
        let (limit, floor) = (self.limit, self.floor());
        let onset_us = *self.raised_since_us.get_or_insert(now_us);
        let congestion = self.congestion.get_or_insert(Congestion {
            onset_us,
            limit,
            before: Samples::default(),
            reduced: None,
        });
        // Runs that end before the comparison counts began at the full concurrency. Their mean over
        // the whole time balances the short ones that end first and the long ones that end last.
        let is_counting =
            |reduced: Reduced| reduced.from_us.is_some_and(|from_us| now_us >= from_us);
        if !congestion.reduced.is_some_and(is_counting) {
            congestion.before.append(samples);
        }
        if congestion.reduced.is_some() {
            return;
        }
        let gradient = (self.settings.latency_tolerance / ratio).clamp(0.5, 1.0);
        let reduced_limit = (congestion.limit * REDUCED_SHARE).max(floor);
        self.limit = (self.limit * gradient).max(reduced_limit);
    }

    /// Compares latency at the reduced concurrency with latency at the onset of congestion.
    fn compare(&mut self, in_flight: u32, now_us: u64) -> Option<f64> {
        let floor = self.floor();
        let congestion = self.congestion.as_mut()?;
        let Some(reduced) = congestion.reduced.as_mut() else {
            let is_long = now_us.saturating_sub(congestion.onset_us) >= self.reduction_after_us;
            let is_reduced = self.limit <= (congestion.limit * REDUCED_SHARE).max(floor);
            if is_long && !is_reduced {
                congestion.limit = self.limit;
            }
            if is_long || is_reduced {
                congestion.reduced = Some(Reduced {
                    since_us: now_us,
                    from_us: None,
                    is_forced: !is_reduced,
                    samples: Samples::default(),
                });
            }
            return None;
        };
        let reduced_limit = (congestion.limit * REDUCED_SHARE).max(floor);
        if reduced.from_us.is_none() && f64::from(in_flight) <= reduced_limit + 1.0 {
            let settling_us = (self.last_latency_us * SETTLING_LATENCIES) as u64;
            reduced.from_us = Some(now_us + settling_us.min(self.settings.reduction_after_us));
        }
        let counted_us = now_us.saturating_sub(reduced.from_us.unwrap_or(now_us));
        if now_us.saturating_sub(reduced.since_us) >= MAX_COMPARISON_US {
            self.congestion = None;
            self.raised_since_us = None;
            return None;
        }
        let is_few = reduced.samples.count < COMPARISON_SAMPLES;
        if is_few && (reduced.samples.count < FEW_COMPARISON_SAMPLES || counted_us < COMPARISON_US)
        {
            return None;
        }
        let measured = reduced.samples.ratio(0.0);
        let is_uniform = measured >= UNIFORM_SHARE * congestion.before.ratio(0.0);
        if is_uniform || reduced.is_forced {
            // After a long time of congestion the limit is steady, and a third of it is uncongested.
            self.reduction_after_us = (self.reduction_after_us * 2).min(MAX_REDUCTION_AFTER_US);
            self.congestion = None;
            self.raised_since_us = None;
            self.last_ratio = 1.0;
            return Some(measured);
        }
        *congestion = Congestion {
            onset_us: now_us,
            limit: self.limit,
            before: reduced.samples,
            reduced: None,
        };
        None
    }
}
