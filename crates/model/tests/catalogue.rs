//! Tests of the catalogue: conflicting, repeated and invalid release notes, and the copies of
//! nodes.

use tarragon_model::catalogue::Catalogue;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::note::OperationSpec;
use tarragon_model::note::ReleaseNote;
use tarragon_model::note::ServiceSpec;
use tarragon_testkit::check_property;

fn service(name: &str, calls: &[&str]) -> ServiceSpec {
    let operation = OperationSpec {
        name: "view".into(),
        method: "GET".into(),
        path_prefix: "/".into(),
        kind: "dashboard-view".into(),
        idempotent: true,
        expected_ms: 5,
    };
    ServiceSpec {
        name: name.into(),
        calls: calls.iter().map(|c| (*c).to_string()).collect(),
        operations: vec![operation],
        default_deadline_ms: 1000,
    }
}

fn note(id: &str, version: u64, add: Vec<ServiceSpec>) -> ReleaseNote {
    let importance = (version == 1).then(|| vec!["weigh-in".into(), "dashboard-view".into()]);
    ReleaseNote { id: id.into(), version, add, change: vec![], withdraw: vec![], importance }
}

fn format_answer_mistakes(answer: SubmitAnswer) -> String {
    match answer {
        SubmitAnswer::Invalid { mistakes } => {
            mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        }
        other => panic!("the note is not refused as invalid: {other:?}"),
    }
}

#[test]
fn the_second_note_with_a_version_conflicts_and_gets_the_id_of_the_first() {
    let mut catalogue = Catalogue::default();
    let first = note("first", 1, vec![service("counter", &[])]);
    assert_eq!(catalogue.submit(&first), SubmitAnswer::Accepted { revision: 1 });
    let other = note("other", 1, vec![service("planner", &[])]);
    let conflict = SubmitAnswer::Conflict { next_version: 2, winner_id: Some("first".into()) };
    assert_eq!(catalogue.submit(&other), conflict);
}

#[test]
fn a_repeated_note_gets_its_first_answer_and_changes_nothing() {
    let mut catalogue = Catalogue::default();
    let first = note("first", 1, vec![service("counter", &[])]);
    catalogue.submit(&first);
    let mut withdrawal = note("second", 2, vec![]);
    withdrawal.withdraw.push("counter".into());
    catalogue.submit(&withdrawal);
    let before = catalogue.clone();
    assert_eq!(catalogue.submit(&first), SubmitAnswer::Accepted { revision: 1 });
    assert_eq!(catalogue, before);
}

#[test]
fn an_invalid_note_is_refused_with_every_mistake() {
    let mut catalogue = Catalogue::default();
    let mut invalid = note("n", 1, vec![service("a", &["b"]), service("b", &["a", "ghost"])]);
    invalid.add[0].operations[0].kind = "nonsense".into();
    invalid.withdraw.push("absent".into());
    let text = format_answer_mistakes(catalogue.submit(&invalid));
    for mistake in ["cycle in the call graph", "unknown service 'ghost'", "'nonsense'", "'absent'"]
    {
        assert!(text.contains(mistake), "{mistake} is not in: {text}");
    }
    assert_eq!(catalogue, Catalogue::default());
}

#[test]
fn a_chain_of_21_services_is_allowed_and_one_of_22_is_not() {
    let chain = |length: usize| {
        let chain_member = move |index: usize| {
            let next = format!("s{}", index + 1);
            let calls = if index + 1 < length { vec![next.as_str()] } else { vec![] };
            service(&format!("s{index}"), &calls)
        };
        (0..length).map(chain_member)
    };
    let mut catalogue = Catalogue::default();
    let too_long = format_answer_mistakes(catalogue.submit(&note("n", 1, chain(22).collect())));
    assert!(too_long.contains("chain of 22 services"), "{too_long}");
    let accepted = catalogue.submit(&note("n", 1, chain(21).collect()));
    assert_eq!(accepted, SubmitAnswer::Accepted { revision: 1 });
}

#[test]
fn schema_violations_are_reported_with_their_paths() {
    let text = r#"{"id": 3, "version": 1, "add": [{"name": "a", "operations": [], "extra": 1}]}"#;
    let mistakes = ReleaseNote::from_json(text).unwrap_err();
    let text = tarragon_model::check::format_mistakes(&mistakes);
    assert!(text.contains("$.id: "), "{text}");
    assert!(text.contains("$.add[0]: "), "{text}");
    assert!(text.contains("extra"), "{text}");
    assert!(text.contains("default_deadline_ms"), "{text}");
}

/// Guards against a copy that diverges from the original or returns to an older revision when
/// deltas are lost, repeated or reordered. A copy at the revision of the original must be equal to
/// it.
#[test]
fn copies_that_apply_deltas_converge_and_never_regress() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut original = Catalogue::default();
        let mut copy = Catalogue::default();
        let mut sent = Vec::new();
        for (change, selector, is_delivered) in steps {
            let name = format!("s{}", selector % 8);
            let version = original.revision() + 1;
            let mut next = note(&format!("n{version}"), version, vec![]);
            match change % 3 {
                0 => next.add.push(service(&name, &[])),
                1 => next.change.push(service(&name, &[])),
                _ => next.withdraw.push(name),
            }
            original.submit(&next);
            sent.push(original.changes_since(copy.revision()));
            let revision_before = copy.revision();
            let index = if is_delivered { sent.len() - 1 } else { selector as usize % sent.len() };
            copy.apply_changes(&sent[index]);
            let is_equal = copy.services() == original.services()
                && copy.importance() == original.importance();
            let is_current = copy.revision() == original.revision();
            if copy.revision() < revision_before || (is_current && !is_equal) {
                return false;
            }
        }
        true
    }
    check_property(11, 300, property as fn(Vec<(u8, u8, bool)>) -> bool);
}
