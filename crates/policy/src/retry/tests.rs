use quickcheck::TestResult;
use tarragon_model::call::Outcome;
use tarragon_model::identity::SpanId;
use tarragon_testkit::check;

use crate::once::CallerDigest;
use crate::retry::CallerThrottle;
use crate::retry::NaiveRetry;
use crate::retry::RetryPolicy;
use crate::retry::RetrySettings;
use crate::retry::ThrottleSettings;
use crate::retry::TokenLedger;

const TOKENS: u32 = 3;
const MAX_DEPTH: usize = 21;
/// Attempts after which a run is stopped, because the naive version makes 4^21.
const MAX_ATTEMPTS: u64 = 20_000;

/// A call tree that is run with one ledger per hop.
struct World {
    ledgers: Vec<Box<dyn RetryPolicy>>,
    children: Vec<Vec<usize>>,
    /// Outcomes in turn: failed below 90, answer lost below 60, of 256.
    outcomes: Vec<u8>,
    attempts: u64,
    retries: u64,
}

impl World {
    fn new(children: Vec<Vec<usize>>, outcomes: Vec<u8>, is_naive: bool) -> Self {
        // The floor leaves the tokens as the only bound.
        let settings = RetrySettings { floor_retries: u32::MAX, ..RetrySettings::default() };
        let ledger = || -> Box<dyn RetryPolicy> {
            match is_naive {
                true => Box::new(NaiveRetry::default()),
                false => Box::new(TokenLedger::new(settings.clone())),
            }
        };
        let ledgers = children.iter().map(|_| ledger()).collect();
        Self { ledgers, children, outcomes, attempts: 0, retries: 0 }
    }

    fn chain(depth: usize, is_naive: bool) -> Self {
        let next = |at| if at < depth { vec![at + 1] } else { vec![] };
        Self::new((0..=depth).map(next).collect(), vec![80], is_naive)
    }

    /// Runs one node. Returns whether it succeeded and the tokens that come back, if any do.
    fn run(&mut self, node: usize, tokens: u32) -> (bool, Option<u32>) {
        self.attempts += 1;
        let span = SpanId(self.attempts);
        self.ledgers[node].open_span(span, tokens);
        let children = self.children[node].clone();
        let lent: Vec<u32> =
            children.iter().map(|_| self.ledgers[node].lend_tokens(span)).collect();
        let mut is_ok = true;
        for (&child, lent) in children.iter().zip(lent) {
            let service = format!("s{child}");
            self.ledgers[node].record_attempt(&service, 0.0, 0);
            let mut is_done = self.call(node, span, child, lent);
            while !is_done
                && self.attempts < MAX_ATTEMPTS
                && self.ledgers[node].spend_token(span, &service, 0)
            {
                self.retries += 1;
                let lent = self.ledgers[node].lend_tokens(span);
                is_done = self.call(node, span, child, lent);
            }
            is_ok &= is_done;
        }
        let outcome = self.outcomes[self.attempts as usize % self.outcomes.len()];
        let is_leaf = children.is_empty();
        let unused = self.ledgers[node].close_span(span);
        (is_ok && !(is_leaf && outcome < 90), (outcome >= 60).then_some(unused))
    }

    fn call(&mut self, node: usize, span: SpanId, child: usize, lent: u32) -> bool {
        let (is_ok, unused) = self.run(child, lent);
        if let Some(unused) = unused {
            self.ledgers[node].return_tokens(span, unused);
        }
        is_ok && unused.is_some()
    }
}

/// Builds a tree in which node `n` hangs below one of the nodes before it.
fn tree(parents: &[u8]) -> Vec<Vec<usize>> {
    let mut children = vec![vec![]];
    let mut depths = vec![0];
    for (at, &pick) in parents.iter().enumerate() {
        // Two thirds extend the newest branch, so that deep chains occur.
        let parent = if pick % 3 == 0 { pick as usize % children.len() } else { at };
        let parent = if depths[parent] < MAX_DEPTH { parent } else { 0 };
        children[parent].push(at + 1);
        depths.push(depths[parent] + 1);
        children.push(vec![]);
    }
    children
}

fn tree_keeps_the_budget(parents: Vec<u8>, outcomes: Vec<u8>) -> TestResult {
    if parents.is_empty() || outcomes.is_empty() {
        return TestResult::discard();
    }
    let nodes = parents.len() as u64 + 1;
    let mut world = World::new(tree(&parents), outcomes, false);
    let (_, unused) = world.run(0, TOKENS);
    let spent = world.retries + u64::from(unused.unwrap_or(0));
    let attempts_bound = (1 + u64::from(TOKENS)) * nodes;
    TestResult::from_bool(spent <= u64::from(TOKENS) && world.attempts <= attempts_bound)
}

