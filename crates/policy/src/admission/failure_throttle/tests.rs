use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;

use super::FailureThrottle;
use super::FailureThrottleSettings;
use super::RequestEnd;
use crate::admission::AdmissionPolicy;
use crate::admission::Offer;
use crate::admission::Release;
use crate::admission::RunEnd;
use crate::admission::RunResult;
use crate::admission::SlotAdmission;
use crate::admission::SlotSettings;
use crate::admission::Ticket;
use crate::admission::Verdict;
use crate::admission::WorkClass;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

/// The calls that a chain makes one after the other.
const CHAIN_CALLS: u32 = 5;
const CALL_US: u64 = 55 * MS;
const CALL_LIMIT_US: u64 = 700 * MS;
/// Time limit of the whole chain.
const CHAIN_LIMIT_US: u64 = 1_200 * MS;
/// Time after which a client sends a failed request again, once.
const CLIENT_RETRY_US: u64 = 100 * MS;
const SLOTS: u32 = 54;
const ENTRIES: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive { entry: usize, is_retry: bool },
    Call { chain: usize },
    EndCall { chain: usize, ticket: Ticket },
    Poll,
}

struct Chain {
    entry: usize,
    is_retry: bool,
    deadline_us: u64,
    calls_left: u32,
}

/// Chains that enter at several nodes and call one server.
struct Play {
    rng: Pcg32,
    gate: SlotAdmission,
    throttles: Vec<FailureThrottle>,
    steps: BTreeSet<(u64, u64, Step)>,
    chains: Vec<Chain>,
    waiting: BTreeMap<Ticket, usize>,
    served: u32,
    number: u64,
}

impl Play {
    fn new(settings: FailureThrottleSettings) -> Self {
        let mut gate = SlotAdmission::new(SlotSettings::default());
        gate.set_slots(SLOTS, 0);
        Self {
            rng: Pcg32::seed_from_u64(3),
            gate,
            throttles: (0..ENTRIES).map(|_| FailureThrottle::new(settings)).collect(),
            steps: BTreeSet::new(),
            chains: Vec::new(),
            waiting: BTreeMap::new(),
            served: 0,
            number: 0,
        }
    }

    fn at(&mut self, at_us: u64, step: Step) {
        self.number += 1;
        self.steps.insert((at_us, self.number, step));
    }

    /// Clients that come at a steady rate from one time to another.
    fn arrivals(&mut self, from_us: u64, to_us: u64, per_s: u64) {
        let mut at_us = from_us;
        while at_us < to_us {
            let gap_us = 2 * SECOND / per_s;
            at_us += self.rng.random_range(0..gap_us);
            let entry = self.rng.random_range(0..ENTRIES);
            self.at(at_us, Step::Arrive { entry, is_retry: false });
        }
    }

    /// Chains that were served between two times.
    fn served_until(&mut self, until_us: u64) -> u32 {
        let before = self.served;
        while let Some((now_us, _, step)) = self.steps.first().copied() {
            if now_us >= until_us {
                break;
            }
            self.steps.pop_first();
            match step {
                Step::Arrive { entry, is_retry } => self.arrive(entry, is_retry, now_us),
                Step::Call { chain } => self.call(chain, now_us),
                Step::EndCall { chain, ticket } => self.end_call(chain, ticket, now_us),
                Step::Poll => self.poll(now_us),
            }
        }
        self.served - before
    }

    fn arrive(&mut self, entry: usize, is_retry: bool, now_us: u64) {
        if let Err(refusal) = self.throttles[entry].admit(1, 2, now_us) {
            if !is_retry {
                let at_us = now_us + refusal.retry_after_ms * MS;
                self.at(at_us, Step::Arrive { entry, is_retry: true });
            }
            return;
        }
        let deadline_us = now_us + CHAIN_LIMIT_US;
        self.chains.push(Chain { entry, is_retry, deadline_us, calls_left: CHAIN_CALLS });
        self.call(self.chains.len() - 1, now_us);
    }

