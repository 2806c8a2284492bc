use std::collections::HashMap;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_model::identity::InstanceId;
use tarragon_testkit::check;

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

/// Steps of a schedule: what happens and to which key, copy, run or gate.
type Schedule = Vec<(u8, u8, u8)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Delivery {
    key: usize,
    caller: u8,
    request: u8,
}

struct Key {
    text: IdempotencyKey,
    gate: usize,
    instance: InstanceId,
    claimed_s: Option<u64>,
}

struct Gate {
    instance: InstanceId,
    table: Box<dyn OncePolicy>,
    waiting: Vec<Delivery>,
    is_draining: bool,
}

/// What the callers with one request under one key know, and what the backend server did.
#[derive(Debug, Default)]
struct Record {
    runs: u32,
    told_not_run: u32,
    told_other: u32,
}

/// Several gates with a fake backend server each, and copies of requests under way.
struct World {
    make: fn(InstanceId) -> Box<dyn OncePolicy>,
    gates: Vec<Gate>,
    keys: Vec<Key>,
    under_way: Vec<Delivery>,
    running: Vec<(usize, Delivery)>,
    records: HashMap<Delivery, Record>,
    instances: u64,
    now_s: u64,
    has_wrong_answer: bool,
}

impl World {
    fn new(make: fn(InstanceId) -> Box<dyn OncePolicy>) -> Self {
        let mut world = Self {
            make,
            gates: vec![],
            keys: vec![],
            under_way: vec![],
            running: vec![],
            records: HashMap::new(),
            instances: 0,
            now_s: 0,
            has_wrong_answer: false,
        };
        world.gates = (0..GATES).map(|_| world.new_gate()).collect();
        (0..4).for_each(|at| world.add_key(at, at == 3));
        world
    }

    fn new_gate(&mut self) -> Gate {
        self.instances += 1;
        let instance = InstanceId(self.instances);
        Gate { instance, table: (self.make)(instance), waiting: vec![], is_draining: false }
    }

    fn add_key(&mut self, gate: usize, is_foreign: bool) {
        let (gate, nonce) = (gate % GATES, self.keys.len() as u64);
        let instance = self.gates[gate].instance;
        let text = match is_foreign {
            true => IdempotencyKey::Foreign(format!("order-{nonce}")),
            false => IdempotencyKey::Issued { owner: instance, nonce },
        };
        self.keys.push(Key { text, gate, instance, claimed_s: None });
    }

    fn run(&mut self, schedule: &Schedule) {
        for &(what, at, how) in schedule {
            match what % 12 {
                0..=2 => {
                    let key = at as usize % self.keys.len();
                    let (caller, request) = (u8::from(how % 8 == 0), u8::from(how % 9 == 0));
                    self.under_way.push(Delivery { key, caller, request });
                }
                3..=6 if !self.under_way.is_empty() => {
                    let copy = self.under_way.swap_remove(at as usize % self.under_way.len());
                    self.arrive(copy, how);
                }
                7 | 8 if !self.running.is_empty() => {
                    let (gate, copy) = self.running.swap_remove(at as usize % self.running.len());
                    self.end(gate, copy, how);
                }
                9 => self.add_key(at as usize, how % 3 == 0),
                10 if how % 4 == 0 => self.restart(at as usize % GATES),
                10 => {
                    let gate = &mut self.gates[at as usize % GATES];
                    gate.is_draining = !gate.is_draining;
                    gate.table.set_drain(gate.is_draining, self.now_s * 1_000_000);
                }
                11 => {
                    self.now_s += u64::from(how);
                    let now_us = self.now_s * 1_000_000;
                    self.gates.iter_mut().for_each(|gate| gate.table.expire(now_us));
                }
                _ => {}
            }
        }
        // Every copy that is still under way arrives late, and every run ends.
        while !(self.under_way.is_empty() && self.running.is_empty()) {
            for copy in std::mem::take(&mut self.under_way) {
                self.arrive(copy, 3);
            }
            for (gate, copy) in std::mem::take(&mut self.running) {
                self.end(gate, copy, 3);
            }
        }
    }

    /// A copy reaches a gate through some entry.
    fn arrive(&mut self, copy: Delivery, how: u8) {
        let key = &mut self.keys[copy.key];
        let is_issued = matches!(key.text, IdempotencyKey::Issued { .. });
        let mut gate = key.gate;
        if is_issued {
            // A faulty entry may send an issued key to any gate.
            gate = if how % 16 == 15 { (gate + 1) % GATES } else { gate };
        } else {
            // A foreign key is claimed for one instance and not resent after its retention.
            let claimed_s = *key.claimed_s.get_or_insert(self.now_s);
            let is_live = key.instance == self.gates[gate].instance;
            if !is_live || self.now_s - claimed_s >= settings().key_retention_s {
                return self.tell(copy, Outcome::Unknown);
            }
        }
        self.offer(gate, copy, how);
    }

