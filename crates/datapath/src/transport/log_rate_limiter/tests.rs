use super::LogRateLimiter;
use super::BURST_LINES;
use crate::datapath::Clock;

const SECOND_US: u64 = 1_000_000;

/// Guards against a log that grows with the load, and against suppressed lines that are not
/// counted.
#[test]
fn line_rate_is_limited_and_suppressed_lines_are_counted() {
    let log = LogRateLimiter::new(Clock::default(), 10);
    let burst = (0..1_000).filter(|_| log.admit_at(0).is_some()).count();
    assert_eq!(burst, BURST_LINES as usize);
    assert_eq!(log.admit_at(SECOND_US), Some(900));
    let later = (0..1_000).filter(|_| log.admit_at(SECOND_US).is_some()).count();
    assert_eq!(later, 9);
    assert_eq!(log.admit_at(2 * SECOND_US), Some(991));
}

#[test]
fn idle_time_allows_at_most_one_burst() {
    let log = LogRateLimiter::new(Clock::default(), 10);
    let lines = (0..1_000).filter(|_| log.admit_at(3_600 * SECOND_US).is_some()).count();
    assert_eq!(lines, BURST_LINES as usize);
}
