//! Shows that random schedules find the failures that single mechanisms prevent. Failures that
//! random schedules find too rarely are tested in `directed`.

use tarragon_consensus::raft::InjectedFaults;
use tarragon_consensus::raft::RaftSettings;

use crate::schedule::ledger;
use crate::schedule::numbered_command;
use crate::schedule::run_schedule;
use crate::schedule::ScheduleFaults;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

/// Runs the schedule of a seed on three replicas with lost disks and injected protocol faults.
fn run_with_lost_disks(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, 3, 0, settings, ledger());
    sim.checker.is_majority_check_skipped = injected_faults.ignore_disk_ids;
    let faults =
        ScheduleFaults { has_lost_disks: true, has_member_changes: false, ..ScheduleFaults::NONE };
    run_schedule(&mut sim, 100, faults, numbered_command)
}

/// Whether the error shows the loss of a command, rather than a consequence of it.
fn is_command_loss(error: &str) -> bool {
    ["without acknowledged entry", "both lead", "was committed in term", "other commands"]
        .iter()
        .any(|text| error.contains(text))
}

/// Asserts that all seeds pass, and that some lose a command with the injected fault. A range of
/// seeds, rather than single failing ones, stays valid when the schedules change.
fn assert_mechanism_prevents_loss(
    seeds: std::ops::Range<u64>,
    fault: InjectedFaults,
    run: impl Fn(u64, InjectedFaults) -> Result<(), String>,
) {
    let mut losing_seeds = Vec::new();
    for seed in seeds {
        assert_eq!(run(seed, InjectedFaults::default()), Ok(()), "seed {seed}");
        if run(seed, fault).is_err_and(|error| is_command_loss(&error)) {
            losing_seeds.push(seed);
        }
    }
    eprintln!("seeds that lose commands: {losing_seeds:?}");
    assert!(!losing_seeds.is_empty(), "the mechanism makes no difference");
}

/// Guards against the removal of the disk id from the identity of replicas. Without it, a replica
/// that lost its votes and entries may help to elect a leader that lacks acknowledged commands.
#[test]
fn ignoring_disk_ids_loses_commands() {
    let fault = InjectedFaults { ignore_disk_ids: true, ..InjectedFaults::default() };
    assert_mechanism_prevents_loss(0..120, fault, run_with_lost_disks);
}

/// Simulates a power failure of all hosts as soon as a client has a result, several times.
fn power_failures_after_answers(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, 3, 0, settings, ledger());
    for _ in 0..10 {
        sim.wait_for_progress(LIMIT_MS)?;
        let previous_count = sim.results.len();
        let leader = sim.leader().expect("there was progress");
        let command = numbered_command(&mut sim);
        sim.propose(leader, &command)?;
        for _ in 0..1_000 {
            if sim.results.len() > previous_count {
                break;
            }
            sim.run(1)?;
        }
        for host in 0..3 {
            sim.nodes[host].crash(0, 0);
        }
        sim.end_faults();
    }
    sim.wait_for_progress(LIMIT_MS)
}

/// Guards against the removal of the sync before each vote and acknowledgement. Without it, a power
/// failure loses acknowledged commands.
#[test]
fn acknowledging_before_the_sync_loses_commands() {
    let fault = InjectedFaults { acknowledge_before_sync: true, ..InjectedFaults::default() };
    assert_mechanism_prevents_loss(0..20, fault, power_failures_after_answers);
}
