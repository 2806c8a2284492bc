//! Simulation of one gate, one backend server and callers that retry, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_policy::admission::shed_hash;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::AdvisoryFilter;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;
use tarragon_policy::admission::WorkClass;

/// An operation in the simulated load.
#[derive(Clone, Copy)]
pub struct Operation {
    /// Importance rank; 0 is the most important.
    pub rank: u8,
    pub class: WorkClass,
    /// Mean run time without congestion, in µs.
    pub mean_us: u64,
    /// Time within which the request must be answered, including all attempts, in µs.
    pub time_limit_us: u64,
    /// Time limit of one attempt, in µs.
    pub attempt_limit_us: u64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
}

/// Load and server behaviour over time.
pub struct Scenario<'a> {
    pub slots: u32,
    pub operations: &'a [Operation],
    /// Requests per second, by operation and time.
    pub rate: &'a dyn Fn(usize, u64) -> f64,
    /// Share of the announced slots that the server can use, by time.
    pub usable_share: &'a dyn Fn(u64) -> f64,
    /// Factor on all run times, independent of concurrency, by time.
    pub run_time_factor: &'a dyn Fn(u64) -> f64,
    /// Whether the entry applies the advice sent with responses and refusals.
    pub has_advice: bool,
    pub end_us: u64,
    pub seed: u64,
}

/// Attempts that were refused.
#[derive(Clone, Copy, Default)]
pub struct RefusedAttempts {
    pub at_entry: u64,
    pub at_gate: u64,
}

/// Results of the simulation of a scenario.
pub struct SimulationResult {
    pub records: Vec<Record>,
    /// Time in µs and limit, sampled at intervals of at least 10 ms.
    pub limits: Vec<(u64, u32)>,
    pub refused: RefusedAttempts,
}

/// Result of one request with all its attempts.
#[derive(Clone, Copy)]
pub struct Record {
    pub operation: usize,
    pub arrived_us: u64,
    /// Time until the response was complete, in µs; `None` without a response in time.
    pub latency_us: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { operation: usize },
    Attempt { request: usize },
    EndRun { ticket: Ticket, started_us: u64 },
    AttemptTimeout { request: usize, attempt: u32 },
    Poll,
}

struct Request {
    operation: usize,
    arrived_us: u64,
    attempts: u32,
    ticket: Option<Ticket>,
    is_over: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario<'a>,
    gate: &'a mut dyn AdmissionPolicy,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    random: Pcg64,
    requests: Vec<Request>,
    latencies: Vec<Option<u64>>,
    /// Indexes of the requests that wait or run.
    request_by_ticket: HashMap<Ticket, usize>,
    /// Start times of the runs, in µs.
    running: HashMap<Ticket, u64>,
    counter: u64,
    poll_us: Option<u64>,
    limits: Vec<(u64, u32)>,
    filter: AdvisoryFilter,
    refused: RefusedAttempts,
}

/// Simulates a scenario to its end.
pub fn run(scenario: &Scenario<'_>, gate: &mut dyn AdmissionPolicy) -> SimulationResult {
    let mut simulation = Simulation {
        scenario,
        gate,
        events: BinaryHeap::new(),
        sequence: 0,
        random: Pcg64::seed_from_u64(scenario.seed),
        requests: Vec::new(),
        latencies: Vec::new(),
        request_by_ticket: HashMap::new(),
        running: HashMap::new(),
        counter: 0,
        poll_us: None,
        limits: Vec::new(),
        filter: AdvisoryFilter::default(),
        refused: RefusedAttempts::default(),
    };
    simulation.gate.set_slots(scenario.slots, 0);
    for operation in 0..scenario.operations.len() {
        simulation.push(0, Event::Arrive { operation });
    }
    simulation.run();
    let records = simulation.requests.iter().zip(&simulation.latencies);
    let records = records.map(|(request, latency_us)| Record {
        operation: request.operation,
        arrived_us: request.arrived_us,
        latency_us: *latency_us,
    });
    SimulationResult {
        records: records.collect(),
        limits: simulation.limits,
        refused: simulation.refused,
    }
}

