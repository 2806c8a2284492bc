//! The simulation of chains of calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRefusal;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::SlotAdmission;
use tarragon_policy::admission::SlotAdmissionSettings;
use tarragon_policy::admission::Ticket;
use tarragon_policy::admission::WorkClass;

const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

pub const CHAIN_CALLS: u32 = 5;
pub const CALL_US: u64 = 55 * MS;
const CALL_DEADLINE_US: u64 = 700 * MS;
/// Run time of the middle service between two calls, in µs.
const STEP_US: u64 = 20 * MS;
const CHAIN_DEADLINE_US: u64 = 1_200 * MS;
const SEARCH_US: u64 = 750 * MS;
const SEARCH_DEADLINE_US: u64 = 5 * SECOND;
/// Time after which a client retries once if the failure carries no retry delay, in µs.
const CLIENT_RETRY_US: u64 = 100 * MS;

pub const GATES_PER_SERVICE: usize = 3;

/// Slots of each backend server of the last service.
pub const LAST_SLOTS: u32 = 54;

/// Importance rank of the calls of a chain; 0 is the most important.
const CALL_RANK: u8 = 1;

/// Importance rank of the requests of clients.
const CLIENT_RANK: u8 = 2;

const CHAIN_KIND: u32 = 1;
const CALL_KIND: u32 = 2;
const SEARCH_KIND: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    Chain,
    Search,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: RequestKind, is_retry: bool },
    Call { request: usize },
    EndRun { request: usize, gate: usize, ticket: Ticket },
    Poll { gate: usize },
}

struct Request {
    kind: RequestKind,
    is_retry: bool,
    deadline_us: u64,
    calls_left: u32,
    /// Run in the middle service, if the request is a chain that has started.
    parent: Option<ParentRun>,
}

#[derive(Clone, Copy)]
struct ParentRun {
    gate: usize,
    ticket: Ticket,
    started_us: u64,
}

/// Variable settings of a simulation.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub gate_settings: SlotAdmissionSettings,
    pub middle_slots: u32,
    /// Share of the calls that the last service rejects at random.
    pub random_rejection_share: f64,
}

pub struct ChainSimulation {
    rng: Pcg32,
    scenario: Scenario,
    /// Gates of the middle service, followed by those of the last service.
    pub gates: Vec<SlotAdmission>,
    /// Waiting and running requests of each gate.
    in_flight: Vec<u32>,
    events: BTreeSet<(u64, u64, Event)>,
    requests: Vec<Request>,
    /// Waiting requests of each gate.
    waiting: Vec<BTreeMap<Ticket, usize>>,
    /// Requests served since the last call of `run_until`.
    served: BTreeMap<RequestKind, u32>,
    sequence: u64,
}

