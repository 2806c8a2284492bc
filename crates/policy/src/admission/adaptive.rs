use std::collections::BTreeMap;

use tarragon_model::call::Reason;

use crate::admission::class_shares::ClassShares;
use crate::admission::concurrency_limit::ConcurrencyLimit;
use crate::admission::run_times::RunTimes;
use crate::admission::shed_cutoff::Load;
use crate::admission::shed_cutoff::ShedCutoff;
use crate::admission::shed_hash;
use crate::admission::wait_queue::WaitQueue;
use crate::admission::wait_queue::Waiting;
use crate::admission::AdmissionAdvice;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRefusal;
use crate::admission::AdmissionRequest;
use crate::admission::AdmissionSettings;
use crate::admission::QueueDecision;
use crate::admission::RunOutcome;
use crate::admission::RunResult;
use crate::admission::Ticket;
use crate::admission::WorkClass;

/// Time without short samples after which long runs tell the latency, in µs. Long runs mostly
/// measure the caller's network.
const SHORT_ABSENT_US: u64 = 1_000_000;

/// Age, relative to the uncongested latency, from which an unfinished run counts as a slow sample,
/// so that a server which answers nothing is noticed too.
const STALLED_RATIO: f64 = 5.0;

/// Time without windows after which the last cutoff says nothing, in µs.
const CUTOFF_VALID_US: u64 = 250_000;

#[derive(Debug, Clone, Copy)]
struct Running {
    class: WorkClass,
    expected_us: u64,
    started_us: u64,
}

/// Admission by learnt concurrency, importance and deadline, see `docs/design.md`, section 3.4.
///
/// The limit is learnt from latency as in Netflix' `Gradient2Limit`, the cutoff in rank and shed
/// hash from demand as in DAGOR; the private modules `concurrency_limit` and `shed_cutoff` name
/// the sources. Waiting requests run by rank and then in order of arrival, are evicted from the
/// least important up, and are refused as soon as their deadline cannot be met. A request costs
/// O(log n) in the number of waiting and running requests; memory is bounded by the limit and the
/// queue length.
#[derive(Debug)]
pub struct AdaptiveAdmission {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    run_times: RunTimes,
    cutoff: ShedCutoff,
    shares: ClassShares,
    queue: WaitQueue,
    running: BTreeMap<Ticket, Running>,
    long_running: u32,
    evicted: BTreeMap<Ticket, AdmissionRefusal>,
    is_draining: bool,
    last_ticket: u64,
    last_short_us: u64,
    now_us: u64,
}

