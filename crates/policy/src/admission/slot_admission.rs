use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use tarragon_model::call::Reason;

use crate::admission::kind_limits::KindLimits;
use crate::admission::rate_limit::RateLimit;
use crate::admission::run_time_means::RunTimeMeans;
use crate::admission::AdmissionAdvice;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRefusal;
use crate::admission::AdmissionRequest;
use crate::admission::KindLimitSettings;
use crate::admission::MeanRunTime;
use crate::admission::QueueDecision;
use crate::admission::RunOutcome;
use crate::admission::RunResult;
use crate::admission::Ticket;

/// Settings of [`SlotAdmission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotAdmissionSettings {
    /// Share of the announced slots that is used. Servers become slower when all slots are in use.
    pub used_share: f64,
    /// Number of slots assumed until the backend server announces its own.
    pub default_slots: u32,
    /// Maximum number of waiting requests.
    pub max_queue: usize,
    /// Run time assumed for a kind of request without measurements, in µs.
    pub default_run_us: u64,
    /// Minimum time left at the start of a run, as a share of the mean run time. Run times vary, so
    /// many runs take less than the mean.
    pub min_run_share: f64,
    /// Maximum predicted wait, as a share of the time left. The rest is for the run itself and, if
    /// the request is one of several calls made by another request, for the other calls.
    pub max_wait_share: f64,
    /// Minimum retry delay for refused requests, in ms. The queue is short, so the predicted wait
    /// does not reflect the duration of the overload.
    pub min_retry_after_ms: u64,
    /// Concurrency limits for kinds of requests whose calls to other services are refused.
    pub kind_limits: KindLimitSettings,
    /// Predicted wait above which the advice directs calling nodes to other gates, in µs.
    pub advice_min_wait_us: u64,
}

impl Default for SlotAdmissionSettings {
    fn default() -> Self {
        Self {
            used_share: 0.95,
            default_slots: 16,
            max_queue: 1_024,
            default_run_us: 100_000,
            min_run_share: 0.5,
            // After six sequential calls with this wait, a chain has over a third of its time left.
            max_wait_share: 0.15,
            // About a third of the shortest client deadline (2 s). Clients honour delays of this
            // length.
            min_retry_after_ms: 700,
            kind_limits: KindLimitSettings::default(),
            advice_min_wait_us: 1_500_000,
        }
    }
}

/// Number of different retry delays for one predicted wait, between the wait and 1.5 times the
/// wait.
const RETRY_SPREAD_STEPS: u64 = 16;

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    kind: u32,
    work_us: u64,
    latest_start_us: u64,
}

/// Total of the waiting requests of one rank and kind.
#[derive(Debug, Clone, Copy, Default)]
struct QueuedTotal {
    count: u32,
    /// Sum of the expected run times, in µs.
    work_us: u64,
}

/// Admission control for a backend server that announces its slots reliably.
///
/// It is meant for servers whose run times differ by a factor of a hundred, such as lookups of a
/// few ms for other services and long searches for callers. Latency is then no measure of queueing,
/// and a limit derived from it falls far below the number of slots. Here the slots are the limit.
/// Requests wait at the gate by rank, because the queue of the server has no ranks. A request whose
/// wait would leave too little time to run is refused on arrival, with the predicted wait as the
/// retry delay. Kinds of requests whose calls are refused by other gates are limited at this gate,
/// see `docs/overload.md`.
#[derive(Debug)]
pub struct SlotAdmission {
    settings: SlotAdmissionSettings,
    slots: u32,
    /// Kinds of the running requests.
    running: HashMap<Ticket, u32>,
    /// Waiting requests by rank and order of arrival.
    queue: BTreeMap<(u8, Ticket), WaitingRequest>,
    /// Latest start times of the waiting requests, in µs, with rank and ticket.
    by_latest_start: BTreeSet<(u64, u8, Ticket)>,
    /// Totals of the waiting requests by rank and kind.
    queued: BTreeMap<(u8, u32), QueuedTotal>,
    limits: KindLimits,
    rate_limit: RateLimit,
    run_times: RunTimeMeans,
    /// Refusals that the next poll returns.
    pending_refusals: Vec<QueueDecision>,
    is_draining: bool,
    last_ticket: u64,
}

impl SlotAdmission {
    /// Creates a policy that uses the default slots until the backend server announces its own.
    pub fn new(settings: SlotAdmissionSettings) -> Self {
        Self {
            slots: settings.default_slots,
            running: HashMap::new(),
            queue: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            queued: BTreeMap::new(),
            limits: KindLimits::new(settings.kind_limits),
            rate_limit: RateLimit::default(),
            run_times: RunTimeMeans::new(settings.default_run_us),
            pending_refusals: Vec::new(),
            is_draining: false,
            last_ticket: 0,
            settings,
        }
    }

    fn limit(&self) -> u32 {
        ((f64::from(self.slots) * self.settings.used_share) as u32).max(1)
    }

