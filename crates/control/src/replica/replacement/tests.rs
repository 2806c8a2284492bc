use std::collections::BTreeSet;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;
use tarragon_testkit::check_property;

use super::next_member_change;
use super::ReplicaObservation;
use super::MIN_VOTERS;

fn id(name: &str, disk: u64) -> ReplicaId {
    ReplicaId::new(name, DiskId(disk))
}

/// Voters that are all running, reachable and caught up.
fn healthy_observation(voters: &[ReplicaId]) -> ReplicaObservation {
    let all: BTreeSet<ReplicaId> = voters.iter().cloned().collect();
    ReplicaObservation {
        configuration: ClusterConfiguration::from_voters(all.clone()),
        reachable: all.clone(),
        caught_up: all.clone(),
        failed: BTreeSet::new(),
        lost: BTreeSet::new(),
        running: all,
    }
}

fn mark_failed(observation: &mut ReplicaObservation, failed: &ReplicaId) {
    for set in [&mut observation.reachable, &mut observation.caught_up, &mut observation.running] {
        set.remove(failed);
    }
    observation.failed.insert(failed.clone());
}

fn mark_running(observation: &mut ReplicaObservation, started: &ReplicaId) {
    observation.running.insert(started.clone());
}

/// Applies changes until no further one is needed, and returns them.
fn apply_changes(observation: &mut ReplicaObservation) -> Vec<MemberChange> {
    let mut changes = Vec::new();
    while let Some(change) = next_member_change(observation) {
        let configuration = &mut observation.configuration;
        match &change {
            MemberChange::AddLearner(id) => {
                configuration.learners.insert(id.clone());
                if observation.running.contains(id) {
                    observation.reachable.insert(id.clone());
                    observation.caught_up.insert(id.clone());
                }
            }
            MemberChange::Promote(id) => {
                let has_predecessor =
                    configuration.voters.iter().any(|voter| voter.name == id.name);
                assert!(
                    !has_predecessor,
                    "the log refuses a second voter with the name {}",
                    id.name
                );
                configuration.learners.remove(id);
                configuration.voters.insert(id.clone());
            }
            MemberChange::Remove(id) => {
                configuration.voters.remove(id);
                configuration.learners.remove(id);
            }
        }
        changes.push(change);
        assert!(changes.len() < 50, "the changes do not converge: {changes:?}");
    }
    changes
}

#[test]
fn no_change_is_made_while_all_replicas_are_healthy() {
    let observation = healthy_observation(&[id("a", 1), id("b", 2), id("c", 3)]);
    assert_eq!(next_member_change(&observation), None);
}

#[test]
fn a_failed_voter_is_removed_only_after_its_replacement_votes() {
    let mut observation = healthy_observation(&[id("a", 1), id("b", 2), id("c", 3)]);
    mark_failed(&mut observation, &id("c", 3));
    assert_eq!(next_member_change(&observation), None);
    mark_running(&mut observation, &id("d", 4));
    let (c, d) = (id("c", 3), id("d", 4));
    let expected = vec![
        MemberChange::AddLearner(d.clone()),
        MemberChange::Promote(d),
        MemberChange::Remove(c),
    ];
    assert_eq!(apply_changes(&mut observation), expected);
}

#[test]
fn a_replica_that_lost_its_disk_replaces_its_predecessor() {
    let mut observation = healthy_observation(&[id("a", 1), id("b", 2), id("c", 3)]);
    mark_failed(&mut observation, &id("c", 3));
    mark_running(&mut observation, &id("c", 9));
    apply_changes(&mut observation);
    let expected = ClusterConfiguration::from_voters([id("a", 1), id("b", 2), id("c", 9)]);
    assert_eq!(observation.configuration, expected);
}

/// Guards against a lost voter that stays among the voters while other replicas catch up.
#[test]
fn a_voter_that_lost_its_disk_is_removed_before_other_changes() {
    let mut observation = healthy_observation(&[id("a", 1), id("b", 2), id("c", 3), id("d", 4)]);
    mark_failed(&mut observation, &id("c", 3));
    mark_failed(&mut observation, &id("a", 1));
    mark_running(&mut observation, &id("a", 9));
    observation.lost.insert(id("a", 1));
    assert_eq!(next_member_change(&observation), Some(MemberChange::Remove(id("a", 1))));
    apply_changes(&mut observation);
    let expected = ClusterConfiguration::from_voters([id("a", 9), id("b", 2), id("d", 4)]);
    assert_eq!(observation.configuration, expected);
}

#[test]
fn a_learner_that_has_not_caught_up_is_not_promoted() {
    let mut observation = healthy_observation(&[id("a", 1), id("b", 2), id("c", 3)]);
    observation.configuration.learners.insert(id("d", 4));
    observation.running.insert(id("d", 4));
    observation.reachable.insert(id("d", 4));
    assert_eq!(next_member_change(&observation), None);
}

/// Guards against too few voters, two voters with the same name, and changes that do not converge,
/// for any sequence of failures and restarts. Each step is a host and whether it loses its disk.
#[test]
fn changes_converge_to_enough_voters_with_distinct_names() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let mut observation = healthy_observation(&[id("h0", 0), id("h1", 1), id("h2", 2)]);
        for (step, (host, is_wiped)) in steps.into_iter().enumerate() {
            let name = format!("h{}", host % 6);
            let current = observation.running.iter().find(|id| id.name == name).cloned();
            let is_failed = current.as_ref().is_some_and(|_| observation.reachable.len() > 2);
            if let Some(current) = current.as_ref().filter(|_| is_failed) {
                mark_failed(&mut observation, current);
            }
            // A host runs one replica at a time.
            if current.is_none() || (is_failed && is_wiped) {
                let earlier = observation.configuration.members().filter(|id| id.name == name);
                let earlier: Vec<ReplicaId> = earlier.cloned().collect();
                // The loss becomes known at once, or only by the successor that runs.
                observation.lost.extend(earlier.into_iter().filter(|_| step % 2 == 0));
                mark_running(&mut observation, &id(&name, 100 + step as u64));
            }
            apply_changes(&mut observation);
            let voters = &observation.configuration.voters;
            let names: BTreeSet<&str> = voters.iter().map(|id| id.name.as_str()).collect();
            if names.len() != voters.len()
                || voters.len() < MIN_VOTERS.min(observation.running.len())
            {
                return false;
            }
        }
        true
    }
    check_property(41, 300, property as fn(Vec<(u8, bool)>) -> bool);
}
