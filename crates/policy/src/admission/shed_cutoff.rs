use std::collections::BTreeMap;

use crate::admission::class_shares::ClassShares;
use crate::admission::AdmissionSettings;
use crate::admission::WorkClass;

/// Number of distinct shed hashes.
const HASH_COUNT: f64 = 65_536.0;

/// Weight of the newest window in the mean demand. With the default window the mean spans about
/// 150 ms.
const DEMAND_WEIGHT: f64 = 0.3;

/// Factor on the boost after a window in which no request was queued.
const BOOST_RISE: f64 = 1.25;

/// Factor on the boost after a window in which the queueing delay exceeded its target.
const BOOST_FALL: f64 = 0.7;

/// Maximum boost.
const MAX_BOOST: f64 = 32.0;

/// Weight of the newest window in the mean completed work.
const CAPACITY_WEIGHT: f64 = 0.3;

/// Weight of the newest request in the mean slot time of long requests.
const LONG_WORK_WEIGHT: f64 = 1.0 / 16.0;

/// Demand below which a rank is removed from the statistics, in slots.
const NEGLIGIBLE_SLOTS: f64 = 1e-4;

/// Minimum admitted share of a rank from which the demand of the whole rank is extrapolated.
const MIN_EXTRAPOLATED_SHARE: f64 = 0.1;

/// First step by which the cutoff rises, in levels; the step doubles with every window. Demand
/// above the cutoff is mostly refused at the entry and not visible here, so the cutoff must rise
/// gradually.
const FIRST_RISE_STEP: u32 = 1 << 13;

/// Level that admits everything.
const ADMIT_ALL_LEVEL: u32 = 1 << 24;

/// State of the gate at the end of a window.
#[derive(Debug, Clone, Copy)]
pub(super) struct GateLoad {
    pub(super) limit: u32,
    pub(super) in_flight: u32,
    pub(super) long_running: u32,
    /// Latency relative to the uncongested latency.
    pub(super) ratio: f64,
    /// Time until all queued short work has started, in µs.
    pub(super) queue_delay_us: u64,
}

/// Demand of one rank: slot time requested in the current window, in µs, and averages over windows,
/// in slots. Slot times are those without congestion.
#[derive(Debug, Clone, Copy, Default)]
struct RankDemand {
    short_admitted_us: u64,
    short_us: u64,
    long_us: u64,
    short_slots: f64,
    long_slots: f64,
}

impl RankDemand {
    fn total(&self) -> f64 {
        self.short_slots + self.long_slots
    }
}

/// Cutoff in rank and hash that limits the admitted demand to the capacity.
///
/// It follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018):
/// demand is counted by priority in short windows, and the cutoff is set where the total demand of
/// more important work reaches the capacity. Priority is the rank and, within a rank, the hash. The
/// capacity is the work that a busy server actually completes. It is corrected by the queueing
/// delay as in CoDel (Nichols and Jacobson, 2012), with a short standing queue as the target.
#[derive(Debug, Clone)]
pub(super) struct ShedCutoff {
    settings: AdmissionSettings,
    shares: ClassShares,
    demand: BTreeMap<u8, RankDemand>,
    window_start_us: u64,
    /// Cutoff with the hash in the lower 16 bits and the rank above them.
    level: u32,
    /// Step by which the cutoff rises next, in levels.
    step: u32,
    /// Demand relative to the capacity, at the end of the last window.
    overload: f64,
    /// Factor on the capacity that compensates for overestimated demand, for example when callers
    /// retry refused requests many times.
    boost: f64,
    /// Whether a request was queued in the current window.
    has_queued: bool,
    /// Slot time of the short work completed in the current window, in µs.
    completed_us: u64,
    /// Mean of the completed short work while the server is busy, in slots.
    completed_slots: f64,
    /// Mean slot time of one long request, in µs.
    long_work_us: f64,
}