    fn call(&mut self, chain: usize, now_us: u64) {
        let left_us = self.chains[chain].deadline_us.saturating_sub(now_us).min(CALL_LIMIT_US);
        let request_id = RequestId { instance: InstanceId(1), counter: self.number };
        let offer = Offer {
            request_id,
            rank: 1,
            kind: 2,
            class: WorkClass::Short,
            expected_us: 0,
            deadline_left_us: left_us,
        };
        match self.gate.offer(&offer, now_us) {
            Verdict::Run(ticket) => self.run(chain, ticket, now_us),
            Verdict::Wait(ticket) => {
                self.waiting.insert(ticket, chain);
                self.arm(now_us);
            }
            Verdict::Refuse(_) => self.overloaded(chain, now_us),
        }
    }

    fn arm(&mut self, now_us: u64) {
        if let Some(due_us) = self.gate.next_poll_us() {
            self.at(due_us.max(now_us), Step::Poll);
        }
    }

    fn run(&mut self, chain: usize, ticket: Ticket, now_us: u64) {
        let run_us = CALL_US * self.rng.random_range(40..160) / 100;
        self.at(now_us + run_us, Step::EndCall { chain, ticket });
    }

    fn end_call(&mut self, chain: usize, ticket: Ticket, now_us: u64) {
        let result = RunResult { run_us: CALL_US, first_byte_us: CALL_US, end: RunEnd::Answered };
        self.gate.finish(ticket, &result, now_us);
        self.poll(now_us);
        self.chains[chain].calls_left -= 1;
        if now_us > self.chains[chain].deadline_us {
            return self.fail(chain, now_us);
        }
        if self.chains[chain].calls_left == 0 {
            self.served += 1;
            let entry = self.chains[chain].entry;
            return self.throttles[entry].ended(1, RequestEnd::Succeeded, now_us);
        }
        // The backend server works a little between two calls.
        self.at(now_us + 20 * MS, Step::Call { chain });
    }

    fn poll(&mut self, now_us: u64) {
        for release in self.gate.poll(now_us) {
            match release {
                Release::Run(ticket) => {
                    if let Some(chain) = self.waiting.remove(&ticket) {
                        self.run(chain, ticket, now_us);
                    }
                }
                Release::Refuse(ticket, _) => {
                    if let Some(chain) = self.waiting.remove(&ticket) {
                        self.overloaded(chain, now_us);
                    }
                }
            }
        }
    }

    fn overloaded(&mut self, chain: usize, now_us: u64) {
        // The call leaves through the node beside the backend server, which is another entry.
        let beside = self.rng.random_range(0..ENTRIES);
        self.throttles[beside].ended(2, RequestEnd::Overloaded, now_us);
        self.fail(chain, now_us);
    }

    fn fail(&mut self, chain: usize, now_us: u64) {
        let Chain { entry, is_retry, .. } = self.chains[chain];
        self.throttles[entry].ended(1, RequestEnd::Failed, now_us);
        if !is_retry {
            self.at(now_us + CLIENT_RETRY_US, Step::Arrive { entry, is_retry: true });
        }
    }
}

/// Chains a second that the server can complete.
fn capacity_per_s() -> u64 {
    u64::from(SLOTS) * SECOND / (CALL_US * u64::from(CHAIN_CALLS))
}

fn never() -> FailureThrottleSettings {
    FailureThrottleSettings { max_refused_share: 0.0, ..FailureThrottleSettings::default() }
}

/// Plays a burst at twice the capacity and then a load of 70%. Returns the share of the capacity that
/// was served in the burst, and of the load from 2 s after the burst on.
fn play(settings: FailureThrottleSettings) -> (f64, f64) {
    let mut play = Play::new(settings);
    let capacity = capacity_per_s();
    play.arrivals(0, 12 * SECOND, capacity * 2);
    play.arrivals(12 * SECOND, 26 * SECOND, capacity * 7 / 10);
    play.served_until(2 * SECOND);
    let burst = play.served_until(12 * SECOND);
    play.served_until(14 * SECOND);
    let after = play.served_until(26 * SECOND);
    let share = |served: u32, per_s: f64, s: f64| f64::from(served) / (per_s * s);
    let capacity = capacity as f64;
    (share(burst, capacity, 10.0), share(after, capacity * 0.7, 12.0))
}

