//! Scenarios that random schedules reach too rarely, each with the mechanism on and off.

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::EntryPayload;
use tarragon_consensus::protocol::HardState;
use tarragon_consensus::protocol::LogEntry;
use tarragon_consensus::protocol::MessageBody;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::InjectedFaults;
use tarragon_consensus::raft::MemberChange;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::RecoveredState;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::raft::ReplicaEvent;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_consensus::raft::RequestOutcome;
use tarragon_consensus::raft::RequestRefusal;

use crate::schedule::ledger;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

fn cluster(seed: u64, voters: usize, spares: usize, injected_faults: InjectedFaults) -> Sim {
    let settings = RaftSettings { injected_faults, ..settings() };
    let mut sim = Sim::new(seed, voters, spares, settings, ledger());
    sim.await_progress(LIMIT_MS).expect("the cluster starts");
    sim.await_agreement(LIMIT_MS).expect("the cluster starts");
    sim
}

fn id(sim: &Sim, at: usize) -> ReplicaId {
    sim.nodes[at].id.clone()
}

fn leader_of(sim: &Sim) -> usize {
    sim.leader().expect("there is a leader")
}

fn status_of(sim: &Sim, at: usize) -> ReplicaStatus {
    sim.status(at).expect("the host is up")
}

fn block(sim: &mut Sim, groups: &[&[usize]]) {
    sim.blocked.clear();
    let group_of = |at: usize| groups.iter().position(|group| group.contains(&at));
    for from in 0..sim.nodes.len() {
        for to in 0..sim.nodes.len() {
            if group_of(from) != group_of(to) {
                sim.blocked.insert((from, to));
            }
        }
    }
}

fn last_change(sim: &mut Sim, change: MemberChange) -> RequestOutcome {
    let leader = leader_of(sim);
    let known = sim.change_outcomes.len();
    sim.change(leader, change).expect("the invariants hold");
    for _ in 0..PROGRESS_TIMEOUTS {
        if sim.change_outcomes.len() > known {
            return sim.change_outcomes[known].clone();
        }
        sim.run(ELECTION_MS).expect("the invariants hold");
    }
    panic!("the change was not answered");
}

