use std::time::Duration;
use std::time::Instant;

use super::ServerNotices;
use crate::backend::BackendStatus;
use crate::backend::ReportedNotice;
use crate::backend::ServerNotice;
use crate::datapath::Clock;

const FIRST_START: Option<u64> = Some(1);
const SECOND_START: Option<u64> = Some(2);

const WELL: ServerNotice = ServerNotice { max_requests_per_s: None, is_leaving: false };
const LIMITED: ServerNotice = ServerNotice { max_requests_per_s: Some(16.0), is_leaving: false };
const LEAVING: ServerNotice = ServerNotice { max_requests_per_s: None, is_leaving: true };

fn notices() -> ServerNotices {
    ServerNotices::new(Clock::default())
}

fn known(started_at_ms: Option<u64>, notice: ServerNotice) -> ReportedNotice {
    ReportedNotice { started_at_ms: started_at_ms.expect("the start is known"), notice }
}

#[test]
fn a_response_that_was_overtaken_does_not_lift_a_limit() {
    let notices = notices();
    let before = Instant::now();
    assert_eq!(notices.record(FIRST_START, LIMITED, before), Some(LIMITED));
    assert_eq!(notices.record(FIRST_START, WELL, before), None);
    let later = Instant::now() + Duration::from_millis(1);
    assert_eq!(notices.record(FIRST_START, WELL, later), Some(WELL));
}

/// Guards against a limit that stays in force at the next start of the server.
#[test]
fn the_first_response_of_a_later_start_replaces_the_notice() {
    let notices = notices();
    let now = Instant::now();
    notices.record(FIRST_START, LIMITED, now);
    assert_eq!(notices.record(SECOND_START, WELL, now), Some(WELL));
    assert_eq!(notices.record(FIRST_START, LIMITED, now), None);
}

#[test]
fn what_other_nodes_know_counts_until_the_first_response() {
    let notices = notices();
    assert_eq!(notices.adopt(SECOND_START, &known(FIRST_START, LIMITED)), None);
    assert_eq!(notices.adopt(FIRST_START, &known(FIRST_START, LIMITED)), Some(LIMITED));
    assert_eq!(notices.record(FIRST_START, WELL, Instant::now()), Some(WELL));
    assert_eq!(notices.adopt(FIRST_START, &known(FIRST_START, LIMITED)), None);
    // The node that still knows the limit is corrected.
    assert_eq!(notices.report(&BackendStatus::absent(), true), Some(known(FIRST_START, WELL)));
    assert_eq!(notices.report(&BackendStatus::absent(), false), None);
}

#[test]
fn that_a_server_is_leaving_is_final_for_its_start() {
    let notices = notices();
    let now = Instant::now();
    notices.record(FIRST_START, WELL, now);
    assert_eq!(notices.adopt(FIRST_START, &known(FIRST_START, LEAVING)), Some(LEAVING));
    assert_eq!(notices.record(FIRST_START, WELL, now), None);
    assert!(notices.is_leaving(FIRST_START) && !notices.is_leaving(SECOND_START));
}

/// Guards against telling other nodes that a server is well, or of the notice of an earlier start, after
/// it has announced that it is leaving.
#[test]
fn that_a_server_has_announced_its_departure_is_reported() {
    let notices = notices();
    notices.record(FIRST_START, LIMITED, Instant::now());
    let status = |started_at_ms| BackendStatus {
        started_at_ms,
        is_leaving: true,
        ..BackendStatus::absent()
    };
    let both = ServerNotice { is_leaving: true, ..LIMITED };
    assert_eq!(notices.report(&status(FIRST_START), false), Some(known(FIRST_START, both)));
    assert_eq!(notices.report(&status(SECOND_START), false), Some(known(SECOND_START, LEAVING)));
}
