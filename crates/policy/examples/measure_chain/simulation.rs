use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tarragon_model::member::BackendState;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::routing::CallOutcome;
use tarragon_policy::routing::CallResult;
use tarragon_policy::routing::Candidate;
use tarragon_policy::routing::Distance;
use tarragon_policy::routing::RouteDecision;
use tarragon_policy::routing::RouteQuery;

use crate::deployment::CALLER_ATTEMPTS;
use crate::deployment::CALLER_RETRY_DELAY_US;
use crate::deployment::DATA_CENTRES;
use crate::deployment::DEADLINE_US;
use crate::deployment::LOCAL_DELAY_US;
use crate::deployment::OPERATIONS;
use crate::deployment::REMOTE_DELAY_US;
use crate::deployment::SECOND_US;
use crate::deployment::SERVICES;
use crate::event::Call;
use crate::event::Caller;
use crate::event::Event;
use crate::event::Execution;
use crate::event::ExecutionStage;
use crate::event::HopOutcome;
use crate::event::Origin;
use crate::node::Node;
use crate::node::PolicyVariant;
use crate::record::Record;

/// Number of retry tokens of a request.
const RETRY_TOKENS: u32 = 3;

/// Mean delay before a retry between nodes, in µs.
const NODE_RETRY_DELAY_US: u64 = 5_000;

/// Discrete-event simulation of all nodes, their backend servers and the callers.
pub struct ChainSimulation {
    now_us: u64,
    random: Pcg64Mcg,
    variant: PolicyVariant,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    nodes: Vec<Node>,
    calls: HashMap<u64, Call>,
    executions: HashMap<u64, Execution>,
    tickets: HashMap<(usize, Ticket), u64>,
    /// Requests per second over time; each entry applies from its time in µs.
    demand: Vec<(u64, f64)>,
    pub record: Record,
}

impl ChainSimulation {
    pub fn new(variant: PolicyVariant, seed: u64, demand: Vec<(u64, f64)>) -> Self {
        let count = DATA_CENTRES * SERVICES.len();
        let mut simulation = Self {
            now_us: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            variant,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            nodes: (0..count).map(|at| Node::new(at, variant, seed)).collect(),
            calls: HashMap::new(),
            executions: HashMap::new(),
            tickets: HashMap::new(),
            demand,
            record: Record::default(),
        };
        for node in 0..count {
            simulation.set_candidates(node);
        }
        simulation.schedule(1, Event::Arrival);
        simulation
    }

    /// Schedules a change of the speed of all servers of a service.
    pub fn set_speed_at(&mut self, time_us: u64, service: usize, percent: u32) {
        self.schedule(time_us, Event::Speed { service, percent });
    }

