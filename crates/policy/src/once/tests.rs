use std::collections::HashMap;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_model::identity::InstanceId;
use tarragon_testkit::check_property;

use crate::once::CallerDigest;
use crate::once::KeyTable;
use crate::once::KeyedRunOutcome;
use crate::once::NaiveOnce;
use crate::once::OnceDecision;
use crate::once::OncePolicy;
use crate::once::OnceSettings;
use crate::once::RequestDigest;
use crate::once::StoredAnswer;

const GATES: usize = 3;
const SEED: u64 = 0x04ce;

/// Steps of a schedule: the action, the index of its key, copy, run or gate, and a parameter.
type Schedule = Vec<(u8, u8, u8)>;

/// One copy of a request; equal values are copies of the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RequestCopy {
    key: usize,
    caller: u8,
    request: u8,
}

struct TestKey {
    text: IdempotencyKey,
    gate: usize,
    instance: InstanceId,
    claimed_s: Option<u64>,
}

struct TestGate {
    instance: InstanceId,
    table: Box<dyn OncePolicy>,
    waiting: Vec<RequestCopy>,
    is_draining: bool,
}

/// Runs of one request on the backend server, and the outcomes that were reported to its callers.
#[derive(Debug, Default)]
struct CopyRecord {
    runs: u32,
    reported_not_run: u32,
    reported_otherwise: u32,
}

/// Simulates several gates, each with a fake backend server, and copies of requests in flight.
struct Simulation {
    new_policy: fn(InstanceId) -> Box<dyn OncePolicy>,
    gates: Vec<TestGate>,
    keys: Vec<TestKey>,
    copies_in_flight: Vec<RequestCopy>,
    running: Vec<(usize, RequestCopy)>,
    records: HashMap<RequestCopy, CopyRecord>,
    instances: u64,
    now_s: u64,
    has_wrong_answer: bool,
}

impl Simulation {
    fn new(new_policy: fn(InstanceId) -> Box<dyn OncePolicy>) -> Self {
        let mut simulation = Self {
            new_policy,
            gates: vec![],
            keys: vec![],
            copies_in_flight: vec![],
            running: vec![],
            records: HashMap::new(),
            instances: 0,
            now_s: 0,
            has_wrong_answer: false,
        };
        simulation.gates = (0..GATES).map(|_| simulation.new_gate()).collect();
        (0..4).for_each(|at| simulation.add_key(at, at == 3));
        simulation
    }

    fn new_gate(&mut self) -> TestGate {
        self.instances += 1;
        let instance = InstanceId(self.instances);
        TestGate {
            instance,
            table: (self.new_policy)(instance),
            waiting: vec![],
            is_draining: false,
        }
    }

    fn add_key(&mut self, gate: usize, is_foreign: bool) {
        let (gate, nonce) = (gate % GATES, self.keys.len() as u64);
        let instance = self.gates[gate].instance;
        let text = match is_foreign {
            true => IdempotencyKey::Foreign(format!("order-{nonce}")),
            false => IdempotencyKey::Issued { owner: instance, nonce },
        };
        self.keys.push(TestKey { text, gate, instance, claimed_s: None });
    }

    fn run(&mut self, schedule: &Schedule) {
        for &(action, at, parameter) in schedule {
            match action % 12 {
                0..=2 => {
                    let key = at as usize % self.keys.len();
                    let (caller, request) =
                        (u8::from(parameter % 8 == 0), u8::from(parameter % 9 == 0));
                    self.copies_in_flight.push(RequestCopy { key, caller, request });
                }
                3..=6 if !self.copies_in_flight.is_empty() => {
                    let copy = self
                        .copies_in_flight
                        .swap_remove(at as usize % self.copies_in_flight.len());
                    self.deliver(copy, parameter);
                }
                7 | 8 if !self.running.is_empty() => {
                    let (gate, copy) = self.running.swap_remove(at as usize % self.running.len());
                    self.end_run(gate, copy, parameter);
                }
                9 => self.add_key(at as usize, parameter % 3 == 0),
                10 if parameter % 4 == 0 => self.restart(at as usize % GATES),
                10 => {
                    let gate = &mut self.gates[at as usize % GATES];
                    gate.is_draining = !gate.is_draining;
                    gate.table.set_drain(gate.is_draining, self.now_s * 1_000_000);
                }
                11 => {
                    self.now_s += u64::from(parameter);
                    let now_us = self.now_s * 1_000_000;
                    self.gates.iter_mut().for_each(|gate| gate.table.expire(now_us));
                }
                _ => {}
            }
        }
        // Delivers every copy that is still in flight and ends every run.
        while !(self.copies_in_flight.is_empty() && self.running.is_empty()) {
            for copy in std::mem::take(&mut self.copies_in_flight) {
                self.deliver(copy, 3);
            }
            for (gate, copy) in std::mem::take(&mut self.running) {
                self.end_run(gate, copy, 3);
            }
        }
    }