    fn offer(&mut self, gate: usize, copy: Delivery, how: u8) {
        let text = self.keys[copy.key].text.clone();
        let now_us = self.now_s * 1_000_000;
        let caller = CallerDigest([copy.caller; 16]);
        let request = RequestDigest([copy.request; 16]);
        match self.gates[gate].table.begin(&text, &caller, &request, now_us) {
            OnceDecision::Run if how.is_multiple_of(5) => {
                // Admission refuses the request.
                self.gates[gate].table.finish(&text, KeyedRunOutcome::NotRun, now_us);
                self.tell(copy, Outcome::NotRun);
                self.wake(gate, copy.key, how);
            }
            OnceDecision::Run => {
                self.records.entry(copy).or_default().runs += 1;
                self.running.push((gate, copy));
            }
            OnceDecision::Wait => self.gates[gate].waiting.push(copy),
            OnceDecision::Replay(answer) => {
                self.has_wrong_answer |=
                    answer.body[..3] != [copy.key as u8, copy.caller, copy.request];
                self.tell(copy, Outcome::Answered);
            }
            OnceDecision::Refuse(reason) => {
                // A lost answer leaves the caller without knowledge.
                let is_lost = how.is_multiple_of(7);
                self.tell(copy, if is_lost { Outcome::Unknown } else { reason.outcome() });
            }
        }
    }

    fn end(&mut self, gate: usize, copy: Delivery, how: u8) {
        let text = self.keys[copy.key].text.clone();
        let mut body = vec![0; 3 + usize::from(how) * 8];
        body[..3].copy_from_slice(&[copy.key as u8, copy.caller, copy.request]);
        let (end, outcome) = match how % 4 {
            0 => (KeyedRunOutcome::Unknown, Outcome::Unknown),
            1 => (KeyedRunOutcome::AnsweredNotStored, Outcome::Answered),
            // The answer is kept but lost on its way to the caller.
            2 => (KeyedRunOutcome::Answered(answer(body)), Outcome::Unknown),
            _ => (KeyedRunOutcome::Answered(answer(body)), Outcome::Answered),
        };
        self.gates[gate].table.finish(&text, end, self.now_s * 1_000_000);
        self.tell(copy, outcome);
        self.wake(gate, copy.key, how);
    }

    /// Copies that waited for a run ask again.
    fn wake(&mut self, gate: usize, key: usize, how: u8) {
        let waiting = std::mem::take(&mut self.gates[gate].waiting);
        let (due, rest): (Vec<Delivery>, _) = waiting.into_iter().partition(|copy| copy.key == key);
        self.gates[gate].waiting = rest;
        due.into_iter().for_each(|copy| self.offer(gate, copy, how));
    }

    /// A gate loses its memory; its backend server may have run what was running.
    fn restart(&mut self, gate: usize) {
        let fresh = self.new_gate();
        let old = std::mem::replace(&mut self.gates[gate], fresh);
        let running = std::mem::take(&mut self.running);
        let (lost, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at == gate);
        self.running = rest;
        let lost = lost.into_iter().map(|(_, copy)| copy);
        lost.chain(old.waiting).for_each(|copy| self.tell(copy, Outcome::Unknown));
    }

    fn tell(&mut self, copy: Delivery, outcome: Outcome) {
        let record = self.records.entry(copy).or_default();
        match outcome {
            Outcome::NotRun => record.told_not_run += 1,
            _ => record.told_other += 1,
        }
    }

    /// Most runs of a key.
    fn most_runs(&self) -> u32 {
        let mut runs = vec![0; self.keys.len()];
        self.records.iter().for_each(|(copy, record)| runs[copy.key] += record.runs);
        runs.into_iter().max().unwrap_or(0)
    }

    /// Whether a request ran although every copy of it was reported as `not-run`.
    fn has_false_not_run(&self) -> bool {
        self.records.values().any(|r| r.runs > 0 && r.told_not_run > 0 && r.told_other == 0)
    }

    /// Whether a request ran although any copy of it was reported as `not-run`.
    fn has_any_false_not_run(&self) -> bool {
        self.records.values().any(|record| record.runs > 0 && record.told_not_run > 0)
    }
}

