use std::collections::HashSet;
use std::collections::VecDeque;

use tarragon_model::call::Reason;

use crate::admission::AdmissionAdvice;
use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRefusal;
use crate::admission::AdmissionRequest;
use crate::admission::AdmissionSettings;
use crate::admission::QueueDecision;
use crate::admission::RunResult;
use crate::admission::Ticket;

/// Baseline for comparisons: runs up to the number of announced slots and one bounded FIFO queue.
///
/// It ignores rank, class, deadline, latency and rate limits.
#[derive(Debug)]
pub struct NaiveAdmission {
    slots: u32,
    max_queue: usize,
    is_draining: bool,
    last_ticket: u64,
    running: HashSet<Ticket>,
    waiting: VecDeque<Ticket>,
}

impl NaiveAdmission {
    /// Creates a policy with the default slots and the queue length from the settings.
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            slots: settings.default_slots.max(1),
            max_queue: settings.max_queue,
            is_draining: false,
            last_ticket: 0,
            running: HashSet::new(),
            waiting: VecDeque::new(),
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }
}

impl AdmissionPolicy for NaiveAdmission {
    fn offer(&mut self, _request: &AdmissionRequest, _now_us: u64) -> AdmissionDecision {
        if self.is_draining {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: Reason::Draining,
                retry_after_ms: 0,
            });
        }
        if self.waiting.len() >= self.max_queue {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: Reason::Shed,
                retry_after_ms: 0,
            });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if self.waiting.is_empty() && self.has_free_slot() {
            self.running.insert(ticket);
            return AdmissionDecision::Run(ticket);
        }
        self.waiting.push_back(ticket);
        AdmissionDecision::Wait(ticket)
    }

    fn finish(&mut self, ticket: Ticket, _result: &RunResult, _now_us: u64) {
        self.running.remove(&ticket);
    }

    fn poll(&mut self, _now_us: u64) -> Vec<QueueDecision> {
        if self.is_draining {
            let refusal = AdmissionRefusal { reason: Reason::Draining, retry_after_ms: 0 };
            return self.waiting.drain(..).map(|t| QueueDecision::Refuse(t, refusal)).collect();
        }
        let mut decisions = Vec::new();
        while self.has_free_slot() {
            let Some(ticket) = self.waiting.pop_front() else { break };
            self.running.insert(ticket);
            decisions.push(QueueDecision::Run(ticket));
        }
        decisions
    }

    fn next_poll_us(&self) -> Option<u64> {
        let is_due = !self.waiting.is_empty() && (self.is_draining || self.has_free_slot());
        is_due.then_some(0)
    }

    fn withdraw(&mut self, ticket: Ticket, _now_us: u64) {
        self.waiting.retain(|queued_ticket| *queued_ticket != ticket);
    }

    fn advice(&self, _now_us: u64) -> AdmissionAdvice {
        let in_flight = self.running.len() as u32;
        AdmissionAdvice { in_flight, limit: self.slots, ..AdmissionAdvice::default() }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        self.is_draining = is_draining;
    }

    fn set_slots(&mut self, slots: u32, _now_us: u64) {
        self.slots = slots.max(1);
    }

    fn set_rate_limit(&mut self, _max_requests_per_s: Option<f64>, _now_us: u64) {}
}
