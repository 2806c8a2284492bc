//! Scenarios that random schedules reach too rarely. Where a mechanism prevents a failure, the test
//! also runs with the mechanism disabled.

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::MessageBody;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::InjectedFaults;
use tarragon_consensus::raft::MemberChange;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::RecoveredState;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::raft::ReplicaEvent;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_consensus::raft::RequestOutcome;
use tarragon_consensus::raft::RequestRefusal;

use crate::schedule::ledger;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

fn start_cluster(seed: u64, voters: usize, spares: usize, injected_faults: InjectedFaults) -> Sim {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, voters, spares, settings, ledger());
    sim.wait_for_progress(LIMIT_MS).expect("the cluster starts");
    sim.wait_for_agreement(LIMIT_MS).expect("the cluster starts");
    sim
}

fn replica_id(sim: &Sim, host: usize) -> ReplicaId {
    sim.nodes[host].id.clone()
}

fn leader_of(sim: &Sim) -> usize {
    sim.leader().expect("there is a leader")
}

fn status_of(sim: &Sim, host: usize) -> ReplicaStatus {
    sim.status(host).expect("the host is up")
}

pub fn partition(sim: &mut Sim, groups: &[&[usize]]) {
    sim.blocked_links.clear();
    let group_of = |host: usize| groups.iter().position(|group| group.contains(&host));
    for from in 0..sim.nodes.len() {
        for to in 0..sim.nodes.len() {
            if group_of(from) != group_of(to) {
                sim.blocked_links.insert((from, to));
            }
        }
    }
}

fn change_members_and_wait(sim: &mut Sim, change: MemberChange) -> RequestOutcome {
    let leader = leader_of(sim);
    let previous_count = sim.change_outcomes.len();
    sim.change_members(leader, change).expect("the invariants hold");
    for _ in 0..PROGRESS_TIMEOUTS {
        if sim.change_outcomes.len() > previous_count {
            return sim.change_outcomes[previous_count].clone();
        }
        sim.run(ELECTION_MS).expect("the invariants hold");
    }
    panic!("the change was not completed");
}

