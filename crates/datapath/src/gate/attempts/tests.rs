use std::collections::HashSet;

use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_testkit::check_property;

use super::AttemptKey;
use super::AttemptRegistry;

fn attempt_key(number: u8) -> AttemptKey {
    let request_id = RequestId { instance: InstanceId(1), counter: 1 };
    AttemptKey { request_id, span: None, attempt: u64::from(number) }
}

/// Guards against a fenced attempt that starts, and against an accepted fence of an attempt that
/// has started, also when the table is too small for all attempts. Each step is an attempt number,
/// whether the attempt starts (or is fenced), and its extra lifetime in µs. No attempt is used after
/// it has expired.
#[test]
fn no_attempt_both_starts_and_is_fenced() {
    fn property(steps: Vec<(u8, bool, u8)>) -> bool {
        let attempts = AttemptRegistry::new(6);
        let (mut started, mut fenced) = (HashSet::new(), HashSet::new());
        for (index, (number, is_start, extra_us)) in steps.into_iter().enumerate() {
            let now_us = index as u64;
            // The expiry of an attempt follows from its deadline, which all its copies share.
            let expires_us = now_us + 1_000 + u64::from(extra_us);
            let key = attempt_key(number % 24);
            if is_start {
                if attempts.start(key, now_us, expires_us).is_ok() {
                    started.insert(key);
                }
            } else if attempts.fence(key, now_us, expires_us) {
                fenced.insert(key);
            }
        }
        started.is_disjoint(&fenced)
    }
    check_property(23, 500, property as fn(Vec<(u8, bool, u8)>) -> bool);
}
