//! Test harness: a gate, a model of its running and waiting requests, and a backend server in
//! virtual time.

use std::collections::BTreeMap;

use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_policy::admission::shed_hash;
use tarragon_policy::admission::AdaptiveAdmission;
use tarragon_policy::admission::AdmissionDecision;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionRefusal;
use tarragon_policy::admission::AdmissionRequest;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::NaiveAdmission;
use tarragon_policy::admission::QueueDecision;
use tarragon_policy::admission::RunOutcome;
use tarragon_policy::admission::RunResult;
use tarragon_policy::admission::Ticket;
use tarragon_policy::admission::WorkClass;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

pub fn create_gate(settings: &AdmissionSettings) -> Box<dyn AdmissionPolicy> {
    match std::env::var("TARRAGON_ADMISSION").as_deref() {
        Ok("naive") => Box::new(NaiveAdmission::new(settings)),
        _ => Box::new(AdaptiveAdmission::new(settings)),
    }
}

/// Creates a short request with an importance rank; rank 0 is the most important.
pub fn short_request(counter: u64, rank: u8, deadline_left_us: u64) -> AdmissionRequest {
    let request_id = RequestId { instance: InstanceId(7), counter };
    AdmissionRequest {
        request_id,
        rank,
        kind: 0,
        class: WorkClass::Short,
        expected_us: 10 * MS,
        deadline_left_us,
    }
}

/// Creates a long request with an importance rank; rank 0 is the most important.
pub fn long_request(counter: u64, rank: u8, deadline_left_us: u64) -> AdmissionRequest {
    let request = short_request(counter, rank, deadline_left_us);
    AdmissionRequest { class: WorkClass::Long, expected_us: SECOND, ..request }
}

/// Rank and shed hash; requests with greater values are shed first.
pub fn shedding_order(request: &AdmissionRequest) -> (u8, u16) {
    (request.rank, shed_hash(request.request_id))
}

/// Final decision of the gate on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateEvent {
    Started(AdmissionRequest),
    Refused(AdmissionRequest, AdmissionRefusal),
}

pub struct GateHarness {
    pub gate: Box<dyn AdmissionPolicy>,
    pub now_us: u64,
    /// Running requests with their start times, in µs.
    pub running: BTreeMap<Ticket, (AdmissionRequest, u64)>,
    /// Waiting requests with their deadlines, in µs.
    pub waiting: BTreeMap<Ticket, (AdmissionRequest, u64)>,
    /// Decisions of the gate since the last `clear`, in order.
    pub events: Vec<GateEvent>,
    /// Number of requests that `run_load` has offered.
    pub counter: u64,
    /// End times of the runs that `run_load` has scheduled, in µs.
    ends: BTreeMap<Ticket, u64>,
}

impl GateHarness {
    pub fn new(slots: u32) -> Self {
        // All slots are available from the start, so that tests need no warm-up.
        Self::with_settings(
            slots,
            AdmissionSettings { initial_share: 1.0, ..AdmissionSettings::default() },
        )
    }

    pub fn with_settings(slots: u32, settings: AdmissionSettings) -> Self {
        let mut gate = create_gate(&settings);
        gate.set_slots(slots, 0);
        let (running, waiting) = (BTreeMap::new(), BTreeMap::new());
        let (events, ends) = (Vec::new(), BTreeMap::new());
        Self { gate, now_us: 0, running, waiting, events, counter: 0, ends }
    }

    pub fn offer(&mut self, request: AdmissionRequest) -> AdmissionDecision {
        let decision = self.gate.offer(&request, self.now_us);
        match decision {
            AdmissionDecision::Run(ticket) => {
                assert!(self.running.insert(ticket, (request, self.now_us)).is_none());
                self.events.push(GateEvent::Started(request));
            }
            AdmissionDecision::Wait(ticket) => {
                let deadline_us = self.now_us + request.deadline_left_us;
                assert!(self.waiting.insert(ticket, (request, deadline_us)).is_none());
            }
            AdmissionDecision::Refuse(refusal) => {
                self.events.push(GateEvent::Refused(request, refusal))
            }
        }
        decision
    }