/// How much the term of the others rises after a follower was cut off for long and came back.
fn term_rise(seed: u64, is_deaf: bool, is_mute: bool, injected_faults: InjectedFaults) -> u64 {
    let mut sim = cluster(seed, 3, 0, injected_faults);
    let leader = leader_of(&sim);
    let (cut, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let term = status_of(&sim, leader).term;
    for at in [leader, other] {
        if is_mute {
            sim.blocked.insert((cut, at));
        }
        if is_deaf {
            sim.blocked.insert((at, cut));
        }
    }
    sim.run(100 * ELECTION_MS).expect("the invariants hold");
    sim.blocked.clear();
    sim.run(20 * ELECTION_MS).expect("the invariants hold");
    sim.await_progress(LIMIT_MS).expect("the invariants hold");
    status_of(&sim, other).term - term
}

/// Guards against a replica that was cut off raising the others' term and deposing the leader.
#[test]
fn a_replica_that_was_cut_off_for_long_does_not_disturb_the_others() {
    let off = InjectedFaults { skip_pre_vote: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        for (is_deaf, is_mute) in [(true, true), (true, false), (false, true)] {
            assert_eq!(term_rise(seed, is_deaf, is_mute, InjectedFaults::default()), 0);
        }
        assert!(term_rise(seed, true, true, off) > 0, "pre-vote makes no difference");
    }
}

/// Whether a leader that is cut off answers what it was asked within two election timeouts.
fn is_answered_when_cut_off(seed: u64, injected_faults: InjectedFaults) -> bool {
    let mut sim = cluster(seed, 3, 0, injected_faults);
    let leader = leader_of(&sim);
    block(&mut sim, &[&[leader]]);
    let outside = ReplicaId::new("z", id(&sim, leader).disk);
    sim.change(leader, MemberChange::AddLearner(outside)).expect("the invariants hold");
    sim.run(3 * ELECTION_MS).expect("the invariants hold");
    sim.change_outcomes == [RequestOutcome::Unknown]
}

/// Guards against callers that wait for ever on a leader that has lost its majority.
#[test]
fn a_leader_without_a_majority_says_so() {
    let off = InjectedFaults { skip_check_quorum: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        assert!(is_answered_when_cut_off(seed, InjectedFaults::default()));
        assert!(!is_answered_when_cut_off(seed, off), "check-quorum makes no difference");
    }
}

/// A leader with a slow clock is cut off and asked for a read after its successor has answered.
fn read_at_old_leader(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let mut sim = cluster(seed, 3, 0, injected_faults);
    let old = leader_of(&sim);
    sim.nodes[old].clock_percent = 5;
    block(&mut sim, &[&[old]]);
    sim.run(4 * ELECTION_MS)?;
    sim.await_progress(LIMIT_MS)?;
    assert_ne!(sim.leader(), Some(old));
    sim.read(old)?;
    sim.run(ELECTION_MS)
}

/// Guards against stale reads at a leader that does not know of its successor.
#[test]
fn an_old_leader_does_not_answer_reads() {
    let off = InjectedFaults { skip_read_confirmation: true, ..InjectedFaults::default() };
    for seed in 1..4 {
        assert_eq!(read_at_old_leader(seed, InjectedFaults::default()), Ok(()));
        let error = read_at_old_leader(seed, off).expect_err("the round makes no difference");
        assert!(error.contains("was answered"), "{error}");
    }
}

/// The schedule of figure 3.7 of the dissertation, on three replicas: a leader replicates an entry
/// of its earlier term, is cut off, and a replica with a newer entry at that place is elected.
fn old_entry_on_a_majority(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let mut sim = cluster(seed, 3, 0, injected_faults);
    let first = leader_of(&sim);
    let term = status_of(&sim, first).term;
    let others: Vec<usize> = (0..3).filter(|at| *at != first).collect();
    block(&mut sim, &[&[first], &others]);
    // The command fills a message, so that the leader's later entries go in another one.
    sim.propose(first, &[1; 100])?;
    let index = status_of(&sim, first).last_index;
    for _ in 0..2_000 {
        sim.run(1)?;
        if sim.leader().is_some_and(|at| status_of(&sim, at).term > term) {
            break;
        }
    }
    let second = leader_of(&sim);
    assert_ne!(second, first);
    let third = 3 - first - second;
    sim.drop_messages_to(third);
    block(&mut sim, &[&[first, third], &[second]]);
    for _ in 0..2_000 {
        sim.run(1)?;
        if status_of(&sim, first).commit_index >= index {
            break;
        }
    }
    sim.drop_messages_to(third);
    block(&mut sim, &[&[first], &[second, third]]);
    sim.run(10 * ELECTION_MS)?;
    sim.calm();
    sim.await_progress(LIMIT_MS)?;
    sim.await_agreement(LIMIT_MS)
}

/// Guards against entries of earlier terms that are taken for committed because a majority has
/// them, and are then replaced.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_own_term() {
    let off = InjectedFaults { commit_entries_of_earlier_terms: true, ..InjectedFaults::default() };
    for seed in 1..10 {
        assert_eq!(old_entry_on_a_majority(seed, InjectedFaults::default()), Ok(()), "seed {seed}");
        let error = old_entry_on_a_majority(seed, off).expect_err("the rule makes no difference");
        assert!(error.contains("entr"), "{error}");
    }
}

/// Two leaders change the members a step away from the same configuration.
fn race_of_changes(seed: u64, injected_faults: InjectedFaults) -> Result<(), String> {
    let mut sim = cluster(seed, 4, 1, injected_faults);
    let learner = id(&sim, 4);
    let added = last_change(&mut sim, MemberChange::AddLearner(learner));
    assert_eq!(added, RequestOutcome::MembersChanged);
    sim.await_agreement(LIMIT_MS)?;
    let old = leader_of(&sim);
    let others: Vec<usize> = (0..4).filter(|at| *at != old).collect();
    // The old leader promotes the learner, but only the learner hears of it.
    block(&mut sim, &[&[old, 4], &others]);
    sim.change(old, MemberChange::Promote(id(&sim, 4)))?;
    let term = status_of(&sim, old).term;
    let mut new = None;
    for _ in 0..2_000 {
        sim.run(1)?;
        new = sim.leader().filter(|at| status_of(&sim, *at).term > term);
        if new.is_some() {
            break;
        }
    }
    // The new leader removes the old one, and one of its followers does not hear of it.
    let new = new.expect("the others elect a leader");
    let rest: Vec<usize> = others.iter().copied().filter(|at| *at != new).collect();
    block(&mut sim, &[&[new, rest[0]], &[old, 4], &[rest[1]]]);
    sim.drop_messages_to(rest[1]);
    sim.change(new, MemberChange::Remove(id(&sim, old)))?;
    sim.run(2 * ELECTION_MS)?;
    // With that follower, the old leader has a majority of the members that it knows.
    block(&mut sim, &[&[new], &[rest[0]], &[old, 4, rest[1]]]);
    sim.run(10 * ELECTION_MS)?;
    sim.calm();
    sim.await_progress(LIMIT_MS)?;
    sim.await_agreement(LIMIT_MS)
}

