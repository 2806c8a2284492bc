use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use tarragon_model::call::Reason;

use crate::admission::kind_limits::KindLimits;
use crate::admission::AdmissionAdvice;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRefusal;
use crate::admission::AdmissionRequest;
use crate::admission::KindLimitSettings;
use crate::admission::QueueDecision;
use crate::admission::RunOutcome;
use crate::admission::RunResult;
use crate::admission::Ticket;

/// Settings of [`SlotAdmission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotAdmissionSettings {
    /// Share of the announced slots that is used. Servers slow down when the last ones are taken.
    pub used_share: f64,
    /// Slots assumed until the backend server announces its own.
    pub default_slots: u32,
    /// Most requests that wait.
    pub max_queue: usize,
    /// Run time assumed for a kind of request that has not run yet, in µs.
    pub default_run_us: u64,
    /// Share of the mean run time that must be left when a request starts. Run times vary, so many
    /// end within less than the mean.
    pub min_run_share: f64,
    /// Share of its time left that a request may be predicted to wait. The rest is for its run and, if
    /// it is one of several calls that another request makes, for the others.
    pub max_wait_share: f64,
    /// Shortest time after which a refused caller should come back, in ms. The queue is short, so the
    /// wait in it says little about how long the overload lasts.
    pub min_retry_after_ms: u64,
    /// Bounds on kinds of requests whose own calls are refused.
    pub kind_limits: KindLimitSettings,
    /// Predicted wait from which calling nodes are advised to ask other gates, in µs.
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
            // Six calls in a row that each wait so long leave a chain more than a third of its time.
            max_wait_share: 0.15,
            // A third of the shortest deadline of the users' clients (2 s), up to which they honour it.
            min_retry_after_ms: 700,
            kind_limits: KindLimitSettings::default(),
            advice_min_wait_us: 1_500_000,
        }
    }
}

/// Weight of the newest run in the mean run time of its kind.
const RUN_WEIGHT: f64 = 1.0 / 32.0;

/// Different times to come back that are told for one predicted wait, up to half above it.
const SPREAD_STEPS: u64 = 16;

/// Most kinds of requests with a mean of their own; beyond it all are learnt anew.
const MAX_KINDS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    kind: u32,
    work_us: u64,
    latest_start_us: u64,
}

/// The waiting requests of one rank and kind.
#[derive(Debug, Clone, Copy, Default)]
struct Queued {
    count: u32,
    /// Expected run time of all of them, in µs.
    work_us: u64,
}

/// Admission for a backend server whose announced slots can be relied on.
///
/// The load that it answers: one server runs requests whose run times differ a hundredfold, such as
/// lookups of some ms that other services wait for and long searches of callers. Latency then says
/// nothing about queueing, and a limit learnt from it falls far below the slots. Here the slots
/// are the limit. Requests wait at the gate by rank, because the server's own queue knows no ranks,
/// and a request whose wait would leave too little time to run is refused on arrival, with the
/// predicted wait as the time to come back. Kinds whose own calls are refused elsewhere are held back
/// at their own gate, see `docs/overload.md`.
#[derive(Debug)]
pub struct SlotAdmission {
    settings: SlotAdmissionSettings,
    slots: u32,
    running: HashMap<Ticket, u32>,
    queue: BTreeMap<(u8, Ticket), Waiting>,
    by_latest_start: BTreeSet<(u64, u8, Ticket)>,
    /// The waiting requests by rank and kind.
    queued: BTreeMap<(u8, u32), Queued>,
    limits: KindLimits,
    /// Mean run times by kind, in µs.
    mean_run_us: HashMap<u32, f64>,
    /// Mean over all runs, in µs.
    overall_run_us: f64,
    refused: Vec<QueueDecision>,
    is_draining: bool,
    last_ticket: u64,
}