    fn has_free_slot(&self) -> bool {
        (self.running.len() as u32) < self.limit()
    }

    /// Predicted time until a new request with this rank and kind would start, in µs.
    fn predicted_wait_us(&self, rank: u8, kind: u32) -> u64 {
        let slot_wait_us = self.slot_wait_us(rank).max(self.rate_wait_us(rank));
        slot_wait_us.max(self.kind_wait_us(rank, kind))
    }

    /// Predicted time until the rate limit admits another request with this rank, in µs.
    fn rate_wait_us(&self, rank: u8) -> u64 {
        if !self.rate_limit.is_set() {
            return 0;
        }
        let ahead = self.queued.range(..=(rank, u32::MAX));
        self.rate_limit.wait_us(ahead.map(|(_, queued)| queued.count).sum())
    }

    /// Whether a new request starts now instead of in the order of the queue. While a slot is free, a
    /// request waits only if its kind is at its limit or the rate limit is reached.
    fn starts_at_once(&self, kind: u32) -> bool {
        let is_rate_free =
            !self.rate_limit.is_set() || (self.queue.is_empty() && self.rate_limit.may_start());
        is_rate_free && self.has_free_slot() && self.limits.may_start(kind)
    }

    /// Predicted time until a slot is free for a request with this rank, in µs.
    fn slot_wait_us(&self, rank: u8) -> u64 {
        if self.has_free_slot() {
            return 0;
        }
        let ahead = self.queued.range(..=(rank, u32::MAX));
        // Requests that wait because of the limit of their kind do not need a slot yet.
        let ahead = ahead.filter(|((_, kind), _)| self.limits.may_start(*kind));
        let ahead_us: u64 = ahead.map(|(_, queued)| queued.work_us).sum();
        (ahead_us + self.run_times.overall_us()) / u64::from(self.limit())
    }

    /// Predicted time until the limit of a kind admits another request, in µs.
    fn kind_wait_us(&self, rank: u8, kind: u32) -> u64 {
        let Some(limit) = self.limits.limit(kind) else { return 0 };
        if self.limits.may_start(kind) {
            return 0;
        }
        let ahead = self.queued.get(&(rank, kind)).map_or(0, |queued| queued.count);
        u64::from(ahead + 1) * self.run_times.expected_us(kind) / u64::from(limit.max(1))
    }

    fn refusal(&self, reason: Reason, rank: u8, kind: u32) -> AdmissionRefusal {
        // Retry delays differ by ticket, so that requests refused together are retried separately.
        let spread =
            1.0 + (self.last_ticket % RETRY_SPREAD_STEPS) as f64 / RETRY_SPREAD_STEPS as f64 / 2.0;
        let wait_ms =
            (self.predicted_wait_us(rank, kind) / 1_000).max(self.settings.min_retry_after_ms);
        AdmissionRefusal { reason, retry_after_ms: (wait_ms as f64 * spread).ceil() as u64 }
    }

    fn remove(&mut self, rank: u8, ticket: Ticket) -> Option<WaitingRequest> {
        let waiting = self.queue.remove(&(rank, ticket))?;
        self.by_latest_start.remove(&(waiting.latest_start_us, rank, ticket));
        if let Some(queued) = self.queued.get_mut(&(rank, waiting.kind)) {
            queued.count -= 1;
            queued.work_us -= waiting.work_us;
            if queued.count == 0 {
                self.queued.remove(&(rank, waiting.kind));
            }
        }
        Some(waiting)
    }

    fn start(&mut self, ticket: Ticket, kind: u32) {
        self.running.insert(ticket, kind);
        self.limits.record_start(kind);
        self.rate_limit.record_start();
    }

    /// Rank and ticket of the first waiting request whose kind is below its limit.
    fn next_to_run(&self) -> Option<(u8, Ticket)> {
        let mut queue = self.queue.iter();
        let next = queue.find(|(_, waiting)| self.limits.may_start(waiting.kind));
        next.map(|(key, _)| *key)
    }
}