/// Guards against the collapse of chains: at twice the capacity of the last service chains still
/// complete (the users ask for a quarter after a fault), and 2 s after the burst 99% of the normal
/// goodput is back (docs/design.md, section 1.2). Without the throttle neither holds.
#[test]
fn chains_complete_during_a_burst_and_after_it() {
    let (burst, after) = play(FailureThrottleSettings::default());
    assert!(burst > 0.25, "{burst} of the capacity in the burst");
    assert!(after > 0.99, "{after} of the load after the burst");
    let (burst, after) = play(never());
    assert!(burst < 0.25 && after < 0.25, "{burst} and {after} without the throttle");
}

/// Guards against requests that are refused although fewer of them would not help: they fail, but no
/// gate refuses for overload.
#[test]
fn failures_without_overload_refuse_nothing() {
    let mut throttle = FailureThrottle::new(FailureThrottleSettings::default());
    for at in 0..500 {
        let now_us = at * 10 * MS;
        assert_eq!(throttle.admit(1, 2, now_us), Ok(()));
        throttle.ended(1, RequestEnd::Failed, now_us);
    }
}

/// Sends requests that all fail while gates are full, and counts the refused ones.
fn refused_of_100(throttle: &mut FailureThrottle, kind: u32, rank: u8, from_us: u64) -> usize {
    let refused = (0..100).filter(|at| {
        let now_us = from_us + at * 10 * MS;
        throttle.ended(9, RequestEnd::Overloaded, now_us);
        let is_refused = throttle.admit(kind, rank, now_us).is_err();
        if !is_refused {
            throttle.ended(kind, RequestEnd::Failed, now_us);
        }
        is_refused
    });
    refused.count()
}

/// Guards against a kind that is refused for ever: some requests always pass, and all do once the
/// overload is over.
#[test]
fn some_requests_pass_and_all_do_after_the_overload() {
    let settings = FailureThrottleSettings::default();
    let mut throttle = FailureThrottle::new(settings);
    refused_of_100(&mut throttle, 1, 2, 0);
    let refused = refused_of_100(&mut throttle, 1, 2, SECOND);
    assert!((50..=85).contains(&refused), "{refused} of 100");
    let later_us = 2 * SECOND + 10 * settings.window_us;
    assert!((0..100).all(|at| throttle.admit(1, 2, later_us + at * MS).is_ok()));
}

/// Guards against important work that is refused as soon as other work, and against kinds that pay
/// for the failures of others.
#[test]
fn important_kinds_are_refused_later_and_well_ones_never() {
    let mut throttle = FailureThrottle::new(FailureThrottleSettings::default());
    let (mut important, mut other, mut well) = (0, 0, 0);
    for at in 0..1_000_u64 {
        let now_us = at * 10 * MS;
        throttle.ended(9, RequestEnd::Overloaded, now_us);
        // Half of the requests of the first two kinds fail, and none of the third.
        for (kind, rank, refused) in [(1, 0, &mut important), (2, 2, &mut other)] {
            match throttle.admit(kind, rank, now_us) {
                Ok(()) if at % 2 == 0 => throttle.ended(kind, RequestEnd::Failed, now_us),
                Ok(()) => throttle.ended(kind, RequestEnd::Succeeded, now_us),
                Err(_) => *refused += 1,
            }
        }
        well += u32::from(throttle.admit(3, 2, now_us).is_err());
        throttle.ended(3, RequestEnd::Succeeded, now_us);
    }
    assert!(other > 100, "{other} of 1,000");
    assert_eq!((important, well), (0, 0));
}