    pub fn poll(&mut self) {
        for decision in self.gate.poll(self.now_us) {
            let (QueueDecision::Run(ticket) | QueueDecision::Refuse(ticket, _)) = decision;
            let (request, _) =
                self.waiting.remove(&ticket).expect("the gate decides only on waiting tickets");
            match decision {
                QueueDecision::Run(_) => {
                    self.running.insert(ticket, (request, self.now_us));
                    self.events.push(GateEvent::Started(request));
                }
                QueueDecision::Refuse(_, refusal) => {
                    self.events.push(GateEvent::Refused(request, refusal))
                }
            }
        }
    }

    pub fn finish(&mut self, ticket: Ticket, outcome: RunOutcome) {
        let (_, started_us) =
            self.running.remove(&ticket).expect("tests finish only running tickets");
        let run_us = self.now_us - started_us;
        self.gate.finish(
            ticket,
            &RunResult { run_us, first_byte_us: run_us, outcome },
            self.now_us,
        );
    }

    /// Ends the runs of short requests that have taken at least `run_us`.
    pub fn finish_short(&mut self, run_us: u64, outcome: RunOutcome) {
        let runs = self.running.iter();
        let ended = runs.filter(|(_, (request, started_us))| {
            request.class == WorkClass::Short && started_us + run_us <= self.now_us
        });
        let tickets: Vec<Ticket> = ended.map(|(ticket, _)| *ticket).collect();
        tickets.into_iter().for_each(|ticket| self.finish(ticket, outcome));
        self.poll();
    }

    /// Advances the time, and polls whenever a poll is due.
    pub fn advance(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while let Some(at_us) = self.gate.next_poll_us().filter(|at_us| *at_us <= end_us) {
            let is_repeated = at_us <= self.now_us;
            self.now_us = self.now_us.max(at_us);
            self.poll();
            if is_repeated && self.gate.next_poll_us().is_some_and(|at_us| at_us <= self.now_us) {
                panic!("a poll has no effect, but the next one is due at once");
            }
        }
        self.now_us = end_us;
    }

    /// Offers a short request every `interval_us` for `duration_us`, with the given ranks in turn,
    /// to a server whose short runs take `run_us(in_flight)`. Long runs take the expected time.
    pub fn run_load(
        &mut self,
        ranks: &[u8],
        interval_us: u64,
        run_us: &dyn Fn(usize) -> u64,
        duration_us: u64,
    ) {
        let end_us = self.now_us + duration_us;
        let mut offer_us = self.now_us;
        while self.now_us < end_us {
            self.now_us += 500;
            self.ends.retain(|ticket, _| self.running.contains_key(ticket));
            let due = self.ends.iter().filter(|(_, end_us)| **end_us <= self.now_us);
            let due: Vec<Ticket> = due.map(|(ticket, _)| *ticket).collect();
            due.into_iter().for_each(|ticket| self.finish(ticket, RunOutcome::Answered));
            while offer_us <= self.now_us {
                self.counter += 1;
                let rank = ranks[self.counter as usize % ranks.len()];
                self.offer(short_request(self.counter, rank, SECOND));
                offer_us += interval_us;
            }
            self.poll();
            // Run times vary by a third in both directions, without randomness.
            let in_flight = self.running.len();
            for (ticket, (request, _)) in &self.running {
                let spread_permille = 667 + ticket.0 * 7919 % 667;
                let actual_run_us = || match request.class {
                    WorkClass::Short => run_us(in_flight) * spread_permille / 1000,
                    WorkClass::Long => request.expected_us,
                };
                self.ends.entry(*ticket).or_insert_with(|| self.now_us + actual_run_us());
            }
        }
    }

    pub fn limit(&self) -> u32 {
        self.gate.advice(self.now_us).limit
    }

    pub fn running_count(&self, class: WorkClass) -> usize {
        self.running.values().filter(|(request, _)| request.class == class).count()
    }
}
