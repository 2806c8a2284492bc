//! Shows that schedules find the failures that the mechanisms prevent. Mechanisms against failures
//! that random schedules find too rarely are in `directed`.

use tarragon_consensus::raft::InjectedFaults;
use tarragon_consensus::raft::RaftSettings;

use crate::schedule::ledger;
use crate::schedule::numbered_command;
use crate::schedule::run_schedule;
use crate::schedule::Faults;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

/// Runs the schedule of a seed on three replicas with some mechanisms off.
fn run_with_lost_disks(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, 3, 0, settings, ledger());
    sim.checker.is_identity_ignored = injected_faults.ignore_disk_ids;
    let faults = Faults { has_lost_disks: true, has_member_changes: false };
    run_schedule(&mut sim, 100, faults, numbered_command)
}

/// Whether the error is the loss of a command, rather than something that follows from it.
fn is_loss(error: &str) -> bool {
    ["without acknowledged entry", "both lead", "was committed in term", "other commands"]
        .iter()
        .any(|part| error.contains(part))
}

/// Asserts that all seeds pass, and that some lose a command with a mechanism off. A range of
/// seeds, rather than those that fail today, stays valid when the schedules change.
fn assert_matters(
    seeds: std::ops::Range<u64>,
    off: InjectedFaults,
    run: impl Fn(u64, InjectedFaults) -> Result<(), String>,
) {
    let mut found = Vec::new();
    for seed in seeds {
        assert_eq!(run(seed, InjectedFaults::default()), Ok(()), "seed {seed}");
        if run(seed, off).is_err_and(|error| is_loss(&error)) {
            found.push(seed);
        }
    }
    eprintln!("seeds that lose commands: {found:?}");
    assert!(!found.is_empty(), "the mechanism makes no difference");
}

/// Guards the disk id in the identity: without it, a replica that forgot its votes and entries
/// helps to elect a leader that lacks accepted commands.
#[test]
fn counting_a_replica_that_lost_its_disk_loses_commands() {
    let off = InjectedFaults { ignore_disk_ids: true, ..InjectedFaults::default() };
    assert_matters(0..120, off, run_with_lost_disks);
}

/// All hosts lose power as soon as a client has its answer, several times over.
fn power_failures_after_answers(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, 3, 0, settings, ledger());
    for _ in 0..10 {
        sim.await_progress(LIMIT_MS)?;
        let known = sim.results.len();
        let leader = sim.leader().expect("there was progress");
        let command = numbered_command(&mut sim);
        sim.propose(leader, &command)?;
        for _ in 0..1_000 {
            if sim.results.len() > known {
                break;
            }
            sim.run(1)?;
        }
        for at in 0..3 {
            sim.nodes[at].crash(0, 0);
        }
        sim.calm();
    }
    sim.await_progress(LIMIT_MS)
}

/// Guards the sync before each vote and acknowledgement: without it, a power failure undoes
/// accepted commands.
#[test]
fn acknowledging_before_the_sync_loses_commands() {
    let off = InjectedFaults { acknowledge_before_sync: true, ..InjectedFaults::default() };
    assert_matters(0..20, off, power_failures_after_answers);
}
