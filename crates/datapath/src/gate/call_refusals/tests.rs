use http::StatusCode;

use super::CallRefusals;

const MS: u64 = 1_000;
const FAILED: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// Guards against a backend server whose own failures are attributed to refused calls, which would
/// reduce its load without need.
#[test]
fn failures_are_attributed_to_recent_refusals_only() {
    let refusals = CallRefusals::default();
    assert!(!refusals.are_likely_cause_of(FAILED, 0), "nothing was refused");
    refusals.record(1_000 * MS);
    assert!(refusals.are_likely_cause_of(FAILED, 1_050 * MS));
    assert!(refusals.are_likely_cause_of(StatusCode::GATEWAY_TIMEOUT, 1_050 * MS));
    assert!(!refusals.are_likely_cause_of(FAILED, 1_500 * MS), "the refusal is too long ago");
    assert!(!refusals.are_likely_cause_of(StatusCode::OK, 1_050 * MS));
    assert!(!refusals.are_likely_cause_of(StatusCode::SERVICE_UNAVAILABLE, 1_050 * MS));
}