/// Guards against two leaders whose majorities do not meet because each changed the members.
#[test]
fn a_new_leader_changes_no_members_before_it_has_committed() {
    let off = InjectedFaults { early_membership_change: true, ..InjectedFaults::default() };
    let mut failures = 0;
    for seed in 1..40 {
        assert_eq!(race_of_changes(seed, InjectedFaults::default()), Ok(()), "seed {seed}");
        failures += u32::from(race_of_changes(seed, off).is_err());
    }
    assert!(failures > 0, "the rule makes no difference");
}

/// Guards against learners that vote before they hold what is committed, and against a replica on
/// a new disk that takes the place of its former self without a logged change or stands for
/// election.
#[test]
fn a_lost_voter_is_replaced_step_by_step_and_steps_can_be_repeated() {
    let mut sim = cluster(7, 3, 0, InjectedFaults::default());
    let leader = leader_of(&sim);
    let lost = (leader + 1) % 3;
    let former = id(&sim, lost);
    sim.lose_disk(lost);
    sim.start(lost);
    let fresh = id(&sim, lost);
    for number in 0..40_u32 {
        sim.propose(leader, &number.to_le_bytes()).unwrap();
        sim.run(10).unwrap();
    }
    sim.run(20 * ELECTION_MS).unwrap();
    let ReplicaStatus { term, last_index, .. } = status_of(&sim, lost);
    assert_eq!((term, last_index), (0, 0), "nobody takes it for its former self");
    let refused = |refusal| RequestOutcome::Refused(refusal);
    let promote = MemberChange::Promote(fresh.clone());
    assert_eq!(last_change(&mut sim, promote.clone()), refused(RequestRefusal::NotLearner));
    let add = MemberChange::AddLearner(fresh.clone());
    for _ in 0..2 {
        assert_eq!(last_change(&mut sim, add.clone()), RequestOutcome::MembersChanged);
    }
    sim.await_agreement(LIMIT_MS).unwrap();
    assert!(sim.checker.chunks > 1, "the learner gets a snapshot in several parts");
    assert!(sim.checker.max_chunk_bytes <= settings().snapshot_chunk_bytes);
    assert_eq!(last_change(&mut sim, promote.clone()), refused(RequestRefusal::NameInUse));
    for _ in 0..2 {
        let remove = MemberChange::Remove(former.clone());
        assert_eq!(last_change(&mut sim, remove), RequestOutcome::MembersChanged);
    }
    block(&mut sim, &[&[lost]]);
    sim.run(2 * ELECTION_MS).unwrap();
    assert_eq!(last_change(&mut sim, promote.clone()), refused(RequestRefusal::NotCaughtUp));
    sim.blocked.clear();
    sim.await_agreement(LIMIT_MS).unwrap();
    for _ in 0..2 {
        assert_eq!(last_change(&mut sim, promote.clone()), RequestOutcome::MembersChanged);
    }
    let members = status_of(&sim, leader).configuration;
    assert_eq!((members.voters.len(), members.learners.len()), (3, 0));
    sim.crash((leader + 2) % 3);
    sim.await_progress(LIMIT_MS).expect("the new voter counts");
}

/// Guards against a removal that leaves no majority, and against a removed leader that goes on.
#[test]
fn removals_keep_a_majority_and_a_removed_leader_steps_down() {
    let mut sim = cluster(8, 3, 0, InjectedFaults::default());
    let leader = leader_of(&sim);
    let (down, up) = ((leader + 1) % 3, (leader + 2) % 3);
    sim.crash(down);
    sim.run(2 * ELECTION_MS).unwrap();
    let remove_up = MemberChange::Remove(id(&sim, up));
    let refused = RequestOutcome::Refused(RequestRefusal::WouldLoseMajority);
    assert_eq!(last_change(&mut sim, remove_up), refused);
    sim.start(down);
    sim.await_agreement(LIMIT_MS).unwrap();
    let removed = id(&sim, leader);
    assert_eq!(
        last_change(&mut sim, MemberChange::Remove(removed.clone())),
        RequestOutcome::MembersChanged
    );
    sim.run(5 * ELECTION_MS).unwrap();
    sim.await_progress(LIMIT_MS).unwrap();
    assert_ne!(sim.leader(), Some(leader));
    let successor = leader_of(&sim);
    assert!(!status_of(&sim, successor).configuration.has_member(&removed));
}

