//! Guards the retry ratio of a service when hops further up the chain repeat requests.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::identity::SpanId;
use tarragon_policy::retry::RepeatShare;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::retry::RetrySettings;
use tarragon_policy::retry::TokenLedger;

const HOPS: usize = 4;
const REQUESTS_PER_S: u64 = 100;
const DURATION_S: u64 = 30;
const WINDOW_S: usize = 10;

/// Share of repeats that is allowed among the arrivals at a service.
const ALLOWED_REPEAT_SHARE: f64 = 0.20;

/// Retry ratio that each node applies, in percent.
const RETRY_PERCENT: u32 = 15;
const WINDOW_MS: u64 = 2_000;

/// Number of repeats that are allowed in a window of `WINDOW_S` in addition to the share.
const ALLOWED_EXTRA_REPEATS: f64 = 47.0;

#[derive(Clone, Copy, Default)]
struct ArrivalCounts {
    first_arrivals: u32,
    repeats: u32,
}

/// A chain of services with one node each, in which each run makes one call to the next service.
struct Chain {
    rng: Pcg32,
    ledgers: Vec<TokenLedger>,
    shares: Vec<RepeatShare>,
    /// Share of the answers that each service loses.
    lost_share: f64,
    /// Whether the nodes report their shares of repeated runs.
    reports_repeat_shares: bool,
    /// Arrivals at each service by second.
    arrivals_by_second: Vec<Vec<ArrivalCounts>>,
    /// Identifier of the last span.
    last_span: u64,
}

impl Chain {
    fn new(lost_share: f64, reports_repeat_shares: bool) -> Self {
        let settings = RetrySettings {
            retry_percent: RETRY_PERCENT,
            window_ms: WINDOW_MS,
            floor_retries: 1,
            ..RetrySettings::default()
        };
        Self {
            rng: Pcg32::seed_from_u64(7),
            ledgers: (0..HOPS).map(|_| TokenLedger::new(settings.clone())).collect(),
            shares: vec![RepeatShare::default(); HOPS],
            lost_share,
            reports_repeat_shares,
            arrivals_by_second: vec![vec![ArrivalCounts::default(); DURATION_S as usize]; HOPS],
            last_span: 0,
        }
    }

    /// Calls the service of a hop from the node of the previous hop.
    fn call(&mut self, hop: usize, is_repeated_run: bool, now_us: u64) -> bool {
        if hop == HOPS {
            return true;
        }
        let inherited_share = match hop {
            0 => 0.0,
            _ if self.reports_repeat_shares => self.shares[hop - 1].share_at(now_us),
            _ => 0.0,
        };
        self.last_span += 1;
        let span = SpanId(self.last_span);
        let service = format!("s{hop}");
        self.ledgers[hop].open_span(span, 1);
        self.ledgers[hop].record_attempt(&service, inherited_share, now_us);
        let mut has_succeeded = self.run(hop, is_repeated_run, inherited_share, now_us);
        if !has_succeeded && self.ledgers[hop].spend_token(span, &service, now_us) {
            has_succeeded = self.run(hop, true, 1.0, now_us);
        }
        self.ledgers[hop].close_span(span);
        has_succeeded
    }

    fn run(&mut self, hop: usize, is_repeat: bool, share: f64, now_us: u64) -> bool {
        let counts = &mut self.arrivals_by_second[hop][(now_us / 1_000_000) as usize];
        counts.first_arrivals += u32::from(!is_repeat);
        counts.repeats += u32::from(is_repeat);
        self.shares[hop].record_run(share, now_us);
        self.call(hop + 1, is_repeat, now_us) && !self.rng.random_bool(self.lost_share)
    }

    /// Largest number of repeats above the allowed number, over all services and windows.
    fn worst_excess(&self) -> f64 {
        let windows = self.arrivals_by_second.iter().flat_map(|seconds| seconds.windows(WINDOW_S));
        let excess = windows.map(|window| {
            let first_arrivals: u32 = window.iter().map(|counts| counts.first_arrivals).sum();
            let repeats: u32 = window.iter().map(|counts| counts.repeats).sum();
            f64::from(repeats)
                - ALLOWED_REPEAT_SHARE * f64::from(first_arrivals + repeats)
                - ALLOWED_EXTRA_REPEATS
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

fn worst_excess(lost_share: f64, reports_repeat_shares: bool) -> f64 {
    let mut chain = Chain::new(lost_share, reports_repeat_shares);
    for request in 0..REQUESTS_PER_S * DURATION_S {
        // The losses start in the middle of a window, while the averages still show no repeats.
        let now_us = request * 1_000_000 / REQUESTS_PER_S;
        chain.lost_share = if now_us < 6_000_000 { 0.0 } else { lost_share };
        chain.call(0, false, now_us);
    }
    chain.worst_excess()
}

/// Guards against repeats above the allowed ratio at the last service. They occur when each hop
/// limits only the repeats that it makes itself, because the calls of repeated runs then add up
/// along the chain.
#[test]
fn repeats_of_a_chain_stay_within_the_ratio_of_each_service() {
    for lost_share in [0.05, 0.2, 0.4, 0.6] {
        let excess = worst_excess(lost_share, true);
        assert!(excess <= 0.0, "lost share {lost_share}: {excess} repeats more than allowed");
    }
    assert!(
        worst_excess(0.4, false) > 0.0,
        "without reported shares, the hops together exceed the ratio"
    );
}
