//! Shows that the schedules find the failures that the mechanisms prevent: each seed fails with a
//! mechanism off and passes with all of them on. Rarer ones are in `directed`.

use tarragon_consensus::raft::Settings;
use tarragon_consensus::raft::Switches;

use crate::schedule::ledger;
use crate::schedule::numbered_command;
use crate::schedule::run_schedule;
use crate::schedule::Faults;
use crate::sim::settings;
use crate::sim::Sim;

/// Runs the schedule of a seed on three replicas with some mechanisms off.
fn run(seed: u64, has_lost_disks: bool, switches: Switches) -> Result<(), String> {
    let settings = Settings { switches, ..settings() };
    let mut sim = Sim::new(seed, 3, 0, settings, ledger());
    sim.checker.is_identity_ignored = switches.count_lost_disks;
    let faults = Faults { has_lost_disks, has_member_changes: false };
    run_schedule(&mut sim, 100, faults, numbered_command)
}

fn assert_matters(seeds: &[u64], has_lost_disks: bool, off: Switches) {
    for seed in seeds {
        assert_eq!(run(*seed, has_lost_disks, Switches::default()), Ok(()), "seed {seed}");
        let error = run(*seed, has_lost_disks, off).expect_err("the failure is found");
        let is_loss = error.contains("without acknowledged entry")
            || error.contains("both lead")
            || error.contains("was committed in term");
        assert!(is_loss, "seed {seed} fails for another reason: {error}");
    }
}

/// Guards the sync before each vote and acknowledgement: without it, a power failure undoes
/// accepted commands.
#[test]
fn acknowledging_before_the_sync_loses_commands() {
    let off = Switches { acknowledge_before_sync: true, ..Switches::default() };
    assert_matters(&[475, 998, 1174], false, off);
}

/// Guards the disk id in the identity: without it, a replica that forgot its votes and entries
/// helps to elect a leader that lacks accepted commands.
#[test]
fn counting_a_replica_that_lost_its_disk_loses_commands() {
    let off = Switches { count_lost_disks: true, ..Switches::default() };
    assert_matters(&[18, 24, 26], true, off);
}
