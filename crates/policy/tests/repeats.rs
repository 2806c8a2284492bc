//! Guards the retry ratio of a service against repeats further up the chain.

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
const SECONDS: u64 = 30;
const WINDOW_S: usize = 10;

/// Ratio that the users allow a service, and the ratio that the nodes keep.
const ALLOWED_SHARE: f64 = 0.20;
const KEPT_PERCENT: u32 = 15;
const WINDOW_MS: u64 = 2_000;
/// Repeats that the users allow in a window beside the ratio.
const ALLOWED_EXTRA: f64 = 47.0;

/// A chain of services with one node each; each run makes one call to the next service.
struct Chain {
    rng: Pcg32,
    ledgers: Vec<TokenLedger>,
    shares: Vec<RepeatShare>,
    /// Share of the answers that are lost by each service.
    lost_share: f64,
    tells_shares: bool,
    /// First arrivals and repeats at each service by second.
    seen: Vec<Vec<(u32, u32)>>,
    spans: u64,
}

impl Chain {
    fn new(lost_share: f64, tells_shares: bool) -> Self {
        let settings = RetrySettings {
            retry_percent: KEPT_PERCENT,
            window_ms: WINDOW_MS,
            floor_retries: 1,
            ..RetrySettings::default()
        };
        Self {
            rng: Pcg32::seed_from_u64(7),
            ledgers: (0..HOPS).map(|_| TokenLedger::new(settings.clone())).collect(),
            shares: vec![RepeatShare::default(); HOPS],
            lost_share,
            tells_shares,
            seen: vec![vec![(0, 0); SECONDS as usize]; HOPS],
            spans: 0,
        }
    }

    /// Calls the service of a hop; the caller's node is that of the hop before.
    fn call(&mut self, hop: usize, is_repeated_run: bool, now_us: u64) -> bool {
        if hop == HOPS {
            return true;
        }
        let inherited = match hop {
            0 => 0.0,
            _ if self.tells_shares => self.shares[hop - 1].share_at(now_us),
            _ => 0.0,
        };
        self.spans += 1;
        let span = SpanId(self.spans);
        let service = format!("s{hop}");
        self.ledgers[hop].open_span(span, 1);
        self.ledgers[hop].record_attempt(&service, inherited, now_us);
        let mut is_done = self.run(hop, is_repeated_run, inherited, now_us);
        if !is_done && self.ledgers[hop].spend_token(span, &service, now_us) {
            is_done = self.run(hop, true, 1.0, now_us);
        }
        self.ledgers[hop].close_span(span);
        is_done
    }

    fn run(&mut self, hop: usize, is_repeat: bool, share: f64, now_us: u64) -> bool {
        let (firsts, repeats) = &mut self.seen[hop][(now_us / 1_000_000) as usize];
        *firsts += u32::from(!is_repeat);
        *repeats += u32::from(is_repeat);
        self.shares[hop].record_run(share, now_us);
        self.call(hop + 1, is_repeat, now_us) && !self.rng.random_bool(self.lost_share)
    }

    /// Largest excess over what the users allow, over all services and windows, in repeats.
    fn worst_excess(&self) -> f64 {
        let windows = self.seen.iter().flat_map(|seconds| seconds.windows(WINDOW_S));
        let excess = windows.map(|window| {
            let firsts: u32 = window.iter().map(|(firsts, _)| firsts).sum();
            let repeats: u32 = window.iter().map(|(_, repeats)| repeats).sum();
            f64::from(repeats) - ALLOWED_SHARE * f64::from(firsts + repeats) - ALLOWED_EXTRA
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

fn worst_excess(lost_share: f64, tells_shares: bool) -> f64 {
    let mut chain = Chain::new(lost_share, tells_shares);
    for number in 0..REQUESTS_PER_S * SECONDS {
        // The losses start in the middle of a window, when all averages still say that all is well.
        let now_us = number * 1_000_000 / REQUESTS_PER_S;
        chain.lost_share = if now_us < 6_000_000 { 0.0 } else { lost_share };
        chain.call(0, false, now_us);
    }
    chain.worst_excess()
}

/// Failure: each hop keeps its own ratio, and the calls of repeated runs add up to more than the
/// users allow at the last service.
#[test]
fn repeats_of_a_whole_chain_stay_within_the_ratio_of_each_service() {
    for lost_share in [0.05, 0.2, 0.4, 0.6] {
        let excess = worst_excess(lost_share, true);
        assert!(excess <= 0.0, "{lost_share} lost: {excess} repeats too many");
    }
    assert!(worst_excess(0.4, false) > 0.0, "without shares the hops exceed the ratio together");
}
