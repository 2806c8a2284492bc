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

/// Replicas that all run and have stored everything.
fn healthy(voters: &[ReplicaId]) -> ReplicaObservation {
    let all: BTreeSet<ReplicaId> = voters.iter().cloned().collect();
    ReplicaObservation {
        configuration: ClusterConfiguration::from_voters(all.clone()),
        reachable: all.clone(),
        caught_up: all.clone(),
        failed: BTreeSet::new(),
        running: all,
    }
}

fn lose(seen: &mut ReplicaObservation, failed: &ReplicaId) {
    for set in [&mut seen.reachable, &mut seen.caught_up, &mut seen.running] {
        set.remove(failed);
    }
    seen.failed.insert(failed.clone());
}

fn start(seen: &mut ReplicaObservation, started: &ReplicaId) {
    seen.running.insert(started.clone());
}

/// Applies changes until there is none, and returns them.
fn settle(seen: &mut ReplicaObservation) -> Vec<MemberChange> {
    let mut changes = Vec::new();
    while let Some(change) = next_member_change(seen) {
        let configuration = &mut seen.configuration;
        match &change {
            MemberChange::AddLearner(id) => {
                configuration.learners.insert(id.clone());
                if seen.running.contains(id) {
                    seen.reachable.insert(id.clone());
                    seen.caught_up.insert(id.clone());
                }
            }
            MemberChange::Promote(id) => {
                let has_former = configuration.voters.iter().any(|voter| voter.name == id.name);
                assert!(!has_former, "the log refuses a second voter of the name {}", id.name);
                configuration.learners.remove(id);
                configuration.voters.insert(id.clone());
            }
            MemberChange::Remove(id) => {
                configuration.voters.remove(id);
                configuration.learners.remove(id);
            }
        }
        changes.push(change);
        assert!(changes.len() < 50, "the changes do not settle: {changes:?}");
    }
    changes
}

#[test]
fn healthy_replicas_stay_as_they_are() {
    assert_eq!(next_member_change(&healthy(&[id("a", 1), id("b", 2), id("c", 3)])), None);
}

#[test]
fn a_lost_voter_stays_until_another_replica_can_take_its_place() {
    let mut seen = healthy(&[id("a", 1), id("b", 2), id("c", 3)]);
    lose(&mut seen, &id("c", 3));
    assert_eq!(next_member_change(&seen), None);
    start(&mut seen, &id("d", 4));
    let (c, d) = (id("c", 3), id("d", 4));
    let expected = vec![
        MemberChange::AddLearner(d.clone()),
        MemberChange::Promote(d),
        MemberChange::Remove(c),
    ];
    assert_eq!(settle(&mut seen), expected);
}

#[test]
fn a_replica_without_its_disk_is_a_new_one_that_replaces_its_former_self() {
    let mut seen = healthy(&[id("a", 1), id("b", 2), id("c", 3)]);
    lose(&mut seen, &id("c", 3));
    start(&mut seen, &id("c", 9));
    settle(&mut seen);
    let expected = ClusterConfiguration::from_voters([id("a", 1), id("b", 2), id("c", 9)]);
    assert_eq!(seen.configuration, expected);
}

#[test]
fn a_learner_that_lags_does_not_vote() {
    let mut seen = healthy(&[id("a", 1), id("b", 2), id("c", 3)]);
    seen.configuration.learners.insert(id("d", 4));
    seen.running.insert(id("d", 4));
    seen.reachable.insert(id("d", 4));
    assert_eq!(next_member_change(&seen), None);
}

/// Guards against too few voters, two voters of one name, and changes without end, whatever is lost
/// and started. Each step names a host and says whether it loses its disk.
#[test]
fn changes_settle_with_enough_voters_of_different_names() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let mut seen = healthy(&[id("h0", 0), id("h1", 1), id("h2", 2)]);
        for (at, (host, is_wiped)) in steps.into_iter().enumerate() {
            let name = format!("h{}", host % 6);
            let present = seen.running.iter().find(|id| id.name == name).cloned();
            let is_lost = present.as_ref().is_some_and(|_| seen.reachable.len() > 2);
            if let Some(present) = present.as_ref().filter(|_| is_lost) {
                lose(&mut seen, present);
            }
            // A host runs one replica at a time.
            if present.is_none() || (is_lost && is_wiped) {
                start(&mut seen, &id(&name, 100 + at as u64));
            }
            settle(&mut seen);
            let voters = &seen.configuration.voters;
            let names: BTreeSet<&str> = voters.iter().map(|id| id.name.as_str()).collect();
            if names.len() != voters.len() || voters.len() < MIN_VOTERS.min(seen.running.len()) {
                return false;
            }
        }
        true
    }
    check_property(41, 300, property as fn(Vec<(u8, bool)>) -> bool);
}
