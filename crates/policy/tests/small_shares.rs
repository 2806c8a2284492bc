//! Plays a service of a large fleet, to which each node sends only a few requests.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::identity::SpanId;
use tarragon_policy::retry::RetryPolicy;
use tarragon_policy::retry::RetrySettings;
use tarragon_policy::retry::TokenLedger;

const NODES: usize = 94;
/// Requests to the service from all nodes together.
const REQUESTS_PER_S: u64 = 195;
const DURATION_S: u64 = 60;
/// Share of the requests that a server turns away without running them.
const REJECTED_SHARE: f64 = 0.07;
/// What the users allow a service in any 10 s, beyond the first arrivals.
const WINDOW_US: u64 = 10_000_000;
const ALLOWED_SHARE: f64 = 0.2;
const ALLOWED_EXTRA: f64 = 123.0;

/// Guards against requests that are lost after a single rejection because each node of a large fleet
/// rounds its small share of the retries down to none. Most of them must be sent again, and the fleet
/// as a whole must keep the allowed ratio, also when every request is rejected.
#[test]
fn nodes_that_send_few_requests_retry_within_the_ratio_of_the_fleet() {
    for (rejected_share, least) in [(REJECTED_SHARE, 0.5), (1.0, 0.0)] {
        let settings = RetrySettings {
            retry_percent: 15,
            window_ms: 2_000,
            floor_retries: 0,
            ..RetrySettings::default()
        };
        let mut ledgers: Vec<TokenLedger> =
            (0..NODES).map(|_| TokenLedger::new(settings.clone())).collect();
        let mut rng = Pcg32::seed_from_u64(11);
        let (mut rejected, mut retried) = (0_u32, 0_u32);
        let mut recent = VecDeque::new();
        for request in 0..REQUESTS_PER_S * DURATION_S {
            let now_us = request * 1_000_000 / REQUESTS_PER_S;
            let ledger = &mut ledgers[rng.random_range(0..NODES)];
            ledger.open_span(SpanId(request), 1);
            ledger.record_attempt("ledger", 0.0, now_us);
            let mut is_retried = false;
            // The nodes save up their shares before the servers begin to reject.
            if now_us > 10_000_000 && rng.random_bool(rejected_share) {
                rejected += 1;
                is_retried = ledger.spend_token(SpanId(request), "ledger", now_us);
                retried += u32::from(is_retried);
            }
            ledger.close_span(SpanId(request));
            recent.push_back((now_us, is_retried));
            while recent.front().is_some_and(|(at_us, _)| at_us + WINDOW_US < now_us) {
                recent.pop_front();
            }
            let repeats = recent.iter().filter(|(_, is_retried)| *is_retried).count() as f64;
            let allowed = ALLOWED_SHARE * recent.len() as f64 + ALLOWED_EXTRA;
            assert!(repeats <= allowed, "{repeats} repeats in 10 s, {allowed} are allowed");
        }
        let share = f64::from(retried) / f64::from(rejected);
        assert!(share >= least, "{retried} of {rejected} rejected requests were sent again");
    }
}
