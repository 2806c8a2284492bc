use std::collections::BTreeMap;

use crate::admission::class_shares::ClassShares;
use crate::admission::AdmissionSettings;
use crate::admission::WorkClass;

/// Number of different shed hashes.
const HASHES: f64 = 65_536.0;

/// Weight of the newest window in the demand; about 150 ms at the default window.
const DEMAND_WEIGHT: f64 = 0.3;

/// Change of the boost in a window in which no request waited, and in one in which the queue was
/// over its target.
const BOOST_RISE: f64 = 1.25;
const BOOST_FALL: f64 = 0.7;
const MAX_BOOST: f64 = 32.0;

/// Weight of the newest window in the completed work.
const CAPACITY_WEIGHT: f64 = 0.3;

/// Weight of the newest request in the mean slot time of long requests.
const LONG_WORK_WEIGHT: f64 = 1.0 / 16.0;

/// Demand below which a rank is forgotten, in slots.
const NEGLIGIBLE_SLOTS: f64 = 1e-4;

/// Smallest admitted share of a rank from which the demand of the whole rank is extrapolated.
const MIN_EXTRAPOLATED_SHARE: f64 = 0.1;

/// First step by which the cutoff rises, in levels; it doubles with every window. Demand above the
/// cutoff is mostly refused at its entry and thus unknown here, so the cutoff cannot jump.
const FIRST_STEP: u32 = 1 << 13;

/// Level that admits everything.
const OPEN: u32 = 1 << 24;

/// State of the gate at the end of a window.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) limit: u32,
    pub(super) in_flight: u32,
    pub(super) long_running: u32,
    /// Latency relative to the uncongested latency.
    pub(super) ratio: f64,
    /// Time until the queued short work has started, in µs.
    pub(super) queue_delay_us: u64,
}

/// Demand of one rank: slot time offered in this window, in µs, and averages in slots. Slot times
/// are those without congestion.
#[derive(Debug, Clone, Copy, Default)]
struct RankDemand {
    short_admitted_us: u64,
    short_us: u64,
    long_us: u64,
    short: f64,
    long: f64,
}

impl RankDemand {
    fn total(&self) -> f64 {
        self.short + self.long
    }
}

