use quickcheck::TestResult;
use tarragon_model::call::Outcome;
use tarragon_model::identity::SpanId;
use tarragon_testkit::check_property;

use crate::once::CallerDigest;
use crate::retry::CallerThrottle;
use crate::retry::NaiveRetry;
use crate::retry::RetryPolicy;
use crate::retry::RetrySettings;
use crate::retry::ThrottleSettings;
use crate::retry::TokenLedger;

const TOKENS: u32 = 3;
const MAX_DEPTH: usize = 21;
/// Number of attempts after which a run stops, because the naive policy makes 4^21.
const MAX_ATTEMPTS: u64 = 20_000;

/// Executes a call tree with one retry policy per node.
struct CallTree {
    ledgers: Vec<Box<dyn RetryPolicy>>,
    children: Vec<Vec<usize>>,
    /// Outcomes of the attempts, used cyclically: a leaf fails below 90, and the answer is lost
    /// below 60, of 256.
    outcomes: Vec<u8>,
    attempts: u64,
    retries: u64,
}

impl CallTree {
    fn new(children: Vec<Vec<usize>>, outcomes: Vec<u8>, is_naive: bool) -> Self {
        // With an unlimited floor, only the tokens limit the retries.
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
        let next = |node| if node < depth { vec![node + 1] } else { vec![] };
        Self::new((0..=depth).map(next).collect(), vec![80], is_naive)
    }

    /// Runs one node. Returns whether it succeeded, and the unused tokens unless the answer is
    /// lost.
    fn run(&mut self, node: usize, tokens: u32) -> (bool, Option<u32>) {
        self.attempts += 1;
        let span = SpanId(self.attempts);
        self.ledgers[node].open_span(span, tokens);
        let children = self.children[node].clone();
        let lent: Vec<u32> =
            children.iter().map(|_| self.ledgers[node].lend_tokens(span)).collect();
        let mut has_all_succeeded = true;
        for (&child, lent) in children.iter().zip(lent) {
            let service = format!("s{child}");
            self.ledgers[node].record_attempt(&service, 0.0, 0);
            let mut has_succeeded = self.call(node, span, child, lent);
            while !has_succeeded
                && self.attempts < MAX_ATTEMPTS
                && self.ledgers[node].spend_token(span, &service, 0)
            {
                self.retries += 1;
                let lent = self.ledgers[node].lend_tokens(span);
                has_succeeded = self.call(node, span, child, lent);
            }
            has_all_succeeded &= has_succeeded;
        }
        let outcome = self.outcomes[self.attempts as usize % self.outcomes.len()];
        let is_leaf = children.is_empty();
        let unused = self.ledgers[node].close_span(span);
        (has_all_succeeded && !(is_leaf && outcome < 90), (outcome >= 60).then_some(unused))
    }

    fn call(&mut self, node: usize, span: SpanId, child: usize, lent: u32) -> bool {
        let (has_succeeded, unused) = self.run(child, lent);
        if let Some(unused) = unused {
            self.ledgers[node].return_tokens(span, unused);
        }
        has_succeeded && unused.is_some()
    }
}

/// Builds a tree in which the parent of each node is one of the nodes before it.
fn random_tree(parents: &[u8]) -> Vec<Vec<usize>> {
    let mut children = vec![vec![]];
    let mut depths = vec![0];
    for (newest, &parent_byte) in parents.iter().enumerate() {
        // Two thirds of the nodes extend the newest branch, so that deep chains occur.
        let parent =
            if parent_byte % 3 == 0 { parent_byte as usize % children.len() } else { newest };
        let parent = if depths[parent] < MAX_DEPTH { parent } else { 0 };
        children[parent].push(newest + 1);
        depths.push(depths[parent] + 1);
        children.push(vec![]);
    }
    children
}

fn random_tree_stays_within_the_budget(parents: Vec<u8>, outcomes: Vec<u8>) -> TestResult {
    if parents.is_empty() || outcomes.is_empty() {
        return TestResult::discard();
    }
    let nodes = parents.len() as u64 + 1;
    let mut call_tree = CallTree::new(random_tree(&parents), outcomes, false);
    let (_, unused) = call_tree.run(0, TOKENS);
    let spent = call_tree.retries + u64::from(unused.unwrap_or(0));
    let attempts_bound = (1 + u64::from(TOKENS)) * nodes;
    TestResult::from_bool(spent <= u64::from(TOKENS) && call_tree.attempts <= attempts_bound)
}

