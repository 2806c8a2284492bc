use std::collections::HashMap;
use std::collections::VecDeque;

use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRefusal;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;

/// Runs up to a fixed number of requests concurrently, and queues further ones in order of arrival
/// up to a second limit.
#[derive(Debug)]
pub struct FixedLimit {
    limit: usize,
    queue_limit: usize,
    next_ticket: u64,
    running: usize,
    waiting: VecDeque<Ticket>,
    deadlines_us: HashMap<Ticket, u64>,
    is_draining: bool,
}

impl FixedLimit {
    /// Creates a policy with limits for the number of running and of waiting requests.
    pub fn new(limit: usize, queue_limit: usize) -> Self {
        Self {
            limit,
            queue_limit,
            next_ticket: 0,
            running: 0,
            waiting: VecDeque::new(),
            deadlines_us: HashMap::new(),
            is_draining: false,
        }
    }
}

fn refusal(reason: Reason) -> AdmissionRefusal {
    AdmissionRefusal { reason, retry_after_ms: 1_250 }
}

impl AdmissionPolicy for FixedLimit {
    fn offer(&mut self, request: &AdmissionRequest, now_us: u64) -> AdmissionDecision {
        if self.is_draining {
            return AdmissionDecision::Refuse(refusal(Reason::Draining));
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        if self.running < self.limit {
            self.running += 1;
            AdmissionDecision::Run(ticket)
        } else if self.waiting.len() < self.queue_limit {
            self.waiting.push_back(ticket);
            self.deadlines_us.insert(ticket, now_us.saturating_add(request.deadline_left_us));
            AdmissionDecision::Wait(ticket)
        } else {
            AdmissionDecision::Refuse(refusal(Reason::Shed))
        }
    }

    fn finish(&mut self, _ticket: Ticket, _result: &RunResult, _now_us: u64) {
        self.running -= 1;
    }

    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        while let Some(ticket) = self.waiting.front().copied() {
            let is_late = self.deadlines_us.get(&ticket).is_some_and(|at| *at <= now_us);
            if self.is_draining {
                decisions.push(QueueDecision::Refuse(ticket, refusal(Reason::Draining)));
            } else if is_late {
                decisions.push(QueueDecision::Refuse(ticket, refusal(Reason::Late)));
            } else if self.running < self.limit {
                self.running += 1;
                decisions.push(QueueDecision::Run(ticket));
            } else {
                break;
            }
            self.waiting.pop_front();
            self.deadlines_us.remove(&ticket);
        }
        decisions
    }

    fn next_poll_us(&self) -> Option<u64> {
        self.deadlines_us.values().min().copied()
    }

    fn withdraw(&mut self, ticket: Ticket, _now_us: u64) {
        self.waiting.retain(|waiting| *waiting != ticket);
        self.deadlines_us.remove(&ticket);
    }

    fn advice(&self, _now_us: u64) -> AdmissionAdvice {
        let in_flight = u32::try_from(self.running).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit).unwrap_or(u32::MAX);
        AdmissionAdvice { in_flight, limit, ..AdmissionAdvice::default() }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        self.is_draining = is_draining;
    }

    fn set_slots(&mut self, _slots: u32, _now_us: u64) {}

    fn set_rate_limit(&mut self, _max_requests_per_s: Option<f64>, _now_us: u64) {}
}