/// Increase of the term of the others after a follower was isolated for a long time and rejoined.
fn term_increase_after_isolation(
    seed: u64,
    is_incoming_blocked: bool,
    is_outgoing_blocked: bool,
    injected_faults: InjectedFaults,
) -> u64 {
    let mut sim = start_cluster(seed, 3, 0, injected_faults);
    let leader = leader_of(&sim);
    let (isolated, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let term = status_of(&sim, leader).term;
    for host in [leader, other] {
        if is_outgoing_blocked {
            sim.blocked_links.insert((isolated, host));
        }
        if is_incoming_blocked {
            sim.blocked_links.insert((host, isolated));
        }
    }
    sim.run(100 * ELECTION_MS).expect("the invariants hold");
    sim.blocked_links.clear();
    sim.run(20 * ELECTION_MS).expect("the invariants hold");
    sim.wait_for_progress(LIMIT_MS).expect("the invariants hold");
    status_of(&sim, other).term - term
}

/// Guards against a rejoining replica that increases the term of the others and so deposes the
/// leader.
#[test]
fn a_long_isolated_replica_does_not_disturb_the_others() {
    let fault = InjectedFaults { skip_pre_vote: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        for (is_incoming_blocked, is_outgoing_blocked) in
            [(true, true), (true, false), (false, true)]
        {
            assert_eq!(
                term_increase_after_isolation(
                    seed,
                    is_incoming_blocked,
                    is_outgoing_blocked,
                    InjectedFaults::default()
                ),
                0
            );
        }
        assert!(
            term_increase_after_isolation(seed, true, true, fault) > 0,
            "pre-vote makes no difference"
        );
    }
}

/// Whether an isolated leader fails a pending request within three election timeouts.
fn is_request_failed_when_isolated(seed: u64, injected_faults: InjectedFaults) -> bool {
    let mut sim = start_cluster(seed, 3, 0, injected_faults);
    let leader = leader_of(&sim);
    partition(&mut sim, &[&[leader]]);
    let non_member = ReplicaId::new("z", replica_id(&sim, leader).disk);
    sim.change_members(leader, MemberChange::AddLearner(non_member)).expect("the invariants hold");
    sim.run(3 * ELECTION_MS).expect("the invariants hold");
    sim.change_outcomes == [RequestOutcome::Unknown]
}

/// Guards against callers that wait forever for a leader that has no majority any more.
#[test]
fn a_leader_without_a_majority_fails_pending_requests() {
    let fault = InjectedFaults { skip_check_quorum: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        assert!(is_request_failed_when_isolated(seed, InjectedFaults::default()));
        assert!(!is_request_failed_when_isolated(seed, fault), "check-quorum makes no difference");
    }
}

/// Isolates a leader with a slow clock, and requests a read from it after its successor has
/// completed a command.
fn read_at_old_leader(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let mut sim = start_cluster(seed, 3, 0, injected_faults);
    let old = leader_of(&sim);
    sim.nodes[old].clock_percent = 5;
    partition(&mut sim, &[&[old]]);
    sim.run(4 * ELECTION_MS)?;
    sim.wait_for_progress(LIMIT_MS)?;
    assert_ne!(sim.leader(), Some(old));
    sim.read(old)?;
    sim.run(ELECTION_MS)
}

/// Guards against stale reads at a leader that has not detected its successor.
#[test]
fn a_superseded_leader_confirms_no_reads() {
    let fault = InjectedFaults { skip_read_confirmation: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        assert_eq!(read_at_old_leader(seed, InjectedFaults::default()), Ok(()));
        let error = read_at_old_leader(seed, fault).expect_err("the round makes no difference");
        assert!(error.contains("had been acknowledged before the read"), "{error}");
    }
}

/// The schedule of figure 3.7 of Ongaro's dissertation, on three replicas: a leader replicates an
/// entry of its earlier term and is isolated, then a replica with a newer entry at that index is
/// elected.
fn replicate_entry_of_earlier_term(
    seed: u64,
    injected_faults: InjectedFaults,
) -> Result<(), String> {
    let mut sim = start_cluster(seed, 3, 0, injected_faults);
    let first = leader_of(&sim);
    let term = status_of(&sim, first).term;
    let others: Vec<usize> = (0..3).filter(|host| *host != first).collect();
    partition(&mut sim, &[&[first], &others]);
    // The command fills a message, so that later entries of the leader are sent in another one.
    sim.propose(first, &[1; 100])?;
    let index = status_of(&sim, first).last_index;
    for _ in 0..2_000 {
        sim.run(1)?;
        if sim.leader().is_some_and(|host| status_of(&sim, host).term > term) {
            break;
        }
    }
    let second = leader_of(&sim);
    assert_ne!(second, first);
    let third = 3 - first - second;
    sim.drop_messages_to(third);
    partition(&mut sim, &[&[first, third], &[second]]);
    for _ in 0..2_000 {
        sim.run(1)?;
        if status_of(&sim, first).commit_index >= index {
            break;
        }
    }
    sim.drop_messages_to(third);
    partition(&mut sim, &[&[first], &[second, third]]);
    sim.run(10 * ELECTION_MS)?;
    sim.end_faults();
    sim.wait_for_progress(LIMIT_MS)?;
    sim.wait_for_agreement(LIMIT_MS)
}

/// Guards against entries of earlier terms that are considered committed because a majority has
/// stored them, and are then replaced.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let fault =
        InjectedFaults { commit_entries_of_earlier_terms: true, ..InjectedFaults::default() };
    for seed in 1..10 {
        assert_eq!(
            replicate_entry_of_earlier_term(seed, InjectedFaults::default()),
            Ok(()),
            "seed {seed}"
        );
        let error =
            replicate_entry_of_earlier_term(seed, fault).expect_err("the rule makes no difference");
        assert!(error.contains("entr"), "{error}");
    }
}