/// Limits small enough that schedules reach them.
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

fn reusable(instance: InstanceId) -> Box<dyn OncePolicy> {
    Box::new(KeyTable::new(instance, settings()))
}

fn void(instance: InstanceId) -> Box<dyn OncePolicy> {
    Box::new(KeyTable::new(instance, OnceSettings { is_refused_key_void: true, ..settings() }))
}

fn played(make: fn(InstanceId) -> Box<dyn OncePolicy>, schedule: &Schedule) -> World {
    let mut world = World::new(make);
    world.run(schedule);
    world
}

fn long(schedules: &[Schedule]) -> Schedule {
    schedules.concat().into_iter().take(600).collect()
}

fn reusable_keys_run_once(schedules: Vec<Schedule>) -> bool {
    let world = played(reusable, &long(&schedules));
    world.most_runs() <= 1 && !world.has_wrong_answer && !world.has_false_not_run()
}

fn void_keys_run_once(schedules: Vec<Schedule>) -> bool {
    let world = played(void, &long(&schedules));
    world.most_runs() <= 1 && !world.has_wrong_answer && !world.has_any_false_not_run()
}

/// Guards G5 and G4: a second run of a key, an answer to another request, and a request that ran
/// although all its copies were reported as `not-run`.
#[test]
fn no_schedule_runs_a_key_twice() {
    check(SEED, 2_000, reusable_keys_run_once as fn(Vec<Schedule>) -> bool);
}

/// Guards the strict form of G4 that `is_refused_key_void` gives: no copy that arrives late runs
/// after any copy was reported as `not-run`.
#[test]
fn no_late_copy_of_a_void_key_runs() {
    check(SEED, 2_000, void_keys_run_once as fn(Vec<Schedule>) -> bool);
}

/// Shows that the schedules find the faults: the naive version runs keys twice, and reusable keys
/// let late copies run after a refusal.
#[test]
fn schedules_break_the_naive_version() {
    let mut gen = Gen::from_size_and_seed(100, SEED);
    let schedules: Vec<Schedule> =
        (0..200).map(|_| long(&Vec::<Schedule>::arbitrary(&mut gen))).collect();
    let naive = |_| -> Box<dyn OncePolicy> { Box::new(NaiveOnce::default()) };
    let naive_runs = schedules.iter().filter(|s| played(naive, s).most_runs() > 1).count();
    let late = schedules.iter().filter(|s| played(reusable, s).has_any_false_not_run()).count();
    eprintln!("of 200 schedules: naive {naive_runs} double runs, {late} late copies ran");
    assert!(naive_runs > 100, "the schedules hardly test anything: {naive_runs}");
    assert!(late > 0, "the schedules have no late copy after a refusal");
}

const CALLER: CallerDigest = CallerDigest([1; 16]);
const REQUEST: RequestDigest = RequestDigest([1; 16]);
const OWNER: InstanceId = InstanceId(1);

fn issued(nonce: u64) -> IdempotencyKey {
    IdempotencyKey::Issued { owner: OWNER, nonce }
}

/// Guards memory, and against a key that is forgotten in order to save it.
#[test]
fn full_table_drops_answers_first_and_then_closes() {
    let settings = OnceSettings { max_memory_bytes: 100_000, ..OnceSettings::default() };
    let mut table = KeyTable::new(OWNER, settings);
    let mut runs = 0;
    for nonce in 0..40_000 {
        match table.begin(&issued(nonce), &CALLER, &REQUEST, nonce) {
            OnceDecision::Run => {
                runs += 1;
                let end = KeyedRunOutcome::Answered(answer(vec![0; 1_000]));
                table.finish(&issued(nonce), end, nonce);
                let again = table.begin(&issued(nonce), &CALLER, &REQUEST, nonce);
                assert!(nonce > 4_000 || matches!(again, OnceDecision::Replay(_)), "key {nonce}");
            }
            verdict => assert_eq!(verdict, OnceDecision::Refuse(Reason::KeyVoid)),
        }
        assert!(table.memory_bytes() <= 100_000);
    }
    assert!(table.is_closed());
    assert!(runs > 9_000, "only {runs} keys fit into 100000 bytes");
    for nonce in 0..40_000 {
        let verdict = table.begin(&issued(nonce), &CALLER, &REQUEST, 40_000);
        assert_ne!(verdict, OnceDecision::Run, "key {nonce} was forgotten");
    }
}

/// Guards against stored answers that reach another caller or outlive their retention, and against
/// keys of a drain that run after it.
#[test]
fn answers_are_bound_to_caller_request_and_time() {
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