/// Guards G1: tokens that are copied to parallel branches, or made when answers are lost.
#[test]
fn retries_of_any_tree_stay_in_the_budget() {
    check(0x5e71, 3_000, tree_keeps_the_budget as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

/// Guards the bound of section 3.3 for chains; the naive version multiplies instead.
#[test]
fn failing_chain_stays_within_its_attempts() {
    for depth in 1..=MAX_DEPTH {
        let bound = (1 + u64::from(TOKENS)) * depth as u64;
        let mut world = World::chain(depth, false);
        world.run(0, TOKENS);
        assert!(world.attempts - 1 <= bound, "depth {depth}: {} attempts", world.attempts - 1);
        assert!(world.retries > 0, "depth {depth}: no retry was made");
        let mut naive = World::chain(depth, true);
        naive.run(0, TOKENS);
        assert!(depth == 1 || naive.attempts - 1 > bound, "depth {depth}: naive kept the bound");
    }
}

/// Guards against retries of many requests that together overload a service.
#[test]
fn retries_to_a_service_keep_the_ratio() {
    let mut ledger = TokenLedger::new(RetrySettings::default());
    let mut retries = 0;
    for n in 0..10_000 {
        let now_us = n * 1_000;
        ledger.open_span(SpanId(n), TOKENS);
        ledger.record_attempt("s", 0.0, now_us);
        retries += u64::from(ledger.spend_token(SpanId(n), "s", now_us));
        ledger.close_span(SpanId(n));
    }
    assert!((900..=1_003).contains(&retries), "{retries} retries for 10000 first attempts");
    ledger.open_span(SpanId(10_000), TOKENS);
    let later_us = 60_000_000;
    let floor = (0..5).filter(|_| ledger.spend_token(SpanId(10_000), "s", later_us)).count();
    assert_eq!(floor, 3, "an empty window allows the floor and no old attempts");
}

/// Guards against tokens made by a repeated open or by a callee that returns more than it got.
#[test]
fn ledger_makes_no_tokens() {
    let mut ledger = TokenLedger::new(RetrySettings::default());
    let span = SpanId(1);
    ledger.open_span(span, 2);
    ledger.open_span(span, 3);
    assert_eq!(ledger.lend_tokens(span), 1);
    ledger.return_tokens(span, 9);
    ledger.return_tokens(span, 9);
    assert_eq!(ledger.close_span(span), 2);
    ledger.return_tokens(span, 1);
    assert_eq!(ledger.close_span(span), 0, "a closed span has no tokens");
    ledger.open_span(span, 1_000);
    assert_eq!(ledger.close_span(span), TOKENS, "no span holds more than the budget of a request");
}

/// Guards memory: spans whose end is never told, and services that are called once.
#[test]
fn ledger_forgets_unused_spans_and_keeps_used_ones() {
    let settings = RetrySettings { max_spans: 100, ..RetrySettings::default() };
    let mut ledger = TokenLedger::new(settings);
    for n in 0..1_000 {
        ledger.open_span(SpanId(n), TOKENS);
        ledger.lend_tokens(SpanId(0));
        ledger.record_attempt(&format!("s{n}"), 0.0, 0);
        assert!(ledger.span_count() <= 100);
    }
    ledger.return_tokens(SpanId(0), TOKENS);
    assert_eq!(ledger.close_span(SpanId(0)), TOKENS, "a span in use is kept");
    ledger.expire(600_000_000);
    ledger.expire(1_200_000_000);
    assert_eq!(ledger.span_count(), 0);
}

/// Offers `offered` requests a ms for `ms`, of which `served` succeed, and returns (sent, served).
fn drive(throttle: &mut CallerThrottle, from_ms: u64, ms: u64, load: (u64, u64)) -> (u64, u64) {
    let (mut sent, mut good) = (0, 0);
    for now_ms in from_ms..from_ms + ms {
        let now_us = now_ms * 1_000;
        let admitted = (0..load.0)
            .filter(|_| throttle.admit(&CallerDigest([1; 16]), 2, now_us).is_ok())
            .count() as u64;
        for n in 0..admitted {
            let outcome = if n < load.1 { Outcome::Answered } else { Outcome::NotRun };
            throttle.record_end(&CallerDigest([1; 16]), 2, outcome, now_us);
        }
        sent += admitted;
        good += admitted.min(load.1);
    }
    (sent, good)
}

/// Guards against a caller whose own retries keep an overload alive, and against a throttle that
/// costs goodput, stays on after the overload, or hits others.
#[test]
fn throttled_caller_sends_little_more_than_is_served() {
    let mut throttle = CallerThrottle::new(ThrottleSettings::default());
    let (sent, good) = drive(&mut throttle, 0, 10_000, (100, 10));
    assert!(good >= 95_000, "{good} of 100000 servable requests were served");
    assert!(sent <= 125_000, "{sent} requests were sent for {good} served");
    let other = CallerDigest([2; 16]);
    assert!(throttle.admit(&other, 2, 10_000_000).is_ok(), "another caller is not throttled");
    let same = CallerDigest([1; 16]);
    assert!(throttle.admit(&same, 0, 10_000_000).is_ok(), "a more important rank is not throttled");
    drive(&mut throttle, 10_000, 2_000, (20, 100));
    let (sent, _) = drive(&mut throttle, 12_000, 1_000, (20, 100));
    assert_eq!(sent, 20_000, "the caller is free 2 s after the overload");
}

/// Guards memory against many callers.
#[test]
fn throttle_bounds_its_callers() {
    let settings = ThrottleSettings { max_callers: 50, ..ThrottleSettings::default() };
    let mut throttle = CallerThrottle::new(settings);
    for n in 0..10_000_u128 {
        let _ = throttle.admit(&CallerDigest(n.to_be_bytes()), 0, 0);
    }
    assert!(throttle.tracked_count() <= 50);
}