impl ShedCutoff {
    pub(super) fn new(settings: &AdmissionSettings) -> Self {
        Self {
            settings: settings.clone(),
            shares: ClassShares { long_share: settings.long_share },
            demand: BTreeMap::new(),
            window_start_us: 0,
            level: ADMIT_ALL_LEVEL,
            step: FIRST_RISE_STEP,
            overload: 1.0,
            boost: 1.0,
            has_queued: false,
            completed_us: 0,
            completed_slots: 0.0,
            long_work_us: 0.0,
        }
    }

    /// Counts the demand of a request and returns whether it is admitted.
    pub(super) fn admit(&mut self, rank: u8, hash: u16, class: WorkClass, work_us: u64) -> bool {
        let is_admitted = (u32::from(rank) << 16 | u32::from(hash)) < self.level;
        let demand = self.demand.entry(rank).or_default();
        match class {
            WorkClass::Short => {
                demand.short_us += work_us;
                demand.short_admitted_us += if is_admitted { work_us } else { 0 };
            }
            WorkClass::Long => {
                demand.long_us += work_us;
                let work_us = work_us as f64;
                let is_first = self.long_work_us == 0.0;
                let weight = if is_first { 1.0 } else { LONG_WORK_WEIGHT };
                self.long_work_us += (work_us - self.long_work_us) * weight;
            }
        }
        is_admitted
    }

    /// Cutoff rank and hash, in the form used in the advice.
    pub(super) fn cutoff(&self) -> (u8, u16) {
        if self.level >= ADMIT_ALL_LEVEL {
            return (u8::MAX, u16::MAX);
        }
        ((self.level >> 16) as u8, self.level as u16)
    }

    /// Mean number of slots used by admitted short work up to and including `rank`.
    pub(super) fn short_slots(&self, rank: u8) -> f64 {
        let (cutoff_rank, cutoff_hash) = self.cutoff();
        let admitted_share = |rank: u8| match rank.cmp(&cutoff_rank) {
            std::cmp::Ordering::Less => 1.0,
            std::cmp::Ordering::Equal => f64::from(cutoff_hash) / HASH_COUNT,
            std::cmp::Ordering::Greater => 0.0,
        };
        self.demand
            .range(..=rank)
            .map(|(rank, demand)| demand.short_slots * admitted_share(*rank))
            .sum()
    }

