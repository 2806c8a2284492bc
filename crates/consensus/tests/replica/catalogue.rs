//! The catalogue of release notes behind the log, against a sequential one.

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
use crate::schedule::Faults;
use crate::schedule::PROGRESS_TIMEOUTS;
use crate::sim::settings;
use crate::sim::Sim;
use crate::sim::ELECTION_MS;

const LIMIT_MS: u64 = PROGRESS_TIMEOUTS * ELECTION_MS;

/// A catalogue whose commands and answers are JSON.
#[derive(Default)]
struct Notes(Catalogue);

impl StateMachine for Notes {
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

fn notes(seed: u64, voters: usize) -> Sim {
    // A catalogue takes several kilobytes; with parts of 150 bytes, its transfer would take longer
    // than the time within which members have to agree.
    let settings = RaftSettings { snapshot_chunk_bytes: 2_000, ..settings() };
    let mut sim = Sim::new(seed, voters, 0, settings, || Box::new(Notes::default()));
    sim.is_repeatable = false;
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

/// A note of the next version, or of one near it.
fn racing_note(sim: &mut Sim) -> Vec<u8> {
    let mut sequential = Notes::default();
    for (index, (command, _)) in &sim.checker.applied {
        sequential.apply(*index, command);
    }
    let next = sequential.0.revision() + 1;
    let version = if sim.rng.random_bool(0.8) { next } else { sim.rng.random_range(1..=next + 1) };
    note(&format!("n{}", sim.rng.random::<u32>()), version)
}

/// Guards against answers that differ from a sequential catalogue's in the accepted order, and
/// against accepted notes that a resend, a restart or a compaction turns into something else.
#[test]
fn answers_are_those_of_a_sequential_catalogue() {
    fn property(seed: u64) -> Result<(), String> {
        let mut sim = notes(seed, 3 + 2 * (seed % 2) as usize);
        let faults = Faults { has_lost_disks: true, has_member_changes: false };
        run_schedule(&mut sim, 80, faults, racing_note)?;
        let mut sequential = Notes::default();
        for (index, (command, given)) in &sim.checker.applied {
            if sequential.apply(*index, command) != *given {
                return Err(format!("the answer at {index} is not the sequential one"));
            }
        }
        let mut accepted = BTreeMap::new();
        for (command, given) in &sim.results {
            let given = answer(given);
            let first = accepted.get(command);
            if first.is_some_and(|first| *first != given) {
                return Err("an accepted note got another answer later".into());
            }
            if matches!(given, SubmitAnswer::Accepted { .. }) {
                accepted.insert(command.clone(), given);
            }
        }
        Ok(())
    }
    check_property(104, 60, property as fn(u64) -> Result<(), String>);
}

/// Submits until the log has an answer.
fn submit(sim: &mut Sim, command: &[u8]) -> SubmitAnswer {
    for _ in 0..PROGRESS_TIMEOUTS {
        let known = sim.results.len();
        if let Some(leader) = sim.leader() {
            sim.propose(leader, command).expect("the invariants hold");
        }
        sim.run(ELECTION_MS).expect("the invariants hold");
        let found = sim.results[known..].iter().find(|(c, _)| c == command);
        if let Some((_, bytes)) = found {
            return answer(bytes);
        }
    }
    panic!("the note was not answered");
}

/// Guards the race of two operators, and the answer to a note that is resent after the log that
/// held it was compacted and every replica was restarted.
#[test]
fn one_of_two_racing_notes_wins_and_a_resend_gets_its_first_answer() {
    let mut sim = notes(5, 3);
    sim.await_progress(LIMIT_MS).unwrap();
    let leader = sim.leader().unwrap();
    let (first, other) = (note("first", 1), note("other", 1));
    let known = sim.results.len();
    sim.propose(leader, &first).unwrap();
    sim.propose(leader, &other).unwrap();
    sim.run(5 * ELECTION_MS).unwrap();
    let answers: Vec<_> = sim.results[known..].iter().map(|(_, bytes)| answer(bytes)).collect();
    let conflict = SubmitAnswer::Conflict { next_version: 2, winner_id: Some("first".into()) };
    assert_eq!(answers, [SubmitAnswer::Accepted { revision: 1 }, conflict]);
    for version in 2..60 {
        let next = note(&format!("n{version}"), version);
        assert_eq!(submit(&mut sim, &next), SubmitAnswer::Accepted { revision: version });
    }
    for at in 0..3 {
        assert!(sim.status(at).unwrap().snapshot_index > 20, "the log is compacted");
        sim.crash(at);
    }
    sim.calm();
    assert_eq!(submit(&mut sim, &first), SubmitAnswer::Accepted { revision: 1 });
}
