use rand::Rng;
use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;
use tarragon_consensus::raft::RequestOutcome;
use tarragon_testkit::check_property;

use crate::machine::Ledger;
use crate::machine::MachineFactory;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

/// Election timeouts within which a calm cluster must make progress: a few split votes, and a
/// leader that first has to find out that it is cut off.
pub const PROGRESS_TIMEOUTS: u64 = 30;

/// Which faults a schedule contains.
#[derive(Clone, Copy)]
pub struct Faults {
    pub has_lost_disks: bool,
    pub has_member_changes: bool,
}

/// Runs a schedule of faults and requests from the simulation's seed.
pub fn run_schedule(
    sim: &mut Sim,
    steps: usize,
    faults: Faults,
    command: impl Fn(&mut Sim) -> Vec<u8>,
) -> Result<(), String> {
    // Faults start once the log exists; before that, its only copy may be lost.
    sim.await_progress(PROGRESS_TIMEOUTS * ELECTION_MS)?;
    let mut sent: Vec<Vec<u8>> = Vec::new();
    for _ in 0..steps {
        let at = sim.pick(sim.nodes.len());
        let target = sim.leader().filter(|_| sim.rng.random_bool(0.7)).unwrap_or(at);
        // Repairs are as frequent as faults, so that most of the time there is a majority.
        if sim.nodes[at].replica.is_none() {
            sim.start(at);
        }
        match sim.pick(32) {
            0..=9 => {
                for _ in 0..1 + sim.pick(4) {
                    let next = command(sim);
                    sent.push(next.clone());
                    sim.propose(target, &next)?;
                }
            }
            10 if !sent.is_empty() => {
                let again = sent[sim.pick(sent.len())].clone();
                sim.propose(target, &again)?;
            }
            11 | 12 => sim.read(target)?,
            13 => sim.crash(target),
            14 => sim.crash(at),
            15 if sim.rng.random_bool(0.3) => power_failure(sim),
            15 => sim.nodes[at].store.disk().start_failing(),
            16 if faults.has_lost_disks && may_lose_disk(sim, at) => {
                sim.lose_disk(at);
                sim.start(at);
            }
            17 => block_around(sim, target, true),
            18 => block_around(sim, at, false),
            19 => sim.nodes[target].is_paused = sim.nodes[target].replica.is_some(),
            20 => sim.nodes[at].clock_percent = sim.rng.random_range(60..160),
            21 => {
                sim.loss_percent = sim.rng.random_range(0..30);
                sim.duplicate_percent = sim.rng.random_range(0..30);
                sim.max_delay_ms = sim.rng.random_range(1..40);
            }
            22 => (sim.loss_percent, sim.max_delay_ms) = (0, 5),
            23 | 24 => sim.blocked.clear(),
            25 => sim.nodes.iter_mut().for_each(|node| node.is_paused = false),
            26 => sim.calm(),
            27.. if faults.has_member_changes || faults.has_lost_disks => {
                for change in next_changes(sim, faults) {
                    sim.change(target, change)?;
                }
            }
            _ => {}
        }
        let wait_ms = sim.rng.random_range(0..ELECTION_MS);
        sim.run(wait_ms)?;
    }
    sim.calm();
    sim.await_progress(PROGRESS_TIMEOUTS * ELECTION_MS)?;
    sim.await_agreement(PROGRESS_TIMEOUTS * ELECTION_MS)
}

/// All hosts go down at once and start again.
fn power_failure(sim: &mut Sim) {
    for at in 0..sim.nodes.len() {
        sim.crash(at);
    }
    for at in 0..sim.nodes.len() {
        sim.start(at);
    }
}

/// Cuts a host off, in both directions or in one.
fn block_around(sim: &mut Sim, at: usize, is_both: bool) {
    let is_outward = sim.rng.random_bool(0.5);
    for other in 0..sim.nodes.len() {
        if is_both || is_outward {
            sim.blocked.insert((at, other));
        }
        if is_both || !is_outward {
            sim.blocked.insert((other, at));
        }
    }
}

/// Whether a majority of every configuration that any replica may use keeps its disks.
fn may_lose_disk(sim: &Sim, at: usize) -> bool {
    let is_lost = |id: &ReplicaId| sim.lost.contains(&id.disk) || *id == sim.nodes[at].id;
    let survives = |members: &ClusterConfiguration| {
        members.voters.is_empty() || members.is_majority(|id| !is_lost(id))
    };
    sim.nodes.iter().all(|node| survives(&node.configuration))
}

