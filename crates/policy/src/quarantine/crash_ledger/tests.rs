use std::collections::HashSet;

use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_testkit::check_property;

use super::CrashLedger;
use super::QuarantineSettings;
use super::Suspicion;
use crate::quarantine::CrashRecord;
use crate::quarantine::RequestFingerprint;
use crate::quarantine::ToldRecord;
use crate::quarantine::MAX_CRASHES;

const SECOND: u64 = 1_000_000;

/// Number of records in a message, as on the data path.
const MAX_RECORDS: usize = 64;

/// Number of times after which no change is told any more.
const MANY_TIMES: usize = 100;

/// The request that crashes its servers.
const CRASHING: RequestFingerprint = RequestFingerprint(0);

fn ledger() -> CrashLedger {
    CrashLedger::new(QuarantineSettings::default())
}

/// Copies all records of one ledger to another, as nodes do.
fn tell(from: &mut CrashLedger, to: &mut CrashLedger, now_us: u64) {
    for told in from.news(None, usize::MAX, now_us) {
        let told: ToldRecord = told.to_string().parse().expect("records can be parsed");
        to.merge_told(&told, now_us);
    }
}

/// Plays crashes at servers that run the crashing request beside others, which are answered at
/// another server in half of the cases. Returns the suspicion of the crashing one and the number of
/// others in quarantine.
fn play(seed: u64) -> (Suspicion, usize) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut gates: Vec<CrashLedger> = (0..4).map(|_| ledger()).collect();
    let mut others: Vec<u64> = (1..200).collect();
    for crash in 0..MAX_CRASHES {
        others.shuffle(&mut rng);
        let mut running: Vec<_> =
            others[..20].iter().map(|other| RequestFingerprint(*other)).collect();
        running.push(CRASHING);
        let now_us = crash as u64 * SECOND;
        gates[crash].record_crash(rng.random(), &running, now_us);
        for other in running.iter().filter(|other| **other != CRASHING) {
            if rng.random_bool(0.5) {
                gates[crash].record_answer(*other, now_us);
            }
        }
        for from in 0..gates.len() {
            for to in 0..gates.len() {
                if from != to {
                    let mut source = ledger_copy_at(&mut gates[from], now_us);
                    tell(&mut source, &mut gates[to], now_us);
                }
            }
        }
    }
    let quarantined = (1..200)
        .filter(|other| gates[0].suspicion(RequestFingerprint(*other)) == Suspicion::Quarantined)
        .count();
    (gates[0].suspicion(CRASHING), quarantined)
}

fn ledger_copy(from: &mut CrashLedger) -> CrashLedger {
    ledger_copy_at(from, 0)
}

fn ledger_copy_at(from: &mut CrashLedger, now_us: u64) -> CrashLedger {
    let mut copy = ledger();
    tell(from, &mut copy, now_us);
    copy
}

#[test]
fn a_request_under_which_three_servers_crash_is_put_in_quarantine() {
    for seed in 0..50 {
        assert_eq!(play(seed).0, Suspicion::Quarantined, "seed {seed}");
    }
}

#[test]
fn requests_that_only_ran_at_the_time_stay_out_of_quarantine() {
    // A request out of 199 that runs at all three crashes is not told apart if nothing answers it.
    let quarantined: usize = (0..50).map(|seed| play(seed).1).sum();
    assert!(quarantined <= 10, "{quarantined} of 9,950 requests are in quarantine");
}

#[test]
fn a_request_that_ran_at_one_crash_of_three_stays_below_suspicion() {
    let mut ledger = ledger();
    let bystander = RequestFingerprint(1);
    ledger.record_crash(1, &[CRASHING], 0);
    assert_eq!(ledger.record_crash(2, &[CRASHING, bystander], SECOND), [CRASHING, bystander]);
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::High);
    assert_eq!(ledger.suspicion(bystander), Suspicion::Low);
    ledger.record_answer(bystander, SECOND);
    assert_eq!(ledger.record_crash(3, &[CRASHING], SECOND), [CRASHING]);
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
    assert_eq!(ledger.suspicion(bystander), Suspicion::Low);
}