    /// Delivers a copy of a request to a gate through an entry.
    fn deliver(&mut self, copy: RequestCopy, parameter: u8) {
        let key = &mut self.keys[copy.key];
        let is_issued = matches!(key.text, IdempotencyKey::Issued { .. });
        let mut gate = key.gate;
        if is_issued {
            // A faulty entry may send an issued key to any gate.
            gate = if parameter % 16 == 15 { (gate + 1) % GATES } else { gate };
        } else {
            // A foreign key is claimed for one instance and not resent after its retention time.
            let claimed_s = *key.claimed_s.get_or_insert(self.now_s);
            let is_current = key.instance == self.gates[gate].instance;
            if !is_current || self.now_s - claimed_s >= settings().key_retention_s {
                return self.report_outcome(copy, Outcome::Unknown);
            }
        }
        self.offer(gate, copy, parameter);
    }

    fn offer(&mut self, gate: usize, copy: RequestCopy, parameter: u8) {
        let text = self.keys[copy.key].text.clone();
        let now_us = self.now_s * 1_000_000;
        let caller = CallerDigest([copy.caller; 16]);
        let request = RequestDigest([copy.request; 16]);
        match self.gates[gate].table.begin(&text, &caller, &request, now_us) {
            OnceDecision::Run if parameter.is_multiple_of(5) => {
                // Admission refuses the request.
                self.gates[gate].table.finish(&text, KeyedRunOutcome::NotRun, now_us);
                self.report_outcome(copy, Outcome::NotRun);
                self.offer_waiting_copies(gate, copy.key, parameter);
            }
            OnceDecision::Run => {
                self.records.entry(copy).or_default().runs += 1;
                self.running.push((gate, copy));
            }
            OnceDecision::Wait => self.gates[gate].waiting.push(copy),
            OnceDecision::Replay(answer) => {
                self.has_wrong_answer |=
                    answer.body[..3] != [copy.key as u8, copy.caller, copy.request];
                self.report_outcome(copy, Outcome::Answered);
            }
            OnceDecision::Refuse(reason) => {
                // A lost answer leaves the outcome unknown to the caller.
                let is_lost = parameter.is_multiple_of(7);
                self.report_outcome(
                    copy,
                    if is_lost { Outcome::Unknown } else { reason.outcome() },
                );
            }
        }
    }

    fn end_run(&mut self, gate: usize, copy: RequestCopy, parameter: u8) {
        let text = self.keys[copy.key].text.clone();
        let mut body = vec![0; 3 + usize::from(parameter) * 8];
        body[..3].copy_from_slice(&[copy.key as u8, copy.caller, copy.request]);
        let (run_outcome, reported_outcome) = match parameter % 4 {
            0 => (KeyedRunOutcome::Unknown, Outcome::Unknown),
            1 => (KeyedRunOutcome::AnsweredNotStored, Outcome::Answered),
            // The answer is kept, but lost before it reaches the caller.
            2 => (KeyedRunOutcome::Answered(answer(body)), Outcome::Unknown),
            _ => (KeyedRunOutcome::Answered(answer(body)), Outcome::Answered),
        };
        self.gates[gate].table.finish(&text, run_outcome, self.now_s * 1_000_000);
        self.report_outcome(copy, reported_outcome);
        self.offer_waiting_copies(gate, copy.key, parameter);
    }

    /// Offers the copies that waited for the end of a run to the gate again.
    fn offer_waiting_copies(&mut self, gate: usize, key: usize, parameter: u8) {
        let waiting = std::mem::take(&mut self.gates[gate].waiting);
        let (resumed, rest): (Vec<RequestCopy>, _) =
            waiting.into_iter().partition(|copy| copy.key == key);
        self.gates[gate].waiting = rest;
        resumed.into_iter().for_each(|copy| self.offer(gate, copy, parameter));
    }