/// Guards G1 against tokens that are copied to parallel branches or created when answers are lost.
#[test]
fn retries_of_any_call_tree_stay_within_the_budget() {
    check_property(
        0x5e71,
        3_000,
        random_tree_stays_within_the_budget as fn(Vec<u8>, Vec<u8>) -> TestResult,
    );
}

/// Guards the bound of section 3.3 of `docs/design.md` for chains. The naive policy multiplies the
/// attempts with every hop.
#[test]
fn failing_chain_stays_within_the_attempt_bound() {
    for depth in 1..=MAX_DEPTH {
        let bound = (1 + u64::from(TOKENS)) * depth as u64;
        let mut call_tree = CallTree::chain(depth, false);
        call_tree.run(0, TOKENS);
        assert!(
            call_tree.attempts - 1 <= bound,
            "depth {depth}: {} attempts",
            call_tree.attempts - 1
        );
        assert!(call_tree.retries > 0, "depth {depth}: no retries");
        let mut naive = CallTree::chain(depth, true);
        naive.run(0, TOKENS);
        assert!(
            depth == 1 || naive.attempts - 1 > bound,
            "depth {depth}: the naive policy stayed within the bound"
        );
    }
}

/// Guards against retries of many requests that overload a service together.
#[test]
fn retries_to_a_service_stay_within_the_ratio() {
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

/// Guards against tokens created by opening a span twice or by a callee that returns more tokens
/// than it was lent.
#[test]
fn ledger_creates_no_tokens() {
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

/// Guards against unbounded memory for spans that are never closed and services that are called
/// only once.
#[test]
fn ledger_drops_unused_spans_and_keeps_used_ones() {
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

const CALLER: CallerDigest = CallerDigest([1; 16]);

/// Importance ranks; 0 is the most important.
const RANK: u8 = 2;
const IMPORTANT_RANK: u8 = 0;

/// Requests of one caller.
struct CallerLoad {
    offered_per_ms: u64,
    /// Maximum number of requests that succeed.
    served_per_ms: u64,
}

/// Offers a load for `ms`. Returns the numbers of requests sent and served.
fn send_load(
    throttle: &mut CallerThrottle,
    from_ms: u64,
    ms: u64,
    load: &CallerLoad,
) -> (u64, u64) {
    let (mut sent, mut served) = (0, 0);
    for now_ms in from_ms..from_ms + ms {
        let now_us = now_ms * 1_000;
        let admitted = (0..load.offered_per_ms)
            .filter(|_| throttle.admit(&CALLER, RANK, now_us).is_ok())
            .count() as u64;
        for n in 0..admitted {
            let outcome = if n < load.served_per_ms { Outcome::Answered } else { Outcome::NotRun };
            throttle.record_end(&CALLER, RANK, outcome, now_us);
        }
        sent += admitted;
        served += admitted.min(load.served_per_ms);
    }
    (sent, served)
}

/// Guards against a caller whose retries sustain an overload, and against a throttle that reduces
/// goodput, stays active after the overload, or affects other callers.
#[test]
fn throttled_caller_sends_only_slightly_more_than_is_served() {
    let mut throttle = CallerThrottle::new(ThrottleSettings::default());
    let overload = CallerLoad { offered_per_ms: 100, served_per_ms: 10 };
    let (sent, served) = send_load(&mut throttle, 0, 10_000, &overload);
    assert!(served >= 95_000, "{served} of 100000 servable requests were served");
    assert!(sent <= 125_000, "{sent} requests were sent for {served} served");
    let other = CallerDigest([2; 16]);
    assert!(throttle.admit(&other, RANK, 10_000_000).is_ok(), "another caller is not throttled");
    assert!(
        throttle.admit(&CALLER, IMPORTANT_RANK, 10_000_000).is_ok(),
        "a more important rank is not throttled"
    );
    let normal_load = CallerLoad { offered_per_ms: 20, served_per_ms: 100 };
    send_load(&mut throttle, 10_000, 2_000, &normal_load);
    let (sent, _) = send_load(&mut throttle, 12_000, 1_000, &normal_load);
    assert_eq!(sent, 20_000, "the caller is not throttled 2 s after the overload");
}

/// Guards against unbounded memory for many callers.
#[test]
fn throttle_limits_the_number_of_tracked_callers() {
    let settings = ThrottleSettings { max_callers: 50, ..ThrottleSettings::default() };
    let mut throttle = CallerThrottle::new(settings);
    for n in 0..10_000_u128 {
        let _ = throttle.admit(&CallerDigest(n.to_be_bytes()), IMPORTANT_RANK, 0);
    }
    assert!(throttle.tracked_count() <= 50);
}