/// Guards against two logs that mix, after a host was bootstrapped by mistake.
#[test]
fn a_replica_drops_messages_of_another_log() {
    let (own, other) = (ReplicaId::new("a", DiskId(1)), ReplicaId::new("b", DiskId(2)));
    let mut replica = Replica::new(own.clone(), settings(), RecoveredState::default(), 1, 0);
    replica.step(ReplicaEvent::Bootstrap(vec![own.clone()]), 0);
    let before = replica.status();
    let body = MessageBody::Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![],
        commit_index: 1,
        round: 0,
    };
    let log_id = ClusterConfiguration::from_voters([other.clone()]).log_id();
    let mut message = RaftMessage { from: other, to: own, log_id, term: 9, body };
    assert!(replica.step(ReplicaEvent::Receive(message.clone()), 0).is_empty());
    assert_eq!(replica.status(), before);
    message.log_id = before.configuration.log_id();
    assert!(!replica.step(ReplicaEvent::Receive(message), 0).is_empty(), "its own log is followed");
}

/// Time at which a replica that recovered a log of three voters first asks for pre-votes, in ms. It
/// hears a leader at the given times.
fn first_campaign_ms(seed: u64, heard_ms: &[u64]) -> u64 {
    let voters = ["a", "b", "c"].map(|name| ReplicaId::new(name, DiskId(1)));
    let members = ClusterConfiguration::from_voters(voters.clone());
    let log_id = members.log_id();
    let entry = LogEntry { term: 1, index: 1, payload: EntryPayload::Members(members) };
    let hard_state = HardState { term: 1, voted_for: None, log_id };
    let recovered = RecoveredState { hard_state, snapshot: None, entries: vec![entry] };
    let [own, leader, _] = voters;
    let mut replica = Replica::new(own.clone(), RaftSettings::default(), recovered, seed, 0);
    for now_ms in 0..10_000 {
        if heard_ms.contains(&now_ms) {
            let body = MessageBody::Append {
                prev_index: 1,
                prev_term: 1,
                entries: vec![],
                commit_index: 1,
                round: 0,
            };
            let (from, to) = (leader.clone(), own.clone());
            replica.step(
                ReplicaEvent::Receive(RaftMessage { from, to, log_id, term: 2, body }),
                now_ms,
            );
        }
        replica.step(ReplicaEvent::Tick, now_ms);
        if replica.status().role == ReplicaRole::PreCandidate {
            return now_ms;
        }
    }
    panic!("the replica never stands for election");
}

/// Guards against a second without a leader after a loss of power of all hosts, and against a
/// replica that loses patience with a leader that it has heard.
#[test]
fn a_replica_without_a_leader_stands_soon_after_its_start_and_late_after_it_heard_one() {
    let settings = RaftSettings::default();
    for seed in 0..20 {
        let at_start_ms = first_campaign_ms(seed, &[]);
        assert!(at_start_ms < 2 * settings.start_election_timeout_ms, "after {at_start_ms} ms");
        let after_leader_ms = first_campaign_ms(seed, &[50]) - 50;
        assert!(after_leader_ms >= settings.election_timeout_ms, "after {after_leader_ms} ms");
    }
}

/// Guards against a cluster that stands still because the only replica whose log is complete
/// enough to be elected holds an uncommitted entry that removes it.
#[test]
fn a_replica_that_is_being_removed_still_stands_for_election() {
    for seed in 1..6 {
        let mut sim = cluster(seed, 2, 0, InjectedFaults::default());
        let leader = leader_of(&sim);
        let removed = id(&sim, leader);
        block(&mut sim, &[&[leader]]);
        sim.change(leader, MemberChange::Remove(removed.clone())).unwrap();
        sim.run(5 * ELECTION_MS).unwrap();
        sim.calm();
        sim.await_progress(LIMIT_MS).unwrap();
        sim.run(5 * ELECTION_MS).unwrap();
        assert_ne!(leader_of(&sim), leader);
        assert!(!status_of(&sim, leader_of(&sim)).configuration.has_member(&removed));
    }
}