    /// Restarts a gate, which loses its table. Requests that were running may have been executed.
    fn restart(&mut self, gate: usize) {
        let fresh = self.new_gate();
        let old = std::mem::replace(&mut self.gates[gate], fresh);
        let running = std::mem::take(&mut self.running);
        let (lost, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at == gate);
        self.running = rest;
        let lost = lost.into_iter().map(|(_, copy)| copy);
        lost.chain(old.waiting).for_each(|copy| self.report_outcome(copy, Outcome::Unknown));
    }

    fn report_outcome(&mut self, copy: RequestCopy, outcome: Outcome) {
        let record = self.records.entry(copy).or_default();
        match outcome {
            Outcome::NotRun => record.reported_not_run += 1,
            _ => record.reported_otherwise += 1,
        }
    }

    /// Largest number of runs of any key.
    fn max_runs_per_key(&self) -> u32 {
        let mut runs = vec![0; self.keys.len()];
        self.records.iter().for_each(|(copy, record)| runs[copy.key] += record.runs);
        runs.into_iter().max().unwrap_or(0)
    }

    /// Whether a request ran although every copy was reported as `not-run`.
    fn has_false_not_run(&self) -> bool {
        self.records
            .values()
            .any(|r| r.runs > 0 && r.reported_not_run > 0 && r.reported_otherwise == 0)
    }

    /// Whether a request ran although at least one copy was reported as `not-run`.
    fn has_any_false_not_run(&self) -> bool {
        self.records.values().any(|record| record.runs > 0 && record.reported_not_run > 0)
    }
}

/// Settings with limits that the schedules reach.
fn settings() -> OnceSettings {
    OnceSettings {
        key_retention_s: 300,
        max_body_bytes: 1_500,
        max_memory_bytes: 6_000,
        is_refused_key_void: false,
    }
}

fn answer(body: Vec<u8>) -> StoredAnswer {
    StoredAnswer { status: 200, headers: vec![], body }
}

fn reusable_key_table(instance: InstanceId) -> Box<dyn OncePolicy> {
    Box::new(KeyTable::new(instance, settings()))
}

fn void_key_table(instance: InstanceId) -> Box<dyn OncePolicy> {
    Box::new(KeyTable::new(instance, OnceSettings { is_refused_key_void: true, ..settings() }))
}

fn simulate(new_policy: fn(InstanceId) -> Box<dyn OncePolicy>, schedule: &Schedule) -> Simulation {
    let mut simulation = Simulation::new(new_policy);
    simulation.run(schedule);
    simulation
}

fn concatenate(schedules: &[Schedule]) -> Schedule {
    schedules.concat().into_iter().take(600).collect()
}

fn reusable_keys_run_once(schedules: Vec<Schedule>) -> bool {
    let simulation = simulate(reusable_key_table, &concatenate(&schedules));
    simulation.max_runs_per_key() <= 1
        && !simulation.has_wrong_answer
        && !simulation.has_false_not_run()
}

fn void_keys_run_once(schedules: Vec<Schedule>) -> bool {
    let simulation = simulate(void_key_table, &concatenate(&schedules));
    simulation.max_runs_per_key() <= 1
        && !simulation.has_wrong_answer
        && !simulation.has_any_false_not_run()
}

/// Guards G5 and G4 against a second run of a key, an answer to another request, and a request that
/// ran although all of its copies were reported as `not-run`.
#[test]
fn no_schedule_runs_a_key_twice() {
    check_property(SEED, 2_000, reusable_keys_run_once as fn(Vec<Schedule>) -> bool);
}

/// Guards the strict form of G4 with `is_refused_key_void`: no late copy of a request runs after
/// any copy was reported as `not-run`.
#[test]
fn no_late_copy_of_a_request_with_a_void_key_runs() {
    check_property(SEED, 2_000, void_keys_run_once as fn(Vec<Schedule>) -> bool);
}

/// Checks that the schedules can reveal the faults: the naive policy runs keys twice, and with
/// reusable keys late copies run after a refusal.
#[test]
fn schedules_reveal_the_faults_of_the_naive_policy() {
    let mut gen = Gen::from_size_and_seed(100, SEED);
    let schedules: Vec<Schedule> =
        (0..200).map(|_| concatenate(&Vec::<Schedule>::arbitrary(&mut gen))).collect();
    let naive = |_| -> Box<dyn OncePolicy> { Box::new(NaiveOnce::default()) };
    let naive_runs = schedules.iter().filter(|s| simulate(naive, s).max_runs_per_key() > 1).count();
    let late = schedules
        .iter()
        .filter(|s| simulate(reusable_key_table, s).has_any_false_not_run())
        .count();
    eprintln!("of 200 schedules: {naive_runs} run a key twice (naive), {late} run a late copy");
    assert!(naive_runs > 100, "too few schedules reveal a second run: {naive_runs}");
    assert!(late > 0, "no schedule has a late copy that runs after a refusal");
}