impl SlotAdmission {
    /// Creates a gate that assumes the default slots until the backend server announces its own.
    pub fn new(settings: SlotAdmissionSettings) -> Self {
        Self {
            slots: settings.default_slots,
            running: HashMap::new(),
            queue: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            queued: BTreeMap::new(),
            limits: KindLimits::new(settings.kind_limits),
            mean_run_us: HashMap::new(),
            overall_run_us: settings.default_run_us as f64,
            refused: Vec::new(),
            is_draining: false,
            last_ticket: 0,
            settings,
        }
    }

    fn limit(&self) -> u32 {
        ((f64::from(self.slots) * self.settings.used_share) as u32).max(1)
    }

    fn expected_us(&self, kind: u32) -> u64 {
        self.mean_run_us.get(&kind).map_or(self.settings.default_run_us, |mean| *mean as u64)
    }

    fn has_slot(&self) -> bool {
        (self.running.len() as u32) < self.limit()
    }

    /// Predicted time until a request of a rank and kind that arrives now would start, in µs.
    fn wait_us(&self, rank: u8, kind: u32) -> u64 {
        self.slot_wait_us(rank).max(self.kind_wait_us(rank, kind))
    }

    /// Predicted time until a slot is free for a rank, in µs.
    fn slot_wait_us(&self, rank: u8) -> u64 {
        if self.has_slot() {
            return 0;
        }
        let ahead = self.queued.range(..=(rank, u32::MAX));
        // What its own limit holds back does not take the slots of others.
        let ahead = ahead.filter(|((_, kind), _)| self.limits.may_start(*kind));
        let ahead_us: u64 = ahead.map(|(_, queued)| queued.work_us).sum();
        (ahead_us + self.overall_run_us as u64) / u64::from(self.limit())
    }

    /// Predicted time until the limit of a kind lets the next one run, in µs.
    fn kind_wait_us(&self, rank: u8, kind: u32) -> u64 {
        let Some(limit) = self.limits.limit(kind) else { return 0 };
        if self.limits.may_start(kind) {
            return 0;
        }
        let ahead = self.queued.get(&(rank, kind)).map_or(0, |queued| queued.count);
        u64::from(ahead + 1) * self.expected_us(kind) / u64::from(limit.max(1))
    }

