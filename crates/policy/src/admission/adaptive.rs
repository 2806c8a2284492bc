use std::collections::BTreeMap;

use tarragon_model::call::Reason;

use crate::admission::class_shares::ClassShares;
use crate::admission::concurrency_limit::ConcurrencyLimit;
use crate::admission::rate_limit::RateLimit;
use crate::admission::run_times::RunTimes;
use crate::admission::shed_cutoff::GateLoad;
use crate::admission::shed_cutoff::ShedCutoff;
use crate::admission::shed_hash;
use crate::admission::wait_queue::WaitQueue;
use crate::admission::wait_queue::WaitingRequest;
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

/// Time without samples from short runs after which samples from long runs are used, in µs. The
/// latency of long runs mostly depends on the caller's network.
const SHORT_RUN_ABSENCE_US: u64 = 1_000_000;

/// Age above which an unfinished run counts as a slow sample, relative to the uncongested latency.
/// Without such samples, a server that has stopped responding would not be detected.
const STALLED_RATIO: f64 = 5.0;

/// Time since the last window after which the cutoff is outdated, in µs.
const CUTOFF_MAX_AGE_US: u64 = 250_000;

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    class: WorkClass,
    expected_us: u64,
    started_us: u64,
}

/// Admission control by measured latency, importance and deadline, see `docs/design.md`, section
/// 3.4.
///
/// The concurrency limit is derived from latency as in Netflix' `Gradient2Limit`, the cutoff in
/// rank and shed hash from demand as in DAGOR; the private modules `concurrency_limit` and
/// `shed_cutoff` cite the sources. Waiting requests run by rank and then in order of arrival. The
/// least important ones are evicted first, and a request is refused as soon as it can no longer
/// meet its deadline. A request costs O(log n) in the number of waiting and running requests;
/// memory is bounded by the limit and the queue length.
#[derive(Debug)]
pub struct AdaptiveAdmission {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    rate_limit: RateLimit,
    run_times: RunTimes,
    cutoff: ShedCutoff,
    shares: ClassShares,
    queue: WaitQueue,
    running: BTreeMap<Ticket, RunningRequest>,
    long_running: u32,
    /// Refusals of evicted and drained requests, which the next poll returns.
    pending_refusals: BTreeMap<Ticket, AdmissionRefusal>,
    is_draining: bool,
    last_ticket: u64,
    /// Time of the last complete response to a short request, in µs.
    last_short_end_us: u64,
    now_us: u64,
}