const CALLER: CallerDigest = CallerDigest([1; 16]);
const REQUEST: RequestDigest = RequestDigest([1; 16]);
const OWNER: InstanceId = InstanceId(1);

fn issued(nonce: u64) -> IdempotencyKey {
    IdempotencyKey::Issued { owner: OWNER, nonce }
}

/// Guards against memory above the limit, and against keys that are dropped in order to free
/// memory.
#[test]
fn full_table_drops_answers_before_it_closes() {
    let settings = OnceSettings { max_memory_bytes: 100_000, ..OnceSettings::default() };
    let mut table = KeyTable::new(OWNER, settings);
    let mut runs = 0;
    for nonce in 0..40_000 {
        match table.begin(&issued(nonce), &CALLER, &REQUEST, nonce) {
            OnceDecision::Run => {
                runs += 1;
                let outcome = KeyedRunOutcome::Answered(answer(vec![0; 1_000]));
                table.finish(&issued(nonce), outcome, nonce);
                let repeated = table.begin(&issued(nonce), &CALLER, &REQUEST, nonce);
                assert!(
                    nonce > 4_000 || matches!(repeated, OnceDecision::Replay(_)),
                    "key {nonce}"
                );
            }
            decision => assert_eq!(decision, OnceDecision::Refuse(Reason::KeyVoid)),
        }
        assert!(table.memory_bytes() <= 100_000);
    }
    assert!(table.is_closed());
    assert!(runs > 9_000, "only {runs} keys fit in 100000 bytes");
    for nonce in 0..40_000 {
        let decision = table.begin(&issued(nonce), &CALLER, &REQUEST, 40_000);
        assert_ne!(decision, OnceDecision::Run, "key {nonce} was dropped");
    }
}

/// Guards against stored answers that are sent to another caller or kept after their retention
/// time, and against keys that were refused during a drain and run after it.
#[test]
fn answers_are_bound_to_caller_request_and_retention_time() {
    let mut table = KeyTable::new(OWNER, OnceSettings::default());
    let begin = |table: &mut KeyTable, key: &IdempotencyKey, caller, request, now_us| {
        table.begin(key, &CallerDigest([caller; 16]), &RequestDigest([request; 16]), now_us)
    };
    let foreign = IdempotencyKey::Foreign("order-1".to_string());
    for key in [issued(1), foreign.clone()] {
        assert_eq!(begin(&mut table, &key, 1, 1, 0), OnceDecision::Run);
        assert_eq!(begin(&mut table, &key, 1, 1, 0), OnceDecision::Wait);
        table.finish(&key, KeyedRunOutcome::Answered(answer(vec![7; 64 * 1_024])), 0);
        assert!(matches!(begin(&mut table, &key, 1, 1, 1), OnceDecision::Replay(_)));
        let mismatch = OnceDecision::Refuse(Reason::KeyMismatch);
        assert_eq!(begin(&mut table, &key, 2, 1, 1), mismatch);
        assert_eq!(begin(&mut table, &key, 1, 2, 1), mismatch);
    }
    let unknown = OnceDecision::Refuse(Reason::KeyUnknown);
    let other = IdempotencyKey::Issued { owner: InstanceId(2), nonce: 1 };
    assert_eq!(begin(&mut table, &other, 1, 1, 1), unknown);
    assert_eq!(begin(&mut table, &issued(2), 1, 1, 0), OnceDecision::Run);
    table.finish(&issued(2), KeyedRunOutcome::Answered(answer(vec![7; 64 * 1_024 + 1])), 0);
    assert_eq!(begin(&mut table, &issued(2), 1, 1, 1), unknown);
    let later_us = 7_200_000_000;
    table.expire(later_us);
    assert_eq!(begin(&mut table, &issued(1), 1, 1, later_us), unknown);
    assert!(table.memory_bytes() < 200, "only nonces are kept: {}", table.memory_bytes());
    table.set_drain(true, later_us);
    let void = OnceDecision::Refuse(Reason::KeyVoid);
    assert_eq!(begin(&mut table, &issued(3), 1, 1, later_us), void);
    table.set_drain(false, later_us);
    assert_eq!(begin(&mut table, &issued(3), 1, 1, later_us), void);
    assert_eq!(begin(&mut table, &issued(4), 1, 1, later_us), OnceDecision::Run);
}