    pub fn run_until(&mut self, end_us: u64) {
        while let Some(Reverse((time_us, sequence))) = self.queue.pop() {
            if time_us > end_us {
                break;
            }
            self.now_us = time_us;
            let event = self.events.remove(&sequence).expect("every queued event is stored");
            self.handle(event);
        }
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((time_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn next_id(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn set_candidates(&mut self, node: usize) {
        let local_data_centre = self.nodes[node].data_centre;
        for (at, service) in SERVICES.iter().enumerate() {
            let candidates: Vec<Candidate> = (0..DATA_CENTRES)
                .map(|data_centre| Candidate {
                    instance: InstanceId((at * DATA_CENTRES + data_centre) as u64),
                    distance: if data_centre == local_data_centre {
                        Distance::Local
                    } else {
                        Distance::Region
                    },
                    state: BackendState::Ready,
                })
                .collect();
            self.nodes[node].route.set_candidates(service.name, &candidates, 0);
        }
    }

    fn delay_us(&self, a: usize, b: usize) -> u64 {
        match (a == b, self.nodes[a].data_centre == self.nodes[b].data_centre) {
            (true, _) => 0,
            (false, true) => LOCAL_DELAY_US,
            (false, false) => REMOTE_DELAY_US,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Call(call) => self.route_call(call),
            Event::Arrive(call) => self.arrive_at_gate(call),
            Event::Enter(caller) => self.enter(caller),
            Event::Answer { call, outcome, tokens, advice } => {
                self.handle_answer(call, outcome, tokens, &advice)
            }
            Event::ServerDue { node, generation } => self.server_due(node, generation),
            Event::GateDue { node } => self.poll(node),
            Event::Deadline(execution) => self.expire(execution),
            Event::Speed { service, percent } => {
                for data_centre in 0..DATA_CENTRES {
                    let node = service * DATA_CENTRES + data_centre;
                    let speed = f64::from(percent) / 100.0;
                    self.nodes[node].server.set_speed(speed, self.now_us);
                    self.schedule_server(node);
                }
            }
        }
    }

    /// Sends a request of a new caller and schedules the next arrival.
    fn handle_arrival(&mut self) {
        let rate = self.demand.iter().rev().find(|(from, _)| *from <= self.now_us);
        let rate = rate.map_or(0.0, |(_, rate)| *rate).max(1.0);
        let gap_us = -(1.0 - self.random.random::<f64>()).ln() * SECOND_US as f64 / rate;
        self.schedule(self.now_us + gap_us as u64 + 1, Event::Arrival);
        let mut draw = self.random.random::<f64>();
        let drawn = OPERATIONS.iter().position(|operation| {
            draw -= operation.share;
            draw < 0.0
        });
        let operation = drawn.unwrap_or(0);
        self.record.record_offered(OPERATIONS[operation].rank, self.now_us);
        self.enter(Caller { operation, attempts_made: 0, first_sent_us: self.now_us });
    }

    /// Sends a request of a caller to a node of a random data centre.
    fn enter(&mut self, caller: Caller) {
        let service = OPERATIONS[caller.operation].service;
        let node = self.random.random_range(0..DATA_CENTRES * SERVICES.len());
        let counter = self.next_id();
        let span = SpanId(counter);
        self.nodes[node].retry.open_span(span, RETRY_TOKENS);
        let request_id = RequestId { instance: InstanceId(node as u64), counter };
        let deadline_us = self.now_us + DEADLINE_US;
        let origin = Origin { parent: None, caller, request_id, span, deadline_us };
        self.call(node, service, origin);
    }

    fn call(&mut self, node: usize, service: usize, origin: Origin) {
        let id = self.next_id();
        let excluded = Vec::new();
        let call = Call { node, service, origin, excluded, target: 0, sent_us: 0, lent: 0 };
        self.calls.insert(id, call);
        self.nodes[node].retry.record_attempt(SERVICES[service].name, 0.0, self.now_us);
        self.route_call(id);
    }

    fn route_call(&mut self, id: u64) {
        let now_us = self.now_us;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let node = &mut self.nodes[call.node];
        let name = SERVICES[call.service].name;
        let query = RouteQuery {
            service: name,
            request_id: call.origin.request_id,
            rank: OPERATIONS[call.origin.caller.operation].rank,
            kind: 0,
            excluded: &call.excluded,
            needs_proven_connection: false,
        };
        if self.variant == PolicyVariant::Adaptive && now_us >= call.origin.deadline_us {
            return self.end_call(id, HopOutcome::NotRun);
        }
        match node.route.choose(&query, now_us) {
            RouteDecision::Refuse { .. } => self.end_call(id, HopOutcome::NotRun),
            RouteDecision::Use(target) => {
                call.target = target.0 as usize;
                call.sent_us = now_us;
                call.lent = node.retry.lend_tokens(call.origin.span);
                node.route.record_call_start(name, target, now_us);
                let (from, to) = (call.node, call.target);
                self.schedule(now_us + self.delay_us(from, to), Event::Arrive(id));
            }
        }
    }

    fn arrive_at_gate(&mut self, call_id: u64) {
        let now_us = self.now_us;
        let id = self.next_id();
        let Some(call) = self.calls.get(&call_id) else { return };
        let (node, deadline_us, lent) = (call.target, call.origin.deadline_us, call.lent);
        let span = SpanId(id);
        let admission_request = AdmissionRequest {
            kind: 0,
            request_id: call.origin.request_id,
            rank: OPERATIONS[call.origin.caller.operation].rank,
            class: WorkClass::Short,
            expected_us: SERVICES[call.service].work_us as u64,
            deadline_left_us: deadline_us.saturating_sub(now_us),
        };
        self.record.attempts += 1;
        self.nodes[node].retry.open_span(span, lent);
        let execution = Execution {
            call: call_id,
            node,
            span,
            ticket: None,
            stage: ExecutionStage::Waiting,
            started_us: now_us,
        };
        self.executions.insert(id, execution);
        match self.nodes[node].gate.offer(&admission_request, now_us) {
            AdmissionDecision::Run(ticket) => self.begin(id, ticket),
            AdmissionDecision::Wait(ticket) => {
                self.tickets.insert((node, ticket), id);
                self.executions.get_mut(&id).expect("the execution was stored above").ticket =
                    Some(ticket);
            }
            AdmissionDecision::Refuse(_) => self.reply(id, HopOutcome::NotRun),
        }
        if self.variant == PolicyVariant::Adaptive && self.executions.contains_key(&id) {
            self.schedule(deadline_us.max(now_us), Event::Deadline(id));
        }
        self.poll(node);
    }

    fn begin(&mut self, id: u64, ticket: Ticket) {
        let now_us = self.now_us;
        let execution = self.executions.get_mut(&id).expect("every run belongs to an execution");
        execution.ticket = Some(ticket);
        execution.stage = ExecutionStage::Working;
        execution.started_us = now_us;
        let node = execution.node;
        let mean_us = SERVICES[self.nodes[node].service].work_us;
        let draw = -(1.0 - self.random.random::<f64>()).ln();
        // Half of the work is constant, since no request takes no time.
        let work_us = mean_us * (0.5 + 0.5 * draw.min(8.0));
        self.nodes[node].server.start(id, work_us, now_us);
        self.schedule_server(node);
    }

    /// Applies the decisions of the gate on waiting requests.
    fn poll(&mut self, node: usize) {
        for decision in self.nodes[node].gate.poll(self.now_us) {
            match decision {
                QueueDecision::Run(ticket) => {
                    if let Some(id) = self.tickets.remove(&(node, ticket)) {
                        self.begin(id, ticket);
                    }
                }
                QueueDecision::Refuse(ticket, _) => {
                    if let Some(id) = self.tickets.remove(&(node, ticket)) {
                        self.reply(id, HopOutcome::NotRun);
                    }
                }
            }
        }
        if let Some(due_us) = self.nodes[node].gate.next_poll_us() {
            let due_us = due_us.max(self.now_us + 1);
            if self.nodes[node].gate_due_us.is_none_or(|at| at <= self.now_us || due_us < at) {
                self.nodes[node].gate_due_us = Some(due_us);
                self.schedule(due_us, Event::GateDue { node });
            }
        }
    }

    fn schedule_server(&mut self, node: usize) {
        self.nodes[node].server_generation += 1;
        let generation = self.nodes[node].server_generation;
        if let Some(time_us) = self.nodes[node].server.next_end_us() {
            self.schedule(time_us.max(self.now_us), Event::ServerDue { node, generation });
        }
    }

    fn server_due(&mut self, node: usize, generation: u64) {
        if generation != self.nodes[node].server_generation {
            return;
        }
        while let Some(id) = self.nodes[node].server.take_ended(self.now_us) {
            self.finish_work(id);
        }
        self.schedule_server(node);
    }

    fn finish_work(&mut self, id: u64) {
        let execution = self.executions.get_mut(&id).expect("every job belongs to an execution");
        let call = &self.calls[&execution.call];
        let Some(next) = SERVICES[call.service].calls else {
            return self.finish(id, HopOutcome::Answered);
        };
        execution.stage = ExecutionStage::Calling;
        let (node, span) = (execution.node, execution.span);
        let origin = Origin { parent: Some(id), span, ..call.origin };
        self.call(node, next, origin);
    }

    /// Ends a run and replies to the hop that made the call.
    fn finish(&mut self, id: u64, outcome: HopOutcome) {
        let Some(execution) = self.executions.get(&id) else { return };
        let run_us = self.now_us - execution.started_us;
        let run_outcome =
            if outcome == HopOutcome::Answered { RunOutcome::Answered } else { RunOutcome::Failed };
        let result = RunResult { run_us, first_byte_us: run_us, outcome: run_outcome };
        let (node, ticket) = (execution.node, execution.ticket.expect("every run has a ticket"));
        self.nodes[node].gate.finish(ticket, &result, self.now_us);
        self.reply(id, outcome);
        self.poll(node);
    }

    fn reply(&mut self, id: u64, outcome: HopOutcome) {
        let Some(execution) = self.executions.remove(&id) else { return };
        let node = execution.node;
        let tokens = self.nodes[node].retry.close_span(execution.span);
        let advice = self.nodes[node].gate.advice(self.now_us);
        let Some(call) = self.calls.get(&execution.call) else { return };
        let delay_us = self.delay_us(node, call.node);
        let call = execution.call;
        let answer = Event::Answer { call, outcome, tokens, advice };
        self.schedule(self.now_us + delay_us, answer);
    }

    fn handle_answer(
        &mut self,
        id: u64,
        outcome: HopOutcome,
        tokens: u32,
        advice: &AdmissionAdvice,
    ) {
        let now_us = self.now_us;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let node = &mut self.nodes[call.node];
        let name = SERVICES[call.service].name;
        let target = InstanceId(call.target as u64);
        let call_outcome = match outcome {
            HopOutcome::Answered | HopOutcome::Failed => CallOutcome::Answered,
            HopOutcome::NotRun => CallOutcome::NotRun,
        };
        let result =
            CallResult { latency_us: now_us - call.sent_us, outcome: call_outcome, kind: 0 };
        node.route.record_call_end(name, target, &result, now_us);
        node.route.record_advice(name, target, advice, now_us);
        node.retry.return_tokens(call.origin.span, tokens.min(call.lent));
        let may_retry = match self.variant {
            PolicyVariant::Adaptive => outcome == HopOutcome::NotRun,
            PolicyVariant::Naive => outcome != HopOutcome::Answered,
        };
        if may_retry && node.retry.spend_token(call.origin.span, name, now_us) {
            if self.variant == PolicyVariant::Adaptive {
                call.excluded.push(target);
            }
            let delay_us = self.random.random_range(0..=2 * NODE_RETRY_DELAY_US);
            self.schedule(now_us + delay_us, Event::Call(id));
            return;
        }
        self.end_call(id, outcome);
    }

    fn end_call(&mut self, id: u64, outcome: HopOutcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        match call.origin.parent {
            Some(execution) => {
                let is_calling = self
                    .executions
                    .get(&execution)
                    .is_some_and(|e| e.stage == ExecutionStage::Calling);
                if is_calling {
                    // A server whose call to the next service failed replies with an error, so the
                    // request has run.
                    let outcome = if outcome == HopOutcome::Answered {
                        HopOutcome::Answered
                    } else {
                        HopOutcome::Failed
                    };
                    self.finish(execution, outcome);
                }
            }
            None => {
                self.nodes[call.node].retry.close_span(call.origin.span);
                self.end_attempt(call.origin.caller, outcome, call.origin.deadline_us);
            }
        }
    }

    fn end_attempt(&mut self, caller: Caller, outcome: HopOutcome, deadline_us: u64) {
        let rank = OPERATIONS[caller.operation].rank;
        if outcome == HopOutcome::Answered && self.now_us <= deadline_us {
            return self.record.record_answered(rank, caller.first_sent_us, self.now_us);
        }
        let attempts_made = caller.attempts_made + 1;
        if attempts_made < CALLER_ATTEMPTS {
            self.schedule(
                self.now_us + CALLER_RETRY_DELAY_US,
                Event::Enter(Caller { attempts_made, ..caller }),
            );
        }
    }

    /// Cancels a request at this hop when its deadline has passed.
    fn expire(&mut self, id: u64) {
        let Some(execution) = self.executions.get(&id) else { return };
        let (node, ticket) = (
            execution.node,
            execution.ticket.expect("an execution that waits or runs has a ticket"),
        );
        match execution.stage {
            ExecutionStage::Waiting => {
                self.nodes[node].gate.withdraw(ticket, self.now_us);
                self.tickets.remove(&(node, ticket));
                self.reply(id, HopOutcome::NotRun);
                self.poll(node);
            }
            ExecutionStage::Working => {
                self.nodes[node].server.cancel(id, self.now_us);
                self.schedule_server(node);
                self.finish(id, HopOutcome::Failed);
            }
            ExecutionStage::Calling => self.finish(id, HopOutcome::Failed),
        }
    }
}