/// Two leaders concurrently change one member of the same configuration.
fn concurrent_member_changes(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let mut sim = start_cluster(seed, 4, 1, injected_faults);
    let learner = replica_id(&sim, 4);
    let added = change_members_and_wait(&mut sim, MemberChange::AddLearner(learner));
    assert_eq!(added, RequestOutcome::MembersChanged);
    sim.wait_for_agreement(LIMIT_MS)?;
    let old = leader_of(&sim);
    let others: Vec<usize> = (0..4).filter(|host| *host != old).collect();
    // The old leader promotes the learner, but only the learner receives the change.
    partition(&mut sim, &[&[old, 4], &others]);
    sim.change_members(old, MemberChange::Promote(replica_id(&sim, 4)))?;
    let term = status_of(&sim, old).term;
    let mut new = None;
    for _ in 0..2_000 {
        sim.run(1)?;
        new = sim.leader().filter(|host| status_of(&sim, *host).term > term);
        if new.is_some() {
            break;
        }
    }
    // The new leader removes the old one, and one of its followers does not receive the change.
    let new = new.expect("the others elect a leader");
    let rest: Vec<usize> = others.iter().copied().filter(|host| *host != new).collect();
    partition(&mut sim, &[&[new, rest[0]], &[old, 4], &[rest[1]]]);
    sim.drop_messages_to(rest[1]);
    sim.change_members(new, MemberChange::Remove(replica_id(&sim, old)))?;
    sim.run(2 * ELECTION_MS)?;
    // With that follower, the old leader has a majority of its own configuration.
    partition(&mut sim, &[&[new], &[rest[0]], &[old, 4, rest[1]]]);
    sim.run(10 * ELECTION_MS)?;
    sim.end_faults();
    sim.wait_for_progress(LIMIT_MS)?;
    sim.wait_for_agreement(LIMIT_MS)
}

/// Guards against two leaders whose majorities have no voter in common because each has changed the
/// members. Two rules prevent it: a new leader commits an entry first, and quorums need a majority
/// of the previous members as well.
#[test]
fn a_new_leader_changes_no_members_before_its_first_commit() {
    let fault = InjectedFaults {
        early_membership_change: true,
        skip_previous_majority: true,
        ..InjectedFaults::default()
    };
    let mut failures = 0;
    for seed in 1..40 {
        assert_eq!(
            concurrent_member_changes(seed, InjectedFaults::default()),
            Ok(()),
            "seed {seed}"
        );
        failures += u32::from(concurrent_member_changes(seed, fault).is_err());
    }
    assert!(failures > 0, "the rule makes no difference");
}

/// Guards against learners that vote before they have all committed entries, and against a replica
/// with a new disk that counts as the former member without a committed change or starts an
/// election.
#[test]
fn a_voter_that_lost_its_disk_is_replaced_in_repeatable_steps() {
    let mut sim = start_cluster(7, 3, 0, InjectedFaults::default());
    let leader = leader_of(&sim);
    let replaced = (leader + 1) % 3;
    let former = replica_id(&sim, replaced);
    sim.lose_disk(replaced);
    sim.start(replaced);
    let replacement = replica_id(&sim, replaced);
    for number in 0..40_u32 {
        sim.propose(leader, &number.to_le_bytes()).unwrap();
        sim.run(10).unwrap();
    }
    sim.run(20 * ELECTION_MS).unwrap();
    let ReplicaStatus { term, last_index, .. } = status_of(&sim, replaced);
    assert_eq!((term, last_index), (0, 0), "it does not count as the former member");
    let refused = |refusal| RequestOutcome::Refused(refusal);
    let promote = MemberChange::Promote(replacement.clone());
    assert_eq!(
        change_members_and_wait(&mut sim, promote.clone()),
        refused(RequestRefusal::NotLearner)
    );
    let add = MemberChange::AddLearner(replacement.clone());
    for _ in 0..2 {
        assert_eq!(change_members_and_wait(&mut sim, add.clone()), RequestOutcome::MembersChanged);
    }
    sim.wait_for_agreement(LIMIT_MS).unwrap();
    assert!(sim.checker.chunk_count > 1, "the learner gets a snapshot in several chunks");
    assert!(sim.checker.max_chunk_bytes <= settings().snapshot_chunk_bytes);
    assert_eq!(
        change_members_and_wait(&mut sim, promote.clone()),
        refused(RequestRefusal::NameInUse)
    );
    for _ in 0..2 {
        let remove = MemberChange::Remove(former.clone());
        assert_eq!(change_members_and_wait(&mut sim, remove), RequestOutcome::MembersChanged);
    }
    partition(&mut sim, &[&[replaced]]);
    sim.run(2 * ELECTION_MS).unwrap();
    assert_eq!(
        change_members_and_wait(&mut sim, promote.clone()),
        refused(RequestRefusal::NotCaughtUp)
    );
    sim.blocked_links.clear();
    sim.wait_for_agreement(LIMIT_MS).unwrap();
    for _ in 0..2 {
        assert_eq!(
            change_members_and_wait(&mut sim, promote.clone()),
            RequestOutcome::MembersChanged
        );
    }
    let members = status_of(&sim, leader).configuration;
    assert_eq!((members.voters.len(), members.learners.len()), (3, 0));
    sim.crash((leader + 2) % 3);
    sim.wait_for_progress(LIMIT_MS).expect("the new voter counts");
}

