//! Compares a replicated catalogue of release notes with a sequential one.

use std::collections::BTreeMap;

use error_stack::Report;
use rand::Rng;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::RestoreError;
use tarragon_consensus::StateMachine;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::note::ReleaseNote;
use tarragon_model::note::ServiceSpec;
use tarragon_testkit::check_property;

use crate::schedule::run_schedule;
use crate::schedule::ScheduleFaults;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

/// State machine with a catalogue; commands and results are JSON.
#[derive(Default)]
struct CatalogueMachine(Catalogue);

impl StateMachine for CatalogueMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let answer = match serde_json::from_slice::<ReleaseNote>(command) {
            Ok(note) => self.0.submit(&note),
            Err(_) => SubmitAnswer::Invalid { mistakes: Vec::new() },
        };
        serde_json::to_vec(&answer).expect("an answer can be encoded")
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&self.0).expect("a catalogue can be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), Report<RestoreError>> {
        self.0 = serde_json::from_slice(snapshot)
            .map_err(|e| Report::new(RestoreError(e.to_string())))?;
        Ok(())
    }
}

fn catalogue_simulation(seed: u64, voters: usize) -> Sim {
    // A catalogue takes several kilobytes. With chunks of 150 bytes, its transfer would take longer
    // than the time limit for agreement of the members.
    let settings = RaftSettings { snapshot_chunk_bytes: 2_000, ..settings() };
    let mut sim = Sim::new(seed, voters, 0, settings, || Box::new(CatalogueMachine::default()));
    sim.is_resend_idempotent = false;
    sim
}

/// A note that adds a service without operations.
fn note(id: &str, version: u64) -> Vec<u8> {
    let service = ServiceSpec {
        name: format!("s-{id}"),
        calls: vec![],
        operations: vec![],
        default_deadline_ms: 1_000,
    };
    let note = ReleaseNote {
        id: id.into(),
        version,
        add: vec![service],
        change: vec![],
        withdraw: vec![],
        importance: None,
    };
    serde_json::to_vec(&note).expect("a note can be encoded")
}

fn answer(bytes: &[u8]) -> SubmitAnswer {
    serde_json::from_slice(bytes).expect("an answer was encoded")
}

/// A note with the next version, or with a version close to it.
fn concurrent_note(sim: &mut Sim) -> Vec<u8> {
    let mut sequential = CatalogueMachine::default();
    for (index, (command, _)) in &sim.checker.applied {
        sequential.apply(*index, command);
    }
    let next = sequential.0.revision() + 1;
    let version = if sim.rng.random_bool(0.8) { next } else { sim.rng.random_range(1..=next + 1) };
    note(&format!("n{}", sim.rng.random::<u32>()), version)
}

/// Guards against answers that differ from those of a sequential catalogue that gets the same notes
/// in commit order, and against a changed answer to an accepted note after a resend, a restart or a
/// compaction.
#[test]
fn answers_match_a_sequential_catalogue() {
    fn property(seed: u64) -> Result<(), String> {
        let mut sim = catalogue_simulation(seed, 3 + 2 * (seed % 2) as usize);
        let faults = ScheduleFaults {
            has_lost_disks: true,
            has_member_changes: false,
            ..ScheduleFaults::NONE
        };
        run_schedule(&mut sim, 80, faults, concurrent_note)?;
        let mut sequential = CatalogueMachine::default();
        for (index, (command, actual)) in &sim.checker.applied {
            if sequential.apply(*index, command) != *actual {
                return Err(format!("the answer at {index} differs from the sequential one"));
            }
        }
        let mut accepted = BTreeMap::new();
        for (command, actual) in &sim.results {
            let actual = answer(actual);
            let first = accepted.get(command);
            if first.is_some_and(|first| *first != actual) {
                return Err("a resent accepted note got another answer".into());
            }
            if matches!(actual, SubmitAnswer::Accepted { .. }) {
                accepted.insert(command.clone(), actual);
            }
        }
        Ok(())
    }
    check_property(104, 60, property as fn(u64) -> Result<(), String>);
}

/// Submits a note until it is answered.
fn submit(sim: &mut Sim, command: &[u8]) -> SubmitAnswer {
    for _ in 0..PROGRESS_TIMEOUTS {
        let previous_count = sim.results.len();
        if let Some(leader) = sim.leader() {
            sim.propose(leader, command).expect("the invariants hold");
        }
        sim.run(ELECTION_MS).expect("the invariants hold");
        let found = sim.results[previous_count..].iter().find(|(c, _)| c == command);
        if let Some((_, bytes)) = found {
            return answer(bytes);
        }
    }
    panic!("the note was not answered");
}

/// Guards against two accepted notes of the same version from concurrent operators, and against a
/// wrong answer to a note that is resent after its log entry was compacted and every replica was
/// restarted.
#[test]
fn one_of_two_concurrent_notes_is_accepted_and_a_resend_gets_its_first_answer() {
    let mut sim = catalogue_simulation(5, 3);
    sim.wait_for_progress(LIMIT_MS).unwrap();
    let leader = sim.leader().unwrap();
    let (first, other) = (note("first", 1), note("other", 1));
    let previous_count = sim.results.len();
    sim.propose(leader, &first).unwrap();
    sim.propose(leader, &other).unwrap();
    sim.run(5 * ELECTION_MS).unwrap();
    let answers: Vec<_> =
        sim.results[previous_count..].iter().map(|(_, bytes)| answer(bytes)).collect();
    let conflict = SubmitAnswer::Conflict { next_version: 2, winner_id: Some("first".into()) };
    assert_eq!(answers, [SubmitAnswer::Accepted { revision: 1 }, conflict]);
    for version in 2..60 {
        let next = note(&format!("n{version}"), version);
        assert_eq!(submit(&mut sim, &next), SubmitAnswer::Accepted { revision: version });
    }
    for host in 0..3 {
        assert!(sim.status(host).unwrap().snapshot_index > 20, "the log is compacted");
        sim.crash(host);
    }
    sim.end_faults();
    assert_eq!(submit(&mut sim, &first), SubmitAnswer::Accepted { revision: 1 });
}