/// Cutoff in rank and hash that matches the admitted demand to the capacity.
///
/// After DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018):
/// demand is counted per priority in short windows, and the cutoff is set where the sum of the
/// demand of all more important work reaches the capacity. Ranks are followed by the hash within
/// the rank. The capacity is what a busy server really completes. It is corrected by the queueing delay, as in CoDel (Nichols and Jacobson,
/// 2012) with a short standing queue as the target.
#[derive(Debug, Clone)]
pub(super) struct ShedCutoff {
    settings: AdmissionSettings,
    shares: ClassShares,
    demand: BTreeMap<u8, RankDemand>,
    window_start_us: u64,
    /// Rank in the upper byte, hash in the lower 16 bits.
    level: u32,
    step: u32,
    overload: f64,
    /// Factor of the capacity that makes up for demand counted too high, such as that of callers
    /// whose refused requests come back many times.
    boost: f64,
    has_waiting: bool,
    /// Slot time of the short work that ended in this window, in µs, and its average in slots
    /// while the server was busy.
    completed_us: u64,
    completed: f64,
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
            level: OPEN,
            step: FIRST_STEP,
            overload: 1.0,
            boost: 1.0,
            has_waiting: false,
            completed_us: 0,
            completed: 0.0,
            long_work_us: 0.0,
        }
    }

    /// Counts an offered request and tells whether it is admitted.
    pub(super) fn offer(&mut self, rank: u8, hash: u16, class: WorkClass, work_us: u64) -> bool {
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

    /// Cutoff rank and hash as advice states them.
    pub(super) fn cutoff(&self) -> (u8, u16) {
        if self.level >= OPEN {
            return (u8::MAX, u16::MAX);
        }
        ((self.level >> 16) as u8, self.level as u16)
    }

    /// Slots that admitted short work up to and including `rank` keeps busy on average.
    pub(super) fn short_slots(&self, rank: u8) -> f64 {
        let (cutoff_rank, cutoff_hash) = self.cutoff();
        let admitted = |at: u8| match at.cmp(&cutoff_rank) {
            std::cmp::Ordering::Less => 1.0,
            std::cmp::Ordering::Equal => f64::from(cutoff_hash) / HASHES,
            std::cmp::Ordering::Greater => 0.0,
        };
        self.demand.range(..=rank).map(|(at, demand)| demand.short * admitted(*at)).sum()
    }

    /// When a shed caller may try again, in ms.
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

    /// Records that a request could not run at once.
    pub(super) fn record_wait(&mut self) {
        self.has_waiting = true;
    }

    /// Counts short work that has ended.
    pub(super) fn complete(&mut self, work_us: u64) {
        self.completed_us += work_us;
    }

    /// Follows a change of the uncongested latencies, in which all demand is counted.
    pub(super) fn scale(&mut self, factor: f64) {
        self.completed *= factor;
        for demand in self.demand.values_mut() {
            demand.short *= factor;
            demand.long *= factor;
        }
    }

    /// Capacity in slots without congestion.
    fn capacity(&mut self, load: &Load, age_us: f64) -> f64 {
        let nominal = f64::from(load.limit) / load.ratio.max(1.0);
        let completed = self.completed_us as f64 / age_us;
        self.completed_us = 0;
        if load.in_flight < load.limit {
            self.completed = 0.0;
            return nominal;
        }
        if self.completed == 0.0 {
            self.completed = completed.max(nominal - f64::from(load.long_running));
        }
        self.completed += (completed - self.completed) * CAPACITY_WEIGHT;
        (self.completed + f64::from(load.long_running)).max(1.0)
    }

    /// Sets the cutoff for the next window.
    pub(super) fn close_window(&mut self, load: &Load, now_us: u64) {
        let age_us = self.age_us(now_us).max(1) as f64;
        self.window_start_us = now_us;
        self.average(age_us);
        let capacity = self.capacity(load, age_us);
        let settings = &self.settings;
        let excess_us = settings.queue_target_us as f64 - load.queue_delay_us as f64;
        let correction =
            (1.0 + excess_us / settings.queue_horizon_us.max(1) as f64).clamp(0.2, 1.2);
        if load.queue_delay_us > settings.queue_target_us {
            self.boost = (self.boost * BOOST_FALL).max(1.0);
        } else if !self.has_waiting && self.level < OPEN {
            self.boost = (self.boost * BOOST_RISE).min(MAX_BOOST);
        }
        self.has_waiting = false;
        let total: f64 = self.demand.values().map(RankDemand::total).sum();
        self.overload = total / capacity.max(1.0);
        let level = self.level_for(capacity * correction * self.boost);
        if level <= self.level {
            self.level = level;
            self.step = FIRST_STEP;
            return;
        }
        let top = self.demand.keys().next_back().map_or(0, |rank| (u32::from(*rank) + 1) << 16);
        // A window that was prolonged by idleness raises the cutoff as often as it should have.
        let windows = (age_us / settings.window_us.max(1) as f64).clamp(1.0, 24.0) as u32;
        let step = self.step.saturating_mul(1 << (windows - 1));
        let reached = self.level.saturating_add(step).min(level);
        self.level = if reached >= top { level.max(reached) } else { reached };
        self.step = step.saturating_mul(2).min(OPEN);
    }

    fn average(&mut self, age_us: f64) {
        let (cutoff_rank, cutoff_hash) = self.cutoff();
        let share = f64::from(cutoff_hash) / HASHES;
        // A window that was prolonged by idleness weighs as much as the windows it stands for.
        let windows = (age_us / self.settings.window_us.max(1) as f64).max(1.0);
        let weight = 1.0 - (1.0 - DEMAND_WEIGHT).powf(windows);
        // One long request offers the slot time of many windows at once, so its average spans the
        // time that it runs.
        let long_weight = weight.min(age_us / self.long_work_us.max(1.0));
        for (rank, demand) in &mut self.demand {
            let mut short = demand.short_us as f64 / age_us;
            if *rank == cutoff_rank && share >= MIN_EXTRAPOLATED_SHARE {
                short = short.max(demand.short_admitted_us as f64 / age_us / share);
            }
            demand.short += (short - demand.short) * weight;
            demand.long += (demand.long_us as f64 / age_us - demand.long) * long_weight;
            (demand.short_admitted_us, demand.short_us, demand.long_us) = (0, 0, 0);
        }
        self.demand.retain(|_, demand| demand.total() > NEGLIGIBLE_SLOTS);
    }

    /// Level below which the demand adds up to the capacity.
    ///
    /// Long work that no slots can be lent to does not shed short work of its own rank, which could
    /// not make room for it, but it stops every less important rank.
    fn level_for(&self, capacity: f64) -> u32 {
        let mut left = capacity;
        let mut short = 0.0;
        for (rank, demand) in &self.demand {
            short += demand.short;
            let has_short = demand.short >= 1.0;
            let long_limit = self.shares.long_limit(capacity as u32, short, true);
            let long = if has_short { demand.long.min(f64::from(long_limit)) } else { demand.long };
            let total = demand.short + long;
            if total > left {
                let hash = (left / total * HASHES) as u32;
                return (u32::from(*rank) << 16) + hash.min(u32::from(u16::MAX));
            }
            if long < demand.long {
                return (u32::from(*rank) + 1) << 16;
            }
            left -= total;
        }
        OPEN
    }
}