impl AdmissionPolicy for SlotAdmission {
    fn offer(&mut self, request: &AdmissionRequest, now_us: u64) -> AdmissionDecision {
        let AdmissionRequest { rank, kind, deadline_left_us, .. } = *request;
        if self.is_draining {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: Reason::Draining,
                retry_after_ms: 0,
            });
        }
        if deadline_left_us == 0 {
            return AdmissionDecision::Refuse(self.refusal(Reason::Late, rank, kind));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.rate_limit.advance(now_us);
        if self.starts_at_once(kind) {
            self.start(ticket, kind);
            return AdmissionDecision::Run(ticket);
        }
        let work_us = self.run_times.expected_us(kind);
        let needed_us = (work_us as f64 * self.settings.min_run_share) as u64;
        let wait_us = self.predicted_wait_us(rank, kind);
        let has_too_little_time = wait_us + needed_us > deadline_left_us;
        let is_wait_too_long =
            wait_us as f64 > deadline_left_us as f64 * self.settings.max_wait_share;
        if has_too_little_time || is_wait_too_long || self.queue.len() >= self.settings.max_queue {
            // `Shed` instead of `Late`, since the wait may be shorter at another gate: a forwarder
            // tries another gate after `Shed`, but not after `Late`.
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed, rank, kind));
        }
        let latest_start_us = now_us + (deadline_left_us - needed_us);
        self.queue.insert((rank, ticket), WaitingRequest { kind, work_us, latest_start_us });
        self.by_latest_start.insert((latest_start_us, rank, ticket));
        let queued = self.queued.entry((rank, kind)).or_default();
        queued.count += 1;
        queued.work_us += work_us;
        AdmissionDecision::Wait(ticket)
    }

    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64) {
        let Some(kind) = self.running.remove(&ticket) else { return };
        let is_call_refused = result.outcome == RunOutcome::CallRefused;
        self.limits.record_end(kind, is_call_refused, self.run_times.expected_us(kind), now_us);
        // The duration of an incomplete run is only a lower bound.
        let is_longer = result.run_us > self.run_times.expected_us(kind);
        match result.outcome {
            RunOutcome::Answered => self.run_times.record(kind, result.run_us),
            RunOutcome::Failed | RunOutcome::Cancelled if is_longer => {
                self.run_times.record(kind, result.run_us)
            }
            RunOutcome::Failed
            | RunOutcome::Cancelled
            | RunOutcome::Rejected
            | RunOutcome::CallRefused => {}
        }
    }

    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut decisions = std::mem::take(&mut self.pending_refusals);
        while let Some((latest_start_us, rank, ticket)) = self.by_latest_start.first().copied() {
            if latest_start_us >= now_us {
                break;
            }
            let Some(waiting) = self.remove(rank, ticket) else { break };
            let refusal = self.refusal(Reason::Late, rank, waiting.kind);
            decisions.push(QueueDecision::Refuse(ticket, refusal));
        }
        self.rate_limit.advance(now_us);
        while self.has_free_slot() && self.rate_limit.may_start() {
            let Some((rank, ticket)) = self.next_to_run() else { break };
            let Some(waiting) = self.remove(rank, ticket) else { break };
            self.start(ticket, waiting.kind);
            decisions.push(QueueDecision::Run(ticket));
        }
        decisions
    }

    fn next_poll_us(&self) -> Option<u64> {
        if !self.pending_refusals.is_empty() {
            return Some(0);
        }
        let (latest_start_us, ..) = self.by_latest_start.first()?;
        let is_slot_free = self.has_free_slot() && self.next_to_run().is_some();
        let next_start_us = self.rate_limit.next_start_us().filter(|_| is_slot_free);
        Some(next_start_us.map_or(latest_start_us + 1, |at_us| at_us.min(latest_start_us + 1)))
    }

    fn withdraw(&mut self, ticket: Ticket, _now_us: u64) {
        let mut keys = self.queue.keys();
        let rank = keys.find(|(_, queued_ticket)| *queued_ticket == ticket).map(|(rank, _)| *rank);
        if let Some(rank) = rank {
            self.remove(rank, ticket);
        }
    }

    fn mean_run_time(&self, kind: u32) -> Option<MeanRunTime> {
        self.run_times.reported(kind)
    }

    fn advice(&self, _now_us: u64) -> AdmissionAdvice {
        let in_flight = (self.running.len() + self.queue.len()) as u32;
        let limit = self.rate_limit.concurrency(self.run_times.overall_us(), self.limit());
        let advice = AdmissionAdvice { in_flight, limit, ..AdmissionAdvice::default() };
        let mut ranks = self.queued.keys().map(|(rank, _)| *rank);
        let overloaded_rank = ranks.find(|rank| {
            let wait_us = self.slot_wait_us(*rank).max(self.rate_wait_us(*rank));
            wait_us > self.settings.advice_min_wait_us
        });
        match overloaded_rank {
            Some(rank) => AdmissionAdvice { cutoff_rank: rank, cutoff_hash: 0, ..advice },
            None => advice,
        }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        if is_draining {
            let refusal = AdmissionRefusal { reason: Reason::Draining, retry_after_ms: 0 };
            let refusals =
                self.queue.keys().map(|(_, ticket)| QueueDecision::Refuse(*ticket, refusal));
            self.pending_refusals.extend(refusals);
            self.queue.clear();
            self.by_latest_start.clear();
            self.queued.clear();
        }
        self.is_draining = is_draining;
    }

    fn set_slots(&mut self, slots: u32, _now_us: u64) {
        if slots > 0 {
            self.slots = slots;
        }
    }

    fn set_rate_limit(&mut self, max_requests_per_s: Option<f64>, now_us: u64) {
        self.rate_limit.set(max_requests_per_s, now_us);
    }
}

#[cfg(test)]
mod tests;