impl AdaptiveAdmission {
    /// Creates a gate that assumes the default slots until the backend server announces its own.
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            settings: settings.clone(),
            limit: ConcurrencyLimit::new(settings),
            run_times: RunTimes::new(),
            cutoff: ShedCutoff::new(settings),
            shares: ClassShares { long_share: settings.long_share },
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            long_running: 0,
            evicted: BTreeMap::new(),
            is_draining: false,
            last_ticket: 0,
            last_short_us: 0,
            now_us: 0,
        }
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of runs up to which a request may start.
    ///
    /// Long work that runs on lent slots goes on when the limit falls. Short work then keeps its
    /// own share of the limit, because the long runs may block it for their whole duration.
    fn start_limit(&self) -> u32 {
        let limit = self.limit.value();
        let long_share = (f64::from(limit) * self.settings.long_share) as u32;
        let with_short = self.long_running + limit - long_share;
        limit.max(with_short.min(self.limit.slots()))
    }

    /// Closes the windows that have ended.
    fn advance(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        self.queue.mark_urgent(now_us);
        if now_us >= self.limit.window_end_us() {
            self.record_stalled(now_us);
            // Short runs alone can follow the limit within a window.
            let short_running = self.in_flight() - self.long_running;
            let in_flight = if short_running > 0 { short_running } else { self.in_flight() };
            if let Some(factor) = self.limit.close_window(in_flight, now_us) {
                self.run_times.scale_baselines(factor);
                self.cutoff.scale(factor);
            }
        }
        if now_us >= self.cutoff.window_end_us() {
            let load = Load {
                limit: self.limit.value(),
                in_flight: self.in_flight(),
                long_running: self.long_running,
                ratio: self.limit.last_ratio(),
                queue_delay_us: self.queue_delay_us(WorkClass::Short, u8::MAX),
            };
            self.cutoff.close_window(&load, now_us);
        }
    }

    /// Counts the runs that last far too long as samples. Their number is bounded by the limit and
    /// they are counted once a window.
    fn record_stalled(&mut self, now_us: u64) {
        for running in self.running.values().filter(|r| r.class == WorkClass::Short) {
            let age_us = now_us.saturating_sub(running.started_us) as f64;
            let baseline_us = self.run_times.baseline_us(running.class, running.expected_us);
            if let Some(baseline_us) = baseline_us.filter(|b| age_us > b * STALLED_RATIO) {
                self.limit.record_unfinished(age_us, age_us / baseline_us);
            }
        }
    }

    fn long_limit(&self, rank: u8, is_urgent: bool) -> u32 {
        // Lending for an urgent request stops only less important work.
        let short_slots = self.cutoff.short_slots(if is_urgent { rank } else { u8::MAX });
        let short_slots = short_slots * self.limit.last_ratio().max(1.0);
        self.shares.long_limit(self.limit.value(), short_slots, is_urgent)
    }

    /// Time until the queued work of a class up to and including a rank has started, in µs.
    fn queue_delay_us(&self, class: WorkClass, rank: u8) -> u64 {
        let slots = match class {
            WorkClass::Short => self.start_limit().saturating_sub(self.long_running),
            WorkClass::Long => self.long_limit(rank, true),
        };
        self.queue.work_up_to_us(class, rank) / u64::from(slots.max(1))
    }

    /// The waiting request that runs next, if a slot is free for it.
    fn next_to_run(&self) -> Option<&Waiting> {
        if self.in_flight() >= self.start_limit() {
            return None;
        }
        let urgent_rank = self.queue.urgent_rank();
        let short = self.queue.first(WorkClass::Short);
        let short = short.filter(|waiting| urgent_rank.is_none_or(|rank| waiting.rank <= rank));
        let long = self.queue.first(WorkClass::Long).filter(|waiting| {
            self.long_running < self.long_limit(waiting.rank, urgent_rank.is_some())
        });
        short.into_iter().chain(long).min_by_key(|waiting| (waiting.rank, waiting.ticket))
    }

    fn start(&mut self, waiting: &Waiting, now_us: u64) {
        self.long_running += u32::from(waiting.class == WorkClass::Long);
        let Waiting { ticket, class, expected_us, .. } = *waiting;
        self.running.insert(ticket, Running { class, expected_us, started_us: now_us });
        self.limit.record_start(self.running.len() as u32);
    }

    fn refusal(&self, reason: Reason) -> AdmissionRefusal {
        AdmissionRefusal { reason, retry_after_ms: self.cutoff.retry_after_ms() }
    }

    /// Makes room in a full queue. Returns false if nothing is less worth keeping.
    fn make_room(&mut self, rank: u8, hash: u16) -> bool {
        let is_full = self.queue.len() + self.evicted.len() >= self.settings.max_queue;
        !is_full || self.evict_below(rank, hash)
    }

    /// Evicts the waiting request that is least worth keeping, if it is worth less than this.
    fn evict_below(&mut self, rank: u8, hash: u16) -> bool {
        let worst = self.queue.least_worth().filter(|w| (w.rank, w.hash) > (rank, hash));
        let Some(ticket) = worst.map(|worst| worst.ticket) else { return false };
        // The evicted are kept until they are polled; this bounds them.
        if self.evicted.len() >= self.settings.max_queue {
            return false;
        }
        self.queue.remove(ticket);
        let refusal = self.refusal(Reason::Shed);
        self.evicted.insert(ticket, refusal);
        true
    }

    fn record_latency(&mut self, run: &Running, result: &RunResult, now_us: u64) {
        let Running { class, expected_us, .. } = *run;
        let baseline_us = self.run_times.baseline_us(class, expected_us);
        let first_byte_us =
            if result.first_byte_us > 0 { result.first_byte_us } else { result.run_us };
        let is_whole = result.outcome == RunOutcome::Answered;
        let has_waited_for_short = now_us.saturating_sub(self.last_short_us) >= SHORT_ABSENT_US;
        if class == WorkClass::Short && is_whole {
            self.last_short_us = now_us;
        }
        if class == WorkClass::Short || has_waited_for_short {
            let latency_us = if is_whole { first_byte_us } else { result.run_us } as f64;
            match baseline_us.map(|baseline_us| latency_us / baseline_us) {
                Some(ratio) if is_whole => self.limit.record(latency_us, ratio, now_us),
                // A run that was cut off tells only that it would have lasted longer.
                Some(ratio) if ratio > STALLED_RATIO => {
                    self.limit.record_unfinished(latency_us, ratio);
                }
                _ => {}
            }
        }
        if is_whole {
            let is_uncongested = self.limit.is_uncongested();
            let run_us = result.run_us;
            self.run_times.record(
                class,
                expected_us,
                run_us,
                first_byte_us,
                is_uncongested,
                now_us,
            );
        } else {
            self.run_times.record_cut(class, expected_us, result.run_us, now_us);
        }
    }
}