/// Guards against a removal that leaves no majority, and against a removed leader that continues to
/// lead.
#[test]
fn removals_keep_a_majority_and_a_removed_leader_steps_down() {
    let mut sim = start_cluster(8, 3, 0, InjectedFaults::default());
    let leader = leader_of(&sim);
    let (down, up) = ((leader + 1) % 3, (leader + 2) % 3);
    sim.crash(down);
    sim.run(2 * ELECTION_MS).unwrap();
    let remove_up = MemberChange::Remove(replica_id(&sim, up));
    let refused = RequestOutcome::Refused(RequestRefusal::WouldLoseMajority);
    assert_eq!(change_members_and_wait(&mut sim, remove_up), refused);
    sim.start(down);
    sim.wait_for_agreement(LIMIT_MS).unwrap();
    let removed = replica_id(&sim, leader);
    assert_eq!(
        change_members_and_wait(&mut sim, MemberChange::Remove(removed.clone())),
        RequestOutcome::MembersChanged
    );
    sim.run(5 * ELECTION_MS).unwrap();
    sim.wait_for_progress(LIMIT_MS).unwrap();
    assert_ne!(sim.leader(), Some(leader));
    let successor = leader_of(&sim);
    assert!(!status_of(&sim, successor).configuration.has_member(&removed));
}

/// Guards against entries of two logs in one replica, after a host was bootstrapped by mistake.
#[test]
fn a_replica_drops_messages_of_another_log() {
    let (local_id, other) = (ReplicaId::new("a", DiskId(1)), ReplicaId::new("b", DiskId(2)));
    let mut replica = Replica::new(local_id.clone(), settings(), RecoveredState::default(), 1, 0);
    replica.step(ReplicaEvent::Bootstrap(vec![local_id.clone()]), 0);
    let before = replica.status();
    let body = MessageBody::Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![],
        commit_index: 1,
        round: 0,
    };
    let log_id = ClusterConfiguration::from_voters([other.clone()]).log_id();
    let mut message = RaftMessage { from: other, to: local_id, log_id, term: 9, body };
    assert!(replica.step(ReplicaEvent::Receive(message.clone()), 0).is_empty());
    assert_eq!(replica.status(), before);
    message.log_id = before.configuration.log_id();
    assert!(
        !replica.step(ReplicaEvent::Receive(message), 0).is_empty(),
        "messages of its own log are accepted"
    );
}

/// Guards against a cluster without progress because the only replica whose log is up to date
/// enough to be elected has an uncommitted entry that removes it.
#[test]
fn a_replica_with_uncommitted_removal_can_still_be_elected() {
    for seed in 1..6 {
        let mut sim = start_cluster(seed, 2, 0, InjectedFaults::default());
        let leader = leader_of(&sim);
        let removed = replica_id(&sim, leader);
        partition(&mut sim, &[&[leader]]);
        sim.change_members(leader, MemberChange::Remove(removed.clone())).unwrap();
        sim.run(5 * ELECTION_MS).unwrap();
        sim.end_faults();
        sim.wait_for_progress(LIMIT_MS).unwrap();
        sim.run(5 * ELECTION_MS).unwrap();
        assert_ne!(leader_of(&sim), leader);
        assert!(!status_of(&sim, leader_of(&sim)).configuration.has_member(&removed));
    }
}