#[test]
fn an_answered_request_is_cleared_on_all_nodes() {
    let (mut first, mut second) = (ledger(), ledger());
    let request = RequestFingerprint(1);
    for crash in 1..=2 {
        first.record_crash(crash, &[request], 0);
    }
    tell(&mut first, &mut second, 0);
    assert_eq!(second.suspicion(request), Suspicion::High);
    first.record_answer(request, SECOND);
    tell(&mut first, &mut second, SECOND);
    tell(&mut second, &mut first, SECOND);
    assert_eq!(second.suspicion(request), Suspicion::Low);
    second.record_crash(3, &[request], SECOND);
    tell(&mut second, &mut first, SECOND);
    tell(&mut first, &mut second, SECOND);
    for node in [&first, &second] {
        assert_eq!(node.record(request).map(CrashRecord::crash_count), Some(1));
    }
}

#[test]
fn records_can_be_merged_in_any_order_and_any_number_of_times() {
    fn converges(seed: u64, events: Vec<(u8, u8, bool)>) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut nodes: Vec<CrashLedger> = (0..3).map(|_| ledger()).collect();
        for (crash, (node, request, is_answer)) in (0_u32..).zip(events) {
            let request = RequestFingerprint(u64::from(request % 3));
            let node = &mut nodes[usize::from(node % 3)];
            if is_answer {
                node.record_answer(request, 0);
            } else {
                node.record_crash(crash, &[request], 0);
            }
        }
        for _ in 0..30 {
            let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
            let mut source = ledger_copy(&mut nodes[from]);
            tell(&mut source, &mut nodes[to], 0);
        }
        for from in 0..3 {
            for to in 0..3 {
                let mut source = ledger_copy(&mut nodes[from]);
                tell(&mut source, &mut nodes[to], 0);
            }
        }
        for from in 0..3 {
            for to in 0..3 {
                let mut source = ledger_copy(&mut nodes[from]);
                tell(&mut source, &mut nodes[to], 0);
            }
        }
        (0..3).all(|request| {
            let request = RequestFingerprint(request);
            let verdicts: HashSet<_> =
                nodes.iter().map(|node| node.suspicion(request) as u8).collect();
            verdicts.len() == 1
        })
    }
    check_property(11, 200, converges as fn(u64, Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn old_records_of_several_crashes_are_told_to_nodes_that_have_started_since() {
    let mut ledger = ledger();
    let bystander = RequestFingerprint(1);
    ledger.record_crash(1, &[CRASHING, bystander], 0);
    ledger.record_crash(2, &[CRASHING], 0);
    let now_us = 10 * SECOND;
    for _ in 0..MANY_TIMES {
        ledger.news(None, usize::MAX, now_us);
    }
    assert!(ledger.news(None, usize::MAX, now_us).is_empty());
    assert_eq!(ledger.news(Some(CRASHING), usize::MAX, now_us).len(), 1);
    let mut started = self::ledger();
    for told in ledger.suspects(usize::MAX, now_us) {
        started.merge_told(&told, now_us);
    }
    assert_eq!(started.suspicion(CRASHING), Suspicion::High);
    assert!(started.record(bystander).is_none());
}

/// Guards against records that two nodes tell each other again whenever one of them has dropped it.
#[test]
fn nodes_that_tell_each_other_drop_a_record_in_the_end() {
    let mut nodes = [ledger(), ledger()];
    for crash in 1..=3 {
        nodes[0].record_crash(crash, &[CRASHING], 0);
    }
    let retention_us = QuarantineSettings::default().retention_ms * 1_000;
    for now_us in (SECOND..3 * retention_us).step_by(SECOND as usize / 4) {
        for (from, to) in [(0, 1), (1, 0)] {
            nodes[from].expire(now_us);
            let mut source = ledger_copy_at(&mut nodes[from], now_us);
            tell(&mut source, &mut nodes[to], now_us);
            // As on a connection that is opened anew each time.
            for told in nodes[from].suspects(usize::MAX, now_us) {
                nodes[to].merge_told(&told, now_us);
            }
        }
    }
    assert!(nodes.iter().all(CrashLedger::is_empty));
}

/// Guards against a ledger that is full of requests that ran at one crash each.
#[test]
fn a_full_ledger_still_finds_the_crashing_request() {
    let settings = QuarantineSettings { max_records: 30, ..QuarantineSettings::default() };
    let mut ledger = CrashLedger::new(settings);
    for crash in 1..=10 {
        let running: Vec<_> =
            (0..20).map(|other| RequestFingerprint(u64::from(crash) * 100 + other)).collect();
        ledger.record_crash(crash, &running, u64::from(crash) * SECOND);
    }
    for crash in 11..=13 {
        ledger.record_crash(crash, &[CRASHING], u64::from(crash) * SECOND);
    }
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
    assert!(ledger.suspects(usize::MAX, 14 * SECOND).len() <= 30);
}

/// Guards against forgetting a request that comes seldom between two of the crashes under it.
#[test]
fn crashes_that_are_minutes_apart_count_together() {
    let mut ledger = ledger();
    for crash in 1..=3 {
        let now_us = u64::from(crash) * 300 * SECOND;
        ledger.expire(now_us);
        ledger.record_crash(crash, &[CRASHING], now_us);
    }
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
}

#[test]
fn a_request_is_tried_again_after_the_retention_time() {
    let mut ledger = ledger();
    for crash in 1..=3 {
        ledger.record_crash(crash, &[CRASHING], 0);
    }
    let retention_us = QuarantineSettings::default().retention_ms * 1_000;
    ledger.expire(retention_us - 1);
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
    ledger.expire(retention_us);
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Low);
}

/// Guards against a cause that stays unknown because it always runs beside other suspects.
#[test]
fn a_crash_is_held_against_every_request_that_ran() {
    let mut ledger = ledger();
    for crash in 1..=3 {
        let suspect = RequestFingerprint(u64::from(crash));
        ledger.record_crash(10 * crash, &[suspect], 0);
        ledger.record_crash(10 * crash + 1, &[suspect], 0);
        ledger.record_crash(10 * crash + 2, &[CRASHING, suspect], SECOND);
    }
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
}

/// Guards against a gate that runs a request because the call that brought it told other records.
#[test]
fn a_message_about_a_request_tells_its_record_first() {
    let (mut entry, mut gate) = (ledger(), ledger());
    entry.record_crash(1, &[CRASHING], 0);
    for other in 1..=MAX_RECORDS as u64 {
        for crash in 1..=2 {
            entry.record_crash(1_000 * crash + other as u32, &[RequestFingerprint(other)], SECOND);
        }
    }
    for told in entry.news(Some(CRASHING), MAX_RECORDS, 2 * SECOND) {
        gate.merge_told(&told, 2 * SECOND);
    }
    assert!(gate.record(CRASHING).is_some());
}

/// Guards against records that no message carries because others are always before them.
#[test]
fn records_that_do_not_fit_into_a_message_are_told_with_the_next_ones() {
    let (mut from, mut to) = (ledger(), ledger());
    let running: Vec<_> = (0..3 * MAX_RECORDS as u64).map(RequestFingerprint).collect();
    from.record_crash(1, &running, 0);
    for _ in 0..3 {
        for told in from.news(None, MAX_RECORDS, SECOND) {
            to.merge_told(&told, SECOND);
        }
    }
    assert!(running.iter().all(|fingerprint| to.record(*fingerprint).is_some()));
}

/// Guards against nodes that never hear of a quarantine, because those that heard of it late keep
/// it to themselves.
#[test]
fn a_record_that_arrives_late_is_passed_on() {
    let (mut first, mut second, mut third) = (ledger(), ledger(), ledger());
    for crash in 1..=3 {
        first.record_crash(crash, &[CRASHING], 0);
    }
    let now_us = 60 * SECOND;
    for told in first.suspects(MAX_RECORDS, now_us) {
        second.merge_told(&told, now_us);
    }
    for told in second.news(None, MAX_RECORDS, now_us) {
        third.merge_told(&told, now_us);
    }
    assert_eq!(third.suspicion(CRASHING), Suspicion::Quarantined);
}

/// Guards against a request that crashes servers for ever because one of them answered it once.
#[test]
fn an_answer_does_not_clear_the_crashes_that_follow() {
    let mut ledger = ledger();
    ledger.record_crash(1, &[CRASHING], 0);
    ledger.record_answer(CRASHING, SECOND);
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Low);
    for crash in 2..=4 {
        ledger.record_crash(crash, &[CRASHING], 2 * SECOND);
    }
    assert_eq!(ledger.suspicion(CRASHING), Suspicion::Quarantined);
}