impl ChainSimulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let gate = |at: usize| {
            let mut gate = SlotAdmission::new(scenario.gate_settings);
            gate.set_slots(
                if at < GATES_PER_SERVICE { scenario.middle_slots } else { LAST_SLOTS },
                0,
            );
            gate
        };
        Self {
            rng: Pcg32::seed_from_u64(seed),
            gates: (0..2 * GATES_PER_SERVICE).map(gate).collect(),
            in_flight: vec![0; 2 * GATES_PER_SERVICE],
            events: BTreeSet::new(),
            requests: Vec::new(),
            waiting: vec![BTreeMap::new(); 2 * GATES_PER_SERVICE],
            served: BTreeMap::new(),
            sequence: 0,
            scenario,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence, event));
    }

    /// Schedules requests of clients at a constant mean rate.
    pub fn schedule_arrivals(&mut self, kind: RequestKind, from_us: u64, to_us: u64, per_s: f64) {
        let mut at_us = from_us;
        while at_us < to_us {
            let gap_us = (2.0 * SECOND as f64 / per_s) as u64;
            at_us += self.rng.random_range(0..gap_us);
            self.schedule(at_us, Event::Arrive { kind, is_retry: false });
        }
    }

    /// Runs the simulation up to a time and returns the number of requests served meanwhile.
    pub fn run_until(&mut self, until_us: u64) -> BTreeMap<RequestKind, u32> {
        self.served.clear();
        while let Some((now_us, _, event)) = self.events.first().copied() {
            if now_us >= until_us {
                break;
            }
            self.events.pop_first();
            match event {
                Event::Arrive { kind, is_retry } => self.arrive(kind, is_retry, now_us),
                Event::Call { request } => self.call(request, now_us),
                Event::EndRun { request, gate, ticket } => {
                    self.end_run(request, gate, ticket, now_us);
                }
                Event::Poll { gate } => self.poll(gate, now_us),
            }
        }
        self.served.clone()
    }

    fn arrive(&mut self, kind: RequestKind, is_retry: bool, now_us: u64) {
        let admission_kind = kind_number(kind);
        let time_limit_us =
            if kind == RequestKind::Chain { CHAIN_DEADLINE_US } else { SEARCH_DEADLINE_US };
        self.requests.push(Request {
            kind,
            is_retry,
            deadline_us: now_us + time_limit_us,
            calls_left: CHAIN_CALLS,
            parent: None,
        });
        let request = self.requests.len() - 1;
        let first_gate = if kind == RequestKind::Chain { 0 } else { GATES_PER_SERVICE };
        self.offer(request, first_gate, admission_kind, CLIENT_RANK, time_limit_us, now_us);
    }

    /// Offers a request to the less loaded of two random gates, and to the other one if it refuses.
    fn offer(
        &mut self,
        request: usize,
        first_gate: usize,
        kind: u32,
        rank: u8,
        left_us: u64,
        now_us: u64,
    ) {
        if first_gate == GATES_PER_SERVICE
            && self.rng.random_bool(self.scenario.random_rejection_share)
        {
            return self.fail(request, RunOutcome::Failed, now_us);
        }
        let one = self.rng.random_range(0..GATES_PER_SERVICE);
        let other = (one + self.rng.random_range(1..GATES_PER_SERVICE)) % GATES_PER_SERVICE;
        let (one, other) = (first_gate + one, first_gate + other);
        let is_other_less_loaded = self.in_flight[other] < self.in_flight[one];
        let order = if is_other_less_loaded { [other, one] } else { [one, other] };
        let mut refusal = None;
        for gate in order {
            let request_id = RequestId { instance: InstanceId(1), counter: self.sequence };
            let offered = AdmissionRequest {
                request_id,
                rank,
                kind,
                class: WorkClass::Short,
                expected_us: 0,
                deadline_left_us: left_us,
            };
            match self.gates[gate].offer(&offered, now_us) {
                AdmissionDecision::Run(ticket) => return self.run(request, gate, ticket, now_us),
                AdmissionDecision::Wait(ticket) => {
                    self.in_flight[gate] += 1;
                    self.waiting[gate].insert(ticket, request);
                    return self.schedule_poll(gate, now_us);
                }
                AdmissionDecision::Refuse(refused) => refusal = Some(refused),
            }
        }
        let refusal = refusal.expect("both gates have refused the request");
        self.handle_refusal(request, refusal, now_us);
    }

    fn call(&mut self, request: usize, now_us: u64) {
        let left_us = self.requests[request].deadline_us.saturating_sub(now_us);
        self.offer(
            request,
            GATES_PER_SERVICE,
            CALL_KIND,
            CALL_RANK,
            left_us.min(CALL_DEADLINE_US),
            now_us,
        );
    }

    fn schedule_poll(&mut self, gate: usize, now_us: u64) {
        if let Some(due_us) = self.gates[gate].next_poll_us() {
            self.schedule(due_us.max(now_us), Event::Poll { gate });
        }
    }

    fn run(&mut self, request: usize, gate: usize, ticket: Ticket, now_us: u64) {
        self.in_flight[gate] += 1;
        if gate < GATES_PER_SERVICE {
            self.requests[request].parent = Some(ParentRun { gate, ticket, started_us: now_us });
            return self.schedule(now_us + STEP_US, Event::Call { request });
        }
        let is_search = self.requests[request].kind == RequestKind::Search;
        let mean_us = if is_search { SEARCH_US } else { CALL_US };
        let run_us = mean_us * self.rng.random_range(40..160) / 100;
        self.schedule(now_us + run_us, Event::EndRun { request, gate, ticket });
    }

    fn end_run(&mut self, request: usize, gate: usize, ticket: Ticket, now_us: u64) {
        let state = &mut self.requests[request];
        let mean_us = if state.kind == RequestKind::Search { SEARCH_US } else { CALL_US };
        state.calls_left -= 1;
        let (is_late, calls_left) = (now_us > state.deadline_us, state.calls_left);
        self.finish(gate, ticket, mean_us, RunOutcome::Answered, now_us);
        if is_late {
            return self.fail(request, RunOutcome::Failed, now_us);
        }
        if self.requests[request].kind == RequestKind::Search || calls_left == 0 {
            return self.succeed(request, now_us);
        }
        self.schedule(now_us + STEP_US, Event::Call { request });
    }

    fn finish(
        &mut self,
        gate: usize,
        ticket: Ticket,
        run_us: u64,
        outcome: RunOutcome,
        now_us: u64,
    ) {
        self.in_flight[gate] -= 1;
        let result = RunResult { run_us, first_byte_us: run_us, outcome };
        self.gates[gate].finish(ticket, &result, now_us);
        self.poll(gate, now_us);
    }

    pub fn poll(&mut self, gate: usize, now_us: u64) {
        for decision in self.gates[gate].poll(now_us) {
            let (QueueDecision::Run(ticket) | QueueDecision::Refuse(ticket, _)) = decision;
            let Some(request) = self.waiting[gate].remove(&ticket) else { continue };
            self.in_flight[gate] -= 1;
            match decision {
                QueueDecision::Run(_) => self.run(request, gate, ticket, now_us),
                QueueDecision::Refuse(_, refusal) => self.handle_refusal(request, refusal, now_us),
            }
        }
    }

    /// Handles a refusal of a request, or of a call of a running chain.
    fn handle_refusal(&mut self, request: usize, refusal: AdmissionRefusal, now_us: u64) {
        let Request { kind, is_retry, parent, .. } = self.requests[request];
        if parent.is_some() {
            return self.fail(request, RunOutcome::CallRefused, now_us);
        }
        self.schedule_retry(kind, is_retry, refusal, now_us);
    }

    fn schedule_retry(
        &mut self,
        kind: RequestKind,
        is_retry: bool,
        refusal: AdmissionRefusal,
        now_us: u64,
    ) {
        if !is_retry {
            let at_us = now_us + refusal.retry_after_ms * MS;
            self.schedule(at_us, Event::Arrive { kind, is_retry: true });
        }
    }

    fn succeed(&mut self, request: usize, now_us: u64) {
        let Request { kind, parent, .. } = self.requests[request];
        *self.served.entry(kind).or_default() += 1;
        if let Some(ParentRun { gate, ticket, started_us }) = parent {
            self.finish(gate, ticket, now_us - started_us, RunOutcome::Answered, now_us);
        }
    }

    fn fail(&mut self, request: usize, outcome: RunOutcome, now_us: u64) {
        let Request { kind, is_retry, parent, .. } = self.requests[request];
        if let Some(ParentRun { gate, ticket, started_us }) = parent {
            self.finish(gate, ticket, now_us - started_us, outcome, now_us);
        }
        if !is_retry {
            self.schedule(now_us + CLIENT_RETRY_US, Event::Arrive { kind, is_retry: true });
        }
    }
}

fn kind_number(kind: RequestKind) -> u32 {
    match kind {
        RequestKind::Chain => CHAIN_KIND,
        RequestKind::Search => SEARCH_KIND,
    }
}