    fn refusal(&self, reason: Reason, rank: u8, kind: u32) -> AdmissionRefusal {
        // Spread by ticket, so that those who are refused together do not come back together.
        let spread = 1.0 + (self.last_ticket % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64 / 2.0;
        let wait_ms = (self.wait_us(rank, kind) / 1_000).max(self.settings.min_retry_after_ms);
        AdmissionRefusal { reason, retry_after_ms: (wait_ms as f64 * spread).ceil() as u64 }
    }

    fn remove(&mut self, rank: u8, ticket: Ticket) -> Option<Waiting> {
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
        self.limits.started(kind);
    }

    /// The first waiting request whose kind may run.
    fn next_to_run(&self) -> Option<(u8, Ticket)> {
        let mut queue = self.queue.iter();
        let next = queue.find(|(_, waiting)| self.limits.may_start(waiting.kind));
        next.map(|(at, _)| *at)
    }

    fn learn(&mut self, kind: u32, run_us: u64) {
        if self.mean_run_us.len() >= MAX_KINDS && !self.mean_run_us.contains_key(&kind) {
            self.mean_run_us.clear();
        }
        let run_us = run_us as f64;
        let mean = self.mean_run_us.entry(kind).or_insert(run_us);
        *mean += (run_us - *mean) * RUN_WEIGHT;
        self.overall_run_us += (run_us - self.overall_run_us) * RUN_WEIGHT;
    }
}

impl AdmissionPolicy for SlotAdmission {
    fn offer(&mut self, offer: &AdmissionRequest, now_us: u64) -> AdmissionDecision {
        let AdmissionRequest { rank, kind, deadline_left_us, .. } = *offer;
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
        // While a slot is free, only kinds that are held back by their limit wait.
        if self.has_slot() && self.limits.may_start(kind) {
            self.start(ticket, kind);
            return AdmissionDecision::Run(ticket);
        }
        let work_us = self.expected_us(kind);
        let needed_us = (work_us as f64 * self.settings.min_run_share) as u64;
        let wait_us = self.wait_us(rank, kind);
        let is_hopeless = wait_us + needed_us > deadline_left_us;
        let is_long = wait_us as f64 > deadline_left_us as f64 * self.settings.max_wait_share;
        if is_hopeless || is_long || self.queue.len() >= self.settings.max_queue {
            return AdmissionDecision::Refuse(self.refusal(Reason::Shed, rank, kind));
        }
        let latest_start_us = now_us + (deadline_left_us - needed_us);
        self.queue.insert((rank, ticket), Waiting { kind, work_us, latest_start_us });
        self.by_latest_start.insert((latest_start_us, rank, ticket));
        let queued = self.queued.entry((rank, kind)).or_default();
        queued.count += 1;
        queued.work_us += work_us;
        AdmissionDecision::Wait(ticket)
    }

    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64) {
        let Some(kind) = self.running.remove(&ticket) else { return };
        let is_call_refused = result.outcome == RunOutcome::CallRefused;
        self.limits.ended(kind, is_call_refused, self.expected_us(kind), now_us);
        // A run that was cut short tells only that it would have lasted longer.
        let is_longer = result.run_us > self.expected_us(kind);
        match result.outcome {
            RunOutcome::Answered => self.learn(kind, result.run_us),
            RunOutcome::Failed | RunOutcome::Cancelled if is_longer => {
                self.learn(kind, result.run_us)
            }
            RunOutcome::Failed
            | RunOutcome::Cancelled
            | RunOutcome::Rejected
            | RunOutcome::CallRefused => {}
        }
    }

    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut releases = std::mem::take(&mut self.refused);
        while let Some((latest_start_us, rank, ticket)) = self.by_latest_start.first().copied() {
            if latest_start_us >= now_us {
                break;
            }
            let Some(waiting) = self.remove(rank, ticket) else { break };
            let refusal = self.refusal(Reason::Late, rank, waiting.kind);
            releases.push(QueueDecision::Refuse(ticket, refusal));
        }
        while self.has_slot() {
            let Some((rank, ticket)) = self.next_to_run() else { break };
            let Some(waiting) = self.remove(rank, ticket) else { break };
            self.start(ticket, waiting.kind);
            releases.push(QueueDecision::Run(ticket));
        }
        releases
    }

    fn next_poll_us(&self) -> Option<u64> {
        if !self.refused.is_empty() {
            return Some(0);
        }
        self.by_latest_start.first().map(|(latest_start_us, ..)| latest_start_us + 1)
    }

    fn withdraw(&mut self, ticket: Ticket, _now_us: u64) {
        let rank = self.queue.keys().find(|(_, waiting)| *waiting == ticket).map(|(rank, _)| *rank);
        if let Some(rank) = rank {
            self.remove(rank, ticket);
        }
    }

    fn advice(&self, _now_us: u64) -> AdmissionAdvice {
        let in_flight = (self.running.len() + self.queue.len()) as u32;
        let advice =
            AdmissionAdvice { in_flight, limit: self.limit(), ..AdmissionAdvice::default() };
        let mut ranks = self.queued.keys().map(|(rank, _)| *rank);
        let full = ranks.find(|rank| self.slot_wait_us(*rank) > self.settings.advice_min_wait_us);
        match full {
            Some(rank) => AdmissionAdvice { cutoff_rank: rank, cutoff_hash: 0, ..advice },
            None => advice,
        }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        if is_draining {
            let refusal = AdmissionRefusal { reason: Reason::Draining, retry_after_ms: 0 };
            let tickets =
                self.queue.keys().map(|(_, ticket)| QueueDecision::Refuse(*ticket, refusal));
            self.refused.extend(tickets);
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
}

#[cfg(test)]
mod tests;
