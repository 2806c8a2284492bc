//! A gate, a model of what runs and waits at it, and a backend server in virtual time.

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

pub fn gate(settings: &AdmissionSettings) -> Box<dyn AdmissionPolicy> {
    match std::env::var("TARRAGON_ADMISSION").as_deref() {
        Ok("naive") => Box::new(NaiveAdmission::new(settings)),
        _ => Box::new(AdaptiveAdmission::new(settings)),
    }
}

pub fn short(counter: u64, rank: u8, deadline_left_us: u64) -> AdmissionRequest {
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

pub fn long(counter: u64, rank: u8, deadline_left_us: u64) -> AdmissionRequest {
    let offer = short(counter, rank, deadline_left_us);
    AdmissionRequest { class: WorkClass::Long, expected_us: SECOND, ..offer }
}

/// Rank and shed hash; the greater is shed first.
pub fn worth(offer: &AdmissionRequest) -> (u8, u16) {
    (offer.rank, shed_hash(offer.request_id))
}

/// What the gate decided since the last look, in its order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    Ran(AdmissionRequest),
    Refused(AdmissionRequest, AdmissionRefusal),
}

pub struct Bench {
    pub gate: Box<dyn AdmissionPolicy>,
    pub now_us: u64,
    /// Running requests with their start.
    pub running: BTreeMap<Ticket, (AdmissionRequest, u64)>,
    /// Waiting requests with their deadline.
    pub waiting: BTreeMap<Ticket, (AdmissionRequest, u64)>,
    pub seen: Vec<Seen>,
    pub counter: u64,
    /// Ends of the runs that `load` has seen.
    ends: BTreeMap<Ticket, u64>,
}

impl Bench {
    pub fn new(slots: u32) -> Self {
        // All slots are available at once, so that a test need not ramp up first.
        Self::with(slots, AdmissionSettings { initial_share: 1.0, ..AdmissionSettings::default() })
    }

    pub fn with(slots: u32, settings: AdmissionSettings) -> Self {
        let mut gate = gate(&settings);
        gate.set_slots(slots, 0);
        let (running, waiting) = (BTreeMap::new(), BTreeMap::new());
        let (seen, ends) = (Vec::new(), BTreeMap::new());
        Self { gate, now_us: 0, running, waiting, seen, counter: 0, ends }
    }

    pub fn offer(&mut self, offer: AdmissionRequest) -> AdmissionDecision {
        let verdict = self.gate.offer(&offer, self.now_us);
        match verdict {
            AdmissionDecision::Run(ticket) => {
                assert!(self.running.insert(ticket, (offer, self.now_us)).is_none());
                self.seen.push(Seen::Ran(offer));
            }
            AdmissionDecision::Wait(ticket) => {
                let deadline_us = self.now_us + offer.deadline_left_us;
                assert!(self.waiting.insert(ticket, (offer, deadline_us)).is_none());
            }
            AdmissionDecision::Refuse(refusal) => self.seen.push(Seen::Refused(offer, refusal)),
        }
        verdict
    }

    pub fn poll(&mut self) {
        for release in self.gate.poll(self.now_us) {
            let (QueueDecision::Run(ticket) | QueueDecision::Refuse(ticket, _)) = release;
            let (offer, _) = self.waiting.remove(&ticket).expect("only waiting tickets released");
            match release {
                QueueDecision::Run(_) => {
                    self.running.insert(ticket, (offer, self.now_us));
                    self.seen.push(Seen::Ran(offer));
                }
                QueueDecision::Refuse(_, refusal) => self.seen.push(Seen::Refused(offer, refusal)),
            }
        }
    }

    pub fn finish(&mut self, ticket: Ticket, end: RunOutcome) {
        let (_, started_us) = self.running.remove(&ticket).expect("only running tickets finish");
        let run_us = self.now_us - started_us;
        self.gate.finish(
            ticket,
            &RunResult { run_us, first_byte_us: run_us, outcome: end },
            self.now_us,
        );
    }

    /// Ends the runs of short requests that have lasted `run_us`.
    pub fn finish_short(&mut self, run_us: u64, end: RunOutcome) {
        let runs = self.running.iter();
        let ended = runs.filter(|(_, (offer, started_us))| {
            offer.class == WorkClass::Short && started_us + run_us <= self.now_us
        });
        let tickets: Vec<Ticket> = ended.map(|(ticket, _)| *ticket).collect();
        tickets.into_iter().for_each(|ticket| self.finish(ticket, end));
        self.poll();
    }

    /// Lets time pass, and polls whenever the gate asks for it.
    pub fn pass(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while let Some(at_us) = self.gate.next_poll_us().filter(|at_us| *at_us <= end_us) {
            let is_repeated = at_us <= self.now_us;
            self.now_us = self.now_us.max(at_us);
            self.poll();
            if is_repeated && self.gate.next_poll_us().is_some_and(|at_us| at_us <= self.now_us) {
                panic!("the gate asks for a poll that changes nothing");
            }
        }
        self.now_us = end_us;
    }

    /// Offers short requests of the given ranks every `interval_us` to a server whose short runs
    /// last `run_us(in flight)`, for a time. Long runs last as long as expected.
    pub fn load(
        &mut self,
        ranks: &[u8],
        interval_us: u64,
        run_us: &dyn Fn(usize) -> u64,
        for_us: u64,
    ) {
        let end_us = self.now_us + for_us;
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
                self.offer(short(self.counter, rank, SECOND));
                offer_us += interval_us;
            }
            self.poll();
            // Run times differ by a third up and down, without randomness.
            let in_flight = self.running.len();
            for (ticket, (offer, _)) in &self.running {
                let spread = 667 + ticket.0 * 7919 % 667;
                let last_us = || match offer.class {
                    WorkClass::Short => run_us(in_flight) * spread / 1000,
                    WorkClass::Long => offer.expected_us,
                };
                self.ends.entry(*ticket).or_insert_with(|| self.now_us + last_us());
            }
        }
    }

    pub fn limit(&self) -> u32 {
        self.gate.advice(self.now_us).limit
    }

    pub fn running_of(&self, class: WorkClass) -> usize {
        self.running.values().filter(|(offer, _)| offer.class == class).count()
    }
}