impl AdaptiveAdmission {
    /// Creates a policy that uses the default slots until the backend server announces its own.
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            settings: settings.clone(),
            limit: ConcurrencyLimit::new(settings),
            rate_limit: RateLimit::default(),
            run_times: RunTimes::new(),
            cutoff: ShedCutoff::new(settings),
            shares: ClassShares { long_share: settings.long_share },
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            long_running: 0,
            pending_refusals: BTreeMap::new(),
            is_draining: false,
            last_ticket: 0,
            last_short_end_us: 0,
            now_us: 0,
        }
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of concurrent runs below which another request may start.
    ///
    /// Long runs continue when the limit drops below the slots that they use. Short work then keeps
    /// its own share of the limit, which the long runs could otherwise block for their whole
    /// duration.
    fn max_running(&self) -> u32 {
        let limit = self.limit.value();
        let long_share = (f64::from(limit) * self.settings.long_share) as u32;
        let max_running_with_short = self.long_running + limit - long_share;
        limit.max(max_running_with_short.min(self.limit.slots()))
    }

    /// Advances the time and closes the windows that have ended.
    fn advance(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        self.rate_limit.advance(now_us);
        self.queue.mark_urgent(now_us);
        if now_us >= self.limit.window_end_us() {
            self.record_stalled(now_us);
            // Only the number of short runs can follow the limit within a window.
            let short_running = self.in_flight() - self.long_running;
            let in_flight = if short_running > 0 { short_running } else { self.in_flight() };
            if let Some(factor) = self.limit.close_window(in_flight, now_us) {
                self.run_times.scale_baselines(factor);
                self.cutoff.scale_demand(factor);
            }
        }
        if now_us >= self.cutoff.window_end_us() {
            let load = GateLoad {
                limit: self.limit.value(),
                in_flight: self.in_flight(),
                long_running: self.long_running,
                ratio: self.limit.last_ratio(),
                queue_delay_us: self.queue_delay_us(WorkClass::Short, u8::MAX),
            };
            self.cutoff.close_window(&load, now_us);
        }
    }

    /// Records runs that take far too long as samples. Their number is bounded by the limit, and
    /// each is recorded once per window.
    fn record_stalled(&mut self, now_us: u64) {
        for running in self.running.values().filter(|run| run.class == WorkClass::Short) {
            let age_us = now_us.saturating_sub(running.started_us) as f64;
            let baseline_us = self.run_times.baseline_us(running.class, running.expected_us);
            if let Some(baseline_us) =
                baseline_us.filter(|baseline_us| age_us > baseline_us * STALLED_RATIO)
            {
                self.limit.record_unfinished(age_us, age_us / baseline_us);
            }
        }
    }

    fn long_limit(&self, rank: u8, is_urgent: bool) -> u32 {
        // An urgent request takes slots only from less important work.
        let short_slots = self.cutoff.short_slots(if is_urgent { rank } else { u8::MAX });
        let short_slots = short_slots * self.limit.last_ratio().max(1.0);
        self.shares.long_limit(self.limit.value(), short_slots, is_urgent)
    }

    /// Time until all queued work of a class up to and including a rank has started, in µs.
    fn queue_delay_us(&self, class: WorkClass, rank: u8) -> u64 {
        self.slot_delay_us(class, rank).max(self.rate_delay_us(rank))
    }

    /// Time until the rate limit admits a request after the queued ones up to its rank, in µs.
    fn rate_delay_us(&self, rank: u8) -> u64 {
        if !self.rate_limit.is_set() {
            return 0;
        }
        self.rate_limit.wait_us(self.queue.count_up_to(rank))
    }

    fn slot_delay_us(&self, class: WorkClass, rank: u8) -> u64 {
        let slots = match class {
            WorkClass::Short => self.max_running().saturating_sub(self.long_running),
            WorkClass::Long => self.long_limit(rank, true),
        };
        self.queue.queued_work_us(class, rank) / u64::from(slots.max(1))
    }

    /// Returns the waiting request that runs next, if a slot is free for it.
    fn next_to_run(&self) -> Option<&WaitingRequest> {
        if self.in_flight() >= self.max_running() || !self.rate_limit.may_start() {
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

    fn start(&mut self, waiting: &WaitingRequest, now_us: u64) {
        self.long_running += u32::from(waiting.class == WorkClass::Long);
        let WaitingRequest { ticket, class, expected_us, .. } = *waiting;
        self.running.insert(ticket, RunningRequest { class, expected_us, started_us: now_us });
        self.limit.record_start(self.running.len() as u32);
        self.rate_limit.record_start();
    }

    fn refusal(&self, reason: Reason) -> AdmissionRefusal {
        AdmissionRefusal { reason, retry_after_ms: self.cutoff.retry_after_ms() }
    }

    /// Makes room in a full queue for a request with this rank and hash. Returns false if every
    /// waiting request is to be kept in preference to it.
    fn make_room(&mut self, rank: u8, hash: u16) -> bool {
        let is_full = self.queue.len() + self.pending_refusals.len() >= self.settings.max_queue;
        !is_full || self.evict_less_important(rank, hash)
    }

    /// Evicts the waiting request that is shed first, unless a request with this rank and hash
    /// would be shed before it. Returns whether a request was evicted.
    fn evict_less_important(&mut self, rank: u8, hash: u16) -> bool {
        let first_to_shed = self
            .queue
            .first_to_shed()
            .filter(|waiting| (waiting.rank, waiting.hash) > (rank, hash));
        let Some(ticket) = first_to_shed.map(|waiting| waiting.ticket) else {
            return false;
        };
        // Refusals are stored until the next poll, so their number needs a bound.
        if self.pending_refusals.len() >= self.settings.max_queue {
            return false;
        }
        self.queue.remove(ticket);
        let refusal = self.refusal(Reason::Shed);
        self.pending_refusals.insert(ticket, refusal);
        true
    }

    fn record_latency(&mut self, run: &RunningRequest, result: &RunResult, now_us: u64) {
        let RunningRequest { class, expected_us, .. } = *run;
        let baseline_us = self.run_times.baseline_us(class, expected_us);
        let first_byte_us =
            if result.first_byte_us > 0 { result.first_byte_us } else { result.run_us };
        let is_answered = result.outcome == RunOutcome::Answered;
        let is_short_run_absent =
            now_us.saturating_sub(self.last_short_end_us) >= SHORT_RUN_ABSENCE_US;
        if class == WorkClass::Short && is_answered {
            self.last_short_end_us = now_us;
        }
        if class == WorkClass::Short || is_short_run_absent {
            let latency_us = if is_answered { first_byte_us } else { result.run_us } as f64;
            match baseline_us.map(|baseline_us| latency_us / baseline_us) {
                Some(ratio) if is_answered => self.limit.record(latency_us, ratio, now_us),
                // The duration of an incomplete run is only a lower bound.
                Some(ratio) if ratio > STALLED_RATIO => {
                    self.limit.record_unfinished(latency_us, ratio);
                }
                _ => {}
            }
        }
        if is_answered {
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
            self.run_times.record_incomplete(class, expected_us, result.run_us, now_us);
        }
    }
}

impl AdmissionPolicy for AdaptiveAdmission {
    fn offer(&mut self, request: &AdmissionRequest, now_us: u64) -> AdmissionDecision {
        self.advance(now_us);
        if self.is_draining {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: Reason::Draining,
                retry_after_ms: 0,
            });
        }
        let AdmissionRequest { rank, class, expected_us, deadline_left_us, .. } = *request;
        let hash = shed_hash(request.request_id);
        let run_us = self.run_times.estimate_us(class, expected_us, now_us);
        let work_us = self.run_times.work_us(class, expected_us);
        let demand_us = self.run_times.baseline_work_us(class, expected_us);
        let is_admitted = self.cutoff.admit(rank, hash, class, demand_us);
        if deadline_left_us == 0 || run_us > deadline_left_us {
            return AdmissionDecision::Refuse(self.refusal(Reason::Late));
        }
        // Waiting requests that an earlier, higher cutoff admitted are evicted first.
        if !is_admitted && !self.evict_less_important(rank, hash) {
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let slack_us = deadline_left_us - run_us;
        let latest_start_us = now_us.saturating_add(slack_us);
        let mut waiting = WaitingRequest {
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
        // A long request is refused only if less important work of all classes already waits.
        let is_less_important_work_stopped = class == WorkClass::Short
            || self.queue.urgent_rank().is_some_and(|urgent| urgent <= rank);
        if delay_us > slack_us && is_less_important_work_stopped {
            return AdmissionDecision::Refuse(self.refusal(Reason::Late));
        }
        if !self.make_room(rank, hash) {
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed));
        }
        self.queue.insert(waiting);
        self.cutoff.record_queued();
        AdmissionDecision::Wait(ticket)
    }

    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64) {
        let Some(run) = self.running.remove(&ticket) else { return };
        match run.class {
            WorkClass::Short => {
                let work_us = self.run_times.baseline_work_us(run.class, run.expected_us);
                self.cutoff.record_completed(work_us);
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
        let pending_refusals = std::mem::take(&mut self.pending_refusals);
        let mut decisions: Vec<QueueDecision> = pending_refusals
            .into_iter()
            .map(|(ticket, refusal)| QueueDecision::Refuse(ticket, refusal))
            .collect();
        while let Some(ticket) = self.queue.expired(now_us) {
            self.queue.remove(ticket);
            decisions.push(QueueDecision::Refuse(ticket, self.refusal(Reason::Late)));
        }
        while let Some(waiting) = self.next_to_run().copied() {
            self.queue.remove(waiting.ticket);
            // The server may have become slower since the request was queued.
            let run_us = self.run_times.estimate_us(waiting.class, waiting.expected_us, now_us);
            if now_us.saturating_add(run_us) > waiting.deadline_us {
                decisions.push(QueueDecision::Refuse(waiting.ticket, self.refusal(Reason::Late)));
                continue;
            }
            self.start(&waiting, now_us);
            decisions.push(QueueDecision::Run(waiting.ticket));
        }
        decisions
    }

    fn next_poll_us(&self) -> Option<u64> {
        if !self.pending_refusals.is_empty() || self.next_to_run().is_some() {
            return Some(self.now_us);
        }
        let event_us = self.queue.next_event_us()?;
        let next_start_us = self.rate_limit.next_start_us().unwrap_or(u64::MAX);
        // The limit may rise at the end of a window without any other event.
        let window_end_us = self.limit.window_end_us().min(next_start_us);
        Some(event_us.min(window_end_us.max(self.now_us + 1)))
    }

    fn withdraw(&mut self, ticket: Ticket, now_us: u64) {
        if self.queue.remove(ticket).is_none() {
            self.pending_refusals.remove(&ticket);
        }
        self.advance(now_us);
    }

    fn advice(&self, now_us: u64) -> AdmissionAdvice {
        let (in_flight, limit) = (self.in_flight(), self.limit.value());
        let (cutoff_rank, cutoff_hash) = if self.is_draining {
            (0, 0)
        } else if self.queue.is_empty() && self.cutoff.age_us(now_us) > CUTOFF_MAX_AGE_US {
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
            self.pending_refusals.extend(tickets.into_iter().map(|ticket| (ticket, refusal)));
        } else if self.is_draining {
            self.limit.restart();
        }
        self.is_draining = is_draining;
    }

    fn set_slots(&mut self, slots: u32, now_us: u64) {
        self.advance(now_us);
        self.limit.set_slots(slots);
    }

    fn set_rate_limit(&mut self, max_requests_per_s: Option<f64>, now_us: u64) {
        self.advance(now_us);
        self.rate_limit.set(max_requests_per_s, now_us);
    }
}
