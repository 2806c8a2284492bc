//! Timing of elections after a start.

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::EntryPayload;
use tarragon_consensus::protocol::HardState;
use tarragon_consensus::protocol::LogEntry;
use tarragon_consensus::protocol::MessageBody;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::RecoveredState;
use tarragon_consensus::raft::Replica;
use tarragon_consensus::raft::ReplicaEvent;
use tarragon_consensus::raft::ReplicaRole;

/// Time at which a replica that recovered a log with three voters first requests pre-votes, in ms.
/// It receives a heartbeat at the given times.
fn first_pre_vote_ms(seed: u64, leader_contacts_ms: &[u64]) -> u64 {
    let voters = ["a", "b", "c"].map(|name| ReplicaId::new(name, DiskId(1)));
    let members = ClusterConfiguration::from_voters(voters.clone());
    let log_id = members.log_id();
    let entry = LogEntry { term: 1, index: 1, payload: EntryPayload::Members(members) };
    let hard_state = HardState { term: 1, log_id, ..HardState::default() };
    let recovered = RecoveredState { hard_state, snapshot: None, entries: vec![entry] };
    let [local_id, leader, _] = voters;
    let mut replica = Replica::new(local_id.clone(), RaftSettings::default(), recovered, seed, 0);
    for now_ms in 0..10_000 {
        if leader_contacts_ms.contains(&now_ms) {
            let body = MessageBody::Append {
                prev_index: 1,
                prev_term: 1,
                entries: vec![],
                commit_index: 1,
                round: 0,
            };
            let (from, to) = (leader.clone(), local_id.clone());
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
    panic!("the replica requests no pre-votes");
}

/// Guards against a whole second without a leader after a power failure of all hosts, and against
/// the use of the short startup timeout after contact with a leader.
#[test]
fn election_timeout_is_short_after_start_and_long_after_contact_with_a_leader() {
    let settings = RaftSettings::default();
    for seed in 0..20 {
        let at_start_ms = first_pre_vote_ms(seed, &[]);
        assert!(at_start_ms < 2 * settings.start_election_timeout_ms, "after {at_start_ms} ms");
        let after_leader_ms = first_pre_vote_ms(seed, &[50]) - 50;
        assert!(after_leader_ms >= settings.election_timeout_ms, "after {after_leader_ms} ms");
    }
}
