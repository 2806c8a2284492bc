use std::collections::HashMap;

use tarragon_control::control::ClaimKey;
use tarragon_control::control::ControlCommand;
use tarragon_control::control::ControlQuery;
use tarragon_control::control::ControlResponse;
use tarragon_control::control::ControlState;
use tarragon_model::identity::InstanceId;
use tarragon_model::note::ReleaseNote;
use tarragon_testkit::check_property;

const RETENTION_S: u64 = 10;

fn claim(key: &str, wanted: u64, now_s: u64) -> ControlCommand {
    let key = ClaimKey { service: "scaletally".into(), key: key.into() };
    ControlCommand::Claim { key, wanted: InstanceId(wanted), now_s, retention_s: RETENTION_S }
}

fn owner(state: &mut ControlState, key: &str, wanted: u64, now_s: u64) -> u64 {
    match state.apply(&claim(key, wanted, now_s)) {
        ControlResponse::Owner(owner) => owner.0,
        other => panic!("a claim was answered with {other:?}"),
    }
}

/// Guards against a key that two gates own, which would let it run twice.
#[test]
fn the_first_claim_of_a_key_wins_until_its_retention_has_passed() {
    let mut state = ControlState::default();
    assert_eq!(owner(&mut state, "k", 1, 100), 1);
    assert_eq!(owner(&mut state, "k", 2, 100), 1);
    assert_eq!(owner(&mut state, "k", 2, 109), 1);
    assert_eq!(owner(&mut state, "k", 2, 110), 2);
}

/// Guards against a proposer whose clock is behind, or jumps back, and so ends claims early or
/// changes their owner: over any order of claims a key keeps its owner for the retention time,
/// measured by the latest clock that was seen.
#[test]
fn no_order_of_claims_and_clocks_moves_a_key_early() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut state = ControlState::default();
        let mut latest_s = 0;
        let mut known: HashMap<u8, (u64, u64)> = HashMap::new();
        for (key, wanted, clock_s) in steps {
            let (key, wanted, now_s) = (key % 5, u64::from(wanted), u64::from(clock_s));
            latest_s = latest_s.max(now_s);
            let owner = owner(&mut state, &key.to_string(), wanted, now_s);
            let is_held = known.get(&key).filter(|(_, since_s)| latest_s < since_s + RETENTION_S);
            match is_held {
                Some((first, _)) if *first != owner => return false,
                Some(_) => {}
                None if owner != wanted => return false,
                None => drop(known.insert(key, (owner, latest_s))),
            }
        }
        true
    }
    check_property(31, 500, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against replicas that differ after one of them was restored from a snapshot.
#[test]
fn a_restored_snapshot_answers_as_the_original() {
    let mut original = ControlState::default();
    for at in 0..50 {
        owner(&mut original, &format!("k{}", at % 20), at, at);
    }
    let bytes = postcard::to_stdvec(&original).unwrap();
    let mut restored: ControlState = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(restored, original);
    for at in 50..80 {
        let key = format!("k{}", at % 25);
        assert_eq!(owner(&mut restored, &key, at, at), owner(&mut original, &key, at, at));
    }
}

/// Guards against a list of notes that outgrows a message, and against a note that can no longer
/// be found once it has left the list.
#[test]
fn a_long_history_is_listed_in_part_and_searched_whole() {
    let mut state = ControlState::default();
    for version in 1..=1_200 {
        let (id, nothing) = (format!("note-{version}"), Vec::new);
        let note = ReleaseNote {
            id,
            version,
            add: nothing(),
            change: nothing(),
            withdraw: Vec::new(),
            importance: None,
        };
        state.apply(&ControlCommand::Submit(note));
    }
    let ControlResponse::Notes(list) = state.query(&ControlQuery::Notes) else {
        panic!("the notes were not listed")
    };
    assert_eq!((list.revision, list.notes.len()), (1_200, 1_000));
    assert_eq!(list.notes.last().map(|note| note.version), Some(1_200));
    let find = |id: &str| state.query(&ControlQuery::Note(id.into()));
    assert_eq!(find("note-1"), ControlResponse::NoteRevision(Some(1)));
    assert_eq!(find("note-1201"), ControlResponse::NoteRevision(None));
}