    /// Time after which a shed request may be retried, in ms.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let factor = (self.overload / 2.0).clamp(1.0, 10.0);
        (self.settings.retry_after_ms as f64 * factor) as u64
    }

    pub(super) fn window_end_us(&self) -> u64 {
        self.window_start_us + self.settings.window_us
    }

    /// Time since the last window ended, in µs.
    pub(super) fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.window_start_us)
    }

    /// Records that a request had to wait.
    pub(super) fn record_queued(&mut self) {
        self.has_queued = true;
    }

    /// Counts completed short work.
    pub(super) fn record_completed(&mut self, work_us: u64) {
        self.completed_us += work_us;
    }

    /// Scales the measured demand after a change of the uncongested latencies, its unit.
    pub(super) fn scale_demand(&mut self, factor: f64) {
        self.completed_slots *= factor;
        for demand in self.demand.values_mut() {
            demand.short_slots *= factor;
            demand.long_slots *= factor;
        }
    }

    /// Capacity in slots, for run times without congestion.
    fn capacity(&mut self, load: &GateLoad, age_us: f64) -> f64 {
        let nominal = f64::from(load.limit) / load.ratio.max(1.0);
        let completed_slots = self.completed_us as f64 / age_us;
        self.completed_us = 0;
        if load.in_flight < load.limit {
            self.completed_slots = 0.0;
            return nominal;
        }
        if self.completed_slots == 0.0 {
            self.completed_slots = completed_slots.max(nominal - f64::from(load.long_running));
        }
        self.completed_slots += (completed_slots - self.completed_slots) * CAPACITY_WEIGHT;
        (self.completed_slots + f64::from(load.long_running)).max(1.0)
    }

    /// Sets the cutoff for the next window.
    pub(super) fn close_window(&mut self, load: &GateLoad, now_us: u64) {
        let age_us = self.age_us(now_us).max(1) as f64;
        self.window_start_us = now_us;
        self.update_averages(age_us);
        let capacity = self.capacity(load, age_us);
        let settings = &self.settings;
        let excess_us = settings.queue_target_us as f64 - load.queue_delay_us as f64;
        let correction =
            (1.0 + excess_us / settings.queue_horizon_us.max(1) as f64).clamp(0.2, 1.2);
        if load.queue_delay_us > settings.queue_target_us {
            self.boost = (self.boost * BOOST_FALL).max(1.0);
        } else if !self.has_queued && self.level < ADMIT_ALL_LEVEL {
            self.boost = (self.boost * BOOST_RISE).min(MAX_BOOST);
        }
        self.has_queued = false;
        let total: f64 = self.demand.values().map(RankDemand::total).sum();
        self.overload = total / capacity.max(1.0);
        let level = self.level_for(capacity * correction * self.boost);
        if level <= self.level {
            self.level = level;
            self.step = FIRST_RISE_STEP;
            return;
        }
        let top_level =
            self.demand.keys().next_back().map_or(0, |rank| (u32::from(*rank) + 1) << 16);
        // A window prolonged by idleness raises the cutoff by the steps of all missed windows.
        let windows = (age_us / settings.window_us.max(1) as f64).clamp(1.0, 24.0) as u32;
        let step = self.step.saturating_mul(1 << (windows - 1));
        let raised_level = self.level.saturating_add(step).min(level);
        self.level = if raised_level >= top_level { level.max(raised_level) } else { raised_level };
        self.step = step.saturating_mul(2).min(ADMIT_ALL_LEVEL);
    }

    fn update_averages(&mut self, age_us: f64) {
        let (cutoff_rank, cutoff_hash) = self.cutoff();
        let share = f64::from(cutoff_hash) / HASH_COUNT;
        // A window prolonged by idleness has the weight of all missed windows.
        let windows = (age_us / self.settings.window_us.max(1) as f64).max(1.0);
        let weight = 1.0 - (1.0 - DEMAND_WEIGHT).powf(windows);
        // One long request adds the slot time of many windows at once, so the averaging time for
        // long work is at least its run time.
        let long_weight = weight.min(age_us / self.long_work_us.max(1.0));
        for (rank, demand) in &mut self.demand {
            let mut short = demand.short_us as f64 / age_us;
            if *rank == cutoff_rank && share >= MIN_EXTRAPOLATED_SHARE {
                short = short.max(demand.short_admitted_us as f64 / age_us / share);
            }
            demand.short_slots += (short - demand.short_slots) * weight;
            demand.long_slots += (demand.long_us as f64 / age_us - demand.long_slots) * long_weight;
            (demand.short_admitted_us, demand.short_us, demand.long_us) = (0, 0, 0);
        }
        self.demand.retain(|_, demand| demand.total() > NEGLIGIBLE_SLOTS);
    }

    /// Level up to which the total demand equals the capacity.
    ///
    /// Long work that exceeds its maximum number of slots does not cause shedding of short work of
    /// its own rank, which would not free slots for it. It stops all less important ranks.
    fn level_for(&self, capacity: f64) -> u32 {
        let mut left = capacity;
        let mut short = 0.0;
        for (rank, demand) in &self.demand {
            short += demand.short_slots;
            let has_short = demand.short_slots >= 1.0;
            let long_limit = self.shares.long_limit(capacity as u32, short, true);
            let long = if has_short {
                demand.long_slots.min(f64::from(long_limit))
            } else {
                demand.long_slots
            };
            let total = demand.short_slots + long;
            if total > left {
                let hash = (left / total * HASH_COUNT) as u32;
                return (u32::from(*rank) << 16) + hash.min(u32::from(u16::MAX));
            }
            if long < demand.long_slots {
                return (u32::from(*rank) + 1) << 16;
            }
            left -= total;
        }
        ADMIT_ALL_LEVEL
    }
}