impl Simulation<'_> {
    fn push(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn run(&mut self) {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if self.limits.last().is_none_or(|(at_us, _)| now_us >= at_us + 10_000) {
                self.limits.push((now_us, self.gate.advice(now_us).limit));
            }
            match event {
                Event::Arrive { operation } => self.arrive(operation, now_us),
                Event::Attempt { request } => self.attempt(request, now_us),
                Event::EndRun { ticket, started_us } => {
                    if self.running.get(&ticket) == Some(&started_us) {
                        self.end_run(ticket, RunOutcome::Answered, now_us);
                    }
                }
                Event::AttemptTimeout { request, attempt } => {
                    self.time_out(request, attempt, now_us)
                }
                Event::Poll => {
                    self.poll_us = None;
                    self.poll(now_us);
                }
            }
            self.schedule_poll(now_us);
        }
    }

    fn schedule_poll(&mut self, now_us: u64) {
        let Some(at_us) = self.gate.next_poll_us() else { return };
        let at_us = at_us.max(now_us);
        if self.poll_us.is_none_or(|planned_us| at_us < planned_us) {
            self.poll_us = Some(at_us);
            self.push(at_us, Event::Poll);
        }
    }

    fn arrive(&mut self, operation: usize, now_us: u64) {
        let rate = (self.scenario.rate)(operation, now_us);
        if rate > 0.0 && now_us > 0 {
            self.requests.push(Request {
                operation,
                arrived_us: now_us,
                attempts: 0,
                ticket: None,
                is_over: false,
            });
            self.latencies.push(None);
            self.attempt(self.requests.len() - 1, now_us);
        }
        let next_us = now_us + self.exponential(1e6 / rate.max(1.0)) as u64 + 1;
        if next_us < self.scenario.end_us {
            self.push(next_us, Event::Arrive { operation });
        }
    }

    fn attempt(&mut self, index: usize, now_us: u64) {
        let request = &mut self.requests[index];
        let operation = self.scenario.operations[request.operation];
        let left_us = (request.arrived_us + operation.time_limit_us).saturating_sub(now_us);
        if request.is_over || left_us == 0 || request.attempts >= operation.max_attempts {
            return;
        }
        request.attempts += 1;
        let attempt = request.attempts;
        // Each attempt of a caller has a new request ID.
        self.counter += 1;
        let deadline_left_us = left_us.min(operation.attempt_limit_us);
        let admission_request = AdmissionRequest {
            kind: 0,
            request_id: RequestId { instance: InstanceId(1), counter: self.counter },
            rank: operation.rank,
            class: operation.class,
            expected_us: operation.mean_us,
            deadline_left_us,
        };
        let hash = shed_hash(admission_request.request_id);
        if self.scenario.has_advice
            && !self.filter.is_admitted(admission_request.rank, hash, now_us)
        {
            self.refused.at_entry += 1;
            self.schedule_retry(index, now_us);
            return;
        }
        match self.gate.offer(&admission_request, now_us) {
            AdmissionDecision::Run(ticket) => {
                self.track(ticket, index, attempt, now_us + deadline_left_us);
                self.start(ticket, now_us);
            }
            AdmissionDecision::Wait(ticket) => {
                self.track(ticket, index, attempt, now_us + deadline_left_us)
            }
            AdmissionDecision::Refuse(_) => {
                self.refused.at_gate += 1;
                self.filter.update(self.gate.advice(now_us), now_us);
                self.schedule_retry(index, now_us);
            }
        }
    }

    fn track(&mut self, ticket: Ticket, index: usize, attempt: u32, timeout_us: u64) {
        self.request_by_ticket.insert(ticket, index);
        self.requests[index].ticket = Some(ticket);
        self.push(timeout_us, Event::AttemptTimeout { request: index, attempt });
    }

    /// Schedules another attempt after 1 to 20 ms, like an aggressive client that ignores the retry
    /// delay.
    fn schedule_retry(&mut self, index: usize, now_us: u64) {
        self.requests[index].ticket = None;
        let pause_us = self.random.random_range(1_000..20_000);
        self.push(now_us + pause_us, Event::Attempt { request: index });
    }

    /// Starts a run. Run times have an Erlang distribution with two stages and increase with
    /// concurrency beyond the usable slots.
    fn start(&mut self, ticket: Ticket, now_us: u64) {
        self.running.insert(ticket, now_us);
        let request = &self.requests[self.request_by_ticket[&ticket]];
        let stage_us = self.scenario.operations[request.operation].mean_us as f64 / 2.0;
        let slots = f64::from(self.scenario.slots) * (self.scenario.usable_share)(now_us);
        let congestion = (self.running.len() as f64 / slots).max(1.0).powf(1.2);
        let factor = congestion * (self.scenario.run_time_factor)(now_us);
        let run_us = (self.exponential(stage_us) + self.exponential(stage_us)) * factor;
        self.push(now_us + run_us as u64 + 1, Event::EndRun { ticket, started_us: now_us });
    }

    fn end_run(&mut self, ticket: Ticket, outcome: RunOutcome, now_us: u64) {
        let Some(started_us) = self.running.remove(&ticket) else { return };
        let index = self.request_by_ticket.remove(&ticket).expect("every run belongs to a request");
        let run_us = now_us - started_us;
        let request = &mut self.requests[index];
        request.ticket = None;
        if outcome == RunOutcome::Answered {
            request.is_over = true;
            self.latencies[index] = Some(now_us - request.arrived_us);
        }
        self.gate.finish(ticket, &RunResult { run_us, first_byte_us: run_us, outcome }, now_us);
        self.filter.update(self.gate.advice(now_us), now_us);
        self.poll(now_us);
    }

    fn time_out(&mut self, index: usize, attempt: u32, now_us: u64) {
        let request = &self.requests[index];
        let Some(ticket) = request.ticket.filter(|_| request.attempts == attempt) else { return };
        if self.running.contains_key(&ticket) {
            self.end_run(ticket, RunOutcome::Cancelled, now_us);
        } else {
            self.gate.withdraw(ticket, now_us);
            self.request_by_ticket.remove(&ticket);
        }
        self.schedule_retry(index, now_us);
    }

    fn poll(&mut self, now_us: u64) {
        for decision in self.gate.poll(now_us) {
            match decision {
                QueueDecision::Run(ticket) => self.start(ticket, now_us),
                QueueDecision::Refuse(ticket, _) => {
                    if let Some(index) = self.request_by_ticket.remove(&ticket) {
                        self.schedule_retry(index, now_us);
                    }
                }
            }
        }
    }
}