impl AdmissionPolicy for AdaptiveAdmission {
    fn offer(&mut self, offer: &AdmissionRequest, now_us: u64) -> AdmissionDecision {
        self.advance(now_us);
        if self.is_draining {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: Reason::Draining,
                retry_after_ms: 0,
            });
        }
        let AdmissionRequest { rank, class, expected_us, deadline_left_us, .. } = *offer;
        let hash = shed_hash(offer.request_id);
        let run_us = self.run_times.estimate_us(class, expected_us, now_us);
        let work_us = self.run_times.work_us(class, expected_us);
        let demand_us = self.run_times.baseline_work_us(class, expected_us);
        let is_admitted = self.cutoff.offer(rank, hash, class, demand_us);
        if deadline_left_us == 0 || run_us > deadline_left_us {
            return AdmissionDecision::Refuse(self.refusal(Reason::Late));
        }
        // Work that was admitted under an earlier, higher cutoff gives way first.
        if !is_admitted && !self.evict_below(rank, hash) {
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let slack_us = deadline_left_us - run_us;
        let latest_start_us = now_us.saturating_add(slack_us);
        let mut waiting = Waiting {
            ticket,
            rank,
            hash,
            class,
            expected_us,
            work_us,
            deadline_us: now_us.saturating_add(deadline_left_us),
            latest_start_us,
            urgent_us: now_us,
        };
        let delay_us = self.queue_delay_us(class, rank);
        waiting.urgent_us = now_us.saturating_add((slack_us / 2).saturating_sub(delay_us));
        self.queue.insert(waiting);
        if self.next_to_run().is_some_and(|next| next.ticket == ticket) {
            self.queue.remove(ticket);
            self.start(&waiting, now_us);
            return AdmissionDecision::Run(ticket);
        }
        self.queue.remove(ticket);
        // Long work is refused only once less important work of every class has stopped for it.
        let has_stopped_others = class == WorkClass::Short
            || self.queue.urgent_rank().is_some_and(|urgent| urgent <= rank);
        if delay_us > slack_us && has_stopped_others {
            return AdmissionDecision::Refuse(self.refusal(Reason::Late));
        }
        if !self.make_room(rank, hash) {
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed));
        }
        self.queue.insert(waiting);
        self.cutoff.record_wait();
        AdmissionDecision::Wait(ticket)
    }

    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64) {
        let Some(run) = self.running.remove(&ticket) else { return };
        match run.class {
            WorkClass::Short => {
                let work_us = self.run_times.baseline_work_us(run.class, run.expected_us);
                self.cutoff.complete(work_us);
            }
            WorkClass::Long => self.long_running -= 1,
        }
        if result.outcome == RunOutcome::Rejected {
            self.limit.record_rejected();
        } else {
            self.record_latency(&run, result, now_us);
        }
        self.advance(now_us);
    }

    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.advance(now_us);
        let evicted = std::mem::take(&mut self.evicted);
        let mut releases: Vec<QueueDecision> = evicted
            .into_iter()
            .map(|(ticket, refusal)| QueueDecision::Refuse(ticket, refusal))
            .collect();
        while let Some(ticket) = self.queue.expired(now_us) {
            self.queue.remove(ticket);
            releases.push(QueueDecision::Refuse(ticket, self.refusal(Reason::Late)));
        }
        while let Some(waiting) = self.next_to_run().copied() {
            self.queue.remove(waiting.ticket);
            // The server may have become slower since the request began to wait.
            let run_us = self.run_times.estimate_us(waiting.class, waiting.expected_us, now_us);
            if now_us.saturating_add(run_us) > waiting.deadline_us {
                releases.push(QueueDecision::Refuse(waiting.ticket, self.refusal(Reason::Late)));
                continue;
            }
            self.start(&waiting, now_us);
            releases.push(QueueDecision::Run(waiting.ticket));
        }
        releases
    }

    fn next_poll_us(&self) -> Option<u64> {
        if !self.evicted.is_empty() || self.next_to_run().is_some() {
            return Some(self.now_us);
        }
        let event_us = self.queue.next_event_us()?;
        // The limit may rise when a window ends, without any other event.
        Some(event_us.min(self.limit.window_end_us().max(self.now_us + 1)))
    }

    fn withdraw(&mut self, ticket: Ticket, now_us: u64) {
        if self.queue.remove(ticket).is_none() {
            self.evicted.remove(&ticket);
        }
        self.advance(now_us);
    }

    fn advice(&self, now_us: u64) -> AdmissionAdvice {
        let (in_flight, limit) = (self.in_flight(), self.limit.value());
        let (cutoff_rank, cutoff_hash) = if self.is_draining {
            (0, 0)
        } else if self.queue.is_empty() && self.cutoff.age_us(now_us) > CUTOFF_VALID_US {
            (u8::MAX, u16::MAX)
        } else {
            self.cutoff.cutoff()
        };
        AdmissionAdvice { cutoff_rank, cutoff_hash, in_flight, limit }
    }

    fn set_drain(&mut self, is_draining: bool, now_us: u64) {
        self.advance(now_us);
        if is_draining {
            let refusal = AdmissionRefusal { reason: Reason::Draining, retry_after_ms: 0 };
            let tickets = self.queue.take_all();
            self.evicted.extend(tickets.into_iter().map(|ticket| (ticket, refusal)));
        } else if self.is_draining {
            self.limit.restart();
        }
        self.is_draining = is_draining;
    }

    fn set_slots(&mut self, slots: u32, now_us: u64) {
        self.advance(now_us);
        self.limit.set_slots(slots);
    }
}