/// Changes that an operator may ask for now, some of them twice or too early.
fn next_changes(sim: &mut Sim, faults: Faults) -> Vec<MemberChange> {
    let Some(leader) = sim.leader() else { return Vec::new() };
    let members = sim.nodes[leader].configuration.clone();
    let lost = members.members().find(|id| sim.lost.contains(&id.disk)).cloned();
    if let Some(id) = lost {
        return vec![MemberChange::Remove(id.clone()), MemberChange::Remove(id)];
    }
    let outside = sim.nodes.iter().map(|n| n.id.clone()).find(|id| !members.has_member(id));
    let learner = members.learners.first().cloned();
    match (sim.pick(3), outside, learner) {
        (0, Some(id), _) => vec![MemberChange::AddLearner(id.clone()), MemberChange::Promote(id)],
        (_, _, Some(id)) => vec![MemberChange::Promote(id)],
        (1, _, _) if faults.has_member_changes && members.voters.len() > 2 => {
            let voter = members.voters.iter().nth(sim.pick(members.voters.len()));
            voter.cloned().map(MemberChange::Remove).into_iter().collect()
        }
        (_, Some(id), _) => vec![MemberChange::AddLearner(id)],
        _ => Vec::new(),
    }
}

pub fn ledger() -> MachineFactory {
    || Box::new(Ledger::default())
}

pub fn numbered_command(sim: &mut Sim) -> Vec<u8> {
    sim.rng.random::<u32>().to_le_bytes().to_vec()
}

const ALL: Faults = Faults { has_lost_disks: true, has_member_changes: true };

/// Guards against lost or changed entries and stuck clusters under loss, duplication, reordering,
/// delay, kills with torn writes, partitions in one and both directions, pauses and odd clocks.
#[test]
fn three_to_five_replicas_keep_the_invariants() {
    fn property(seed: u64) -> Result<(), String> {
        let voters = 3 + (seed % 3) as usize;
        let mut sim = Sim::new(seed, voters, 0, settings(), ledger());
        let faults = Faults { has_lost_disks: false, has_member_changes: false };
        run_schedule(&mut sim, 80, faults, numbered_command)
    }
    check_property(101, 150, property as fn(u64) -> Result<(), String>);
}

/// Guards against a replica that lost its disk being counted as its former self, and against
/// repairs that lose entries.
#[test]
fn lost_disks_are_not_counted_and_can_be_replaced() {
    fn property(seed: u64) -> Result<(), String> {
        let mut sim = Sim::new(seed, 3 + 2 * (seed % 2) as usize, 0, settings(), ledger());
        let faults = Faults { has_lost_disks: true, has_member_changes: false };
        run_schedule(&mut sim, 100, faults, numbered_command)
    }
    check_property(102, 150, property as fn(u64) -> Result<(), String>);
}

/// Guards against two majorities that do not meet while members change, with racing and repeated
/// changes.
#[test]
fn members_change_while_hosts_fail() {
    fn property(seed: u64) -> Result<(), String> {
        let mut sim = Sim::new(seed, 1 + (seed % 3) as usize, 2, settings(), ledger());
        run_schedule(&mut sim, 100, ALL, numbered_command)
    }
    check_property(103, 150, property as fn(u64) -> Result<(), String>);
}

/// Guards against schedules that test less than they claim.
#[test]
fn schedules_reach_what_they_are_about() {
    let (mut results, mut chunks, mut lost, mut changes, mut terms) = (0, 0, 0, 0, 0);
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 3, 2, settings(), ledger());
        assert_eq!(run_schedule(&mut sim, 100, ALL, numbered_command), Ok(()));
        results += sim.results.len();
        chunks += sim.checker.chunks;
        lost += sim.lost.len();
        changes +=
            sim.change_outcomes.iter().filter(|a| **a == RequestOutcome::MembersChanged).count();
        terms += sim.leader().and_then(|at| sim.status(at)).map_or(0, |s| s.term);
    }
    let reached = format!("{results} {chunks} {lost} {changes} {terms}");
    let is_enough = results > 250 && chunks > 200 && lost > 20 && changes > 40 && terms > 80;
    assert!(is_enough, "results, chunks, lost disks, changes, terms: {reached}");
}
