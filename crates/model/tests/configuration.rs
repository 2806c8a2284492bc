//! Tests of whole configurations: lookup of routes, validation, and compare-and-set by version.

use tarragon_model::catalogue::Catalogue;
use tarragon_model::configuration::CallerLimits;
use tarragon_model::configuration::Configuration;
use tarragon_model::configuration::ConfigureAnswer;
use tarragon_model::configuration::RepeatRule;
use tarragon_model::configuration::Route;
use tarragon_model::configuration::RouteTarget;
use tarragon_model::configuration::ServiceLimits;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "orchard.example".into(),
        path_prefix: path_prefix.into(),
        repeat: RepeatRule::Idempotent,
        time_limit_ms: 1_000,
        objective_ms: 500,
        rank: 1,
        max_attempts: 2,
        targets: vec![RouteTarget { service: "rows".into(), weight: 1 }],
    }
}

fn configuration(version: u64, base_version: u64, routes: Vec<Route>) -> Configuration {
    let services = vec![ServiceLimits { name: "rows".into(), max_connections: 10 }];
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Configuration::new((version, base_version), routes, services, limits, format!("v{version}"))
}

fn is_invalid(answer: &ConfigureAnswer) -> bool {
    matches!(answer, ConfigureAnswer::Invalid { .. })
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_selected() {
    let routes = vec![route("all", "/"), route("rows", "/rows/"), route("ripe", "/rows/ripe/")];
    let configuration = configuration(1, 0, routes);
    let find = |host, path| configuration.find_route(host, path).map(|r| r.name.as_str());
    assert_eq!(find("orchard.example", "/rows/ripe/7"), Some("ripe"));
    assert_eq!(find("orchard.example", "/rows/ripe"), Some("rows"));
    assert_eq!(find("orchard.example", "/rows/ripened/7"), Some("rows"));
    assert_eq!(find("orchard.example", "/other"), Some("all"));
    assert_eq!(find("other.example", "/rows/ripe/7"), None);
}

#[test]
fn a_configuration_needs_the_current_version_as_its_base() {
    let mut catalogue = Catalogue::default();
    let first = configuration(3, 0, vec![route("a", "/a/")]);
    let second = configuration(9, 3, vec![route("b", "/b/")]);
    assert_eq!(catalogue.configure(&first), ConfigureAnswer::Accepted);
    let conflicting = configuration(9, 0, vec![route("c", "/c/")]);
    let conflict = ConfigureAnswer::Conflict { current_version: 3 };
    assert_eq!(catalogue.configure(&conflicting), conflict);
    assert_eq!(catalogue.configure(&second), ConfigureAnswer::Accepted);
    assert!(is_invalid(&catalogue.configure(&configuration(9, 9, vec![]))));
    assert_eq!(catalogue.revision(), 2);
    assert_eq!(catalogue.configuration(), Some(&second));
}

#[test]
fn an_accepted_configuration_is_acknowledged_again_after_later_ones() {
    let mut catalogue = Catalogue::default();
    let first = configuration(3, 0, vec![route("a", "/a/")]);
    let second = configuration(9, 3, vec![route("b", "/b/")]);
    catalogue.configure(&first);
    catalogue.configure(&second);
    assert_eq!(catalogue.configure(&first), ConfigureAnswer::Accepted);
    assert_eq!(catalogue.configuration(), Some(&second));
}

/// Guards against a change that is acknowledged and lost, because it differs from the one of another
/// operator only in fields that no node uses.
#[test]
fn a_document_that_differs_in_unused_fields_is_another_submission() {
    let mut catalogue = Catalogue::default();
    let submission = |document: &str| {
        let mut submission = configuration(3, 0, vec![route("a", "/a/")]);
        submission.document = document.into();
        submission
    };
    let first = submission(r#"{"health": "/live", "version": 3}"#);
    assert_eq!(catalogue.configure(&first), ConfigureAnswer::Accepted);
    let other = submission(r#"{"health": "/ready", "version": 3}"#);
    let conflict = ConfigureAnswer::Conflict { current_version: 3 };
    assert_eq!(catalogue.configure(&other), conflict);
    let reordered = submission(r#"{"version":3,"health":"/live"}"#);
    assert_eq!(catalogue.configure(&reordered), ConfigureAnswer::Accepted);
    assert_eq!(catalogue.configuration(), Some(&first));
}

#[test]
fn an_invalid_configuration_is_refused_and_changes_nothing() {
    type Change = fn(&mut Route);
    let invalid_changes: [(&str, Change); 6] = [
        ("service", |r| r.targets[0].service = "unknown".into()),
        ("weight", |r| r.targets[0].weight = 0),
        ("no time", |r| r.time_limit_ms = 0),
        ("long time", |r| r.time_limit_ms = 600_001),
        ("objective", |r| r.objective_ms = 61_000),
        ("attempts", |r| r.max_attempts = 0),
    ];
    let mut catalogue = Catalogue::default();
    for (name, make_invalid) in invalid_changes {
        let mut invalid = route("a", "/a/");
        make_invalid(&mut invalid);
        let answer = catalogue.configure(&configuration(1, 0, vec![invalid]));
        assert!(is_invalid(&answer), "{name}: {answer:?}");
    }
    let duplicates = vec![route("a", "/a/"), route("b", "/a/")];
    assert!(is_invalid(&catalogue.configure(&configuration(1, 0, duplicates))));
    assert_eq!(catalogue.revision(), 0);
}

#[test]
fn a_node_copies_the_configuration_without_its_document() {
    let mut catalogue = Catalogue::default();
    catalogue.configure(&configuration(3, 0, vec![route("a", "/a/")]));
    let mut copy = Catalogue::default();
    assert!(copy.apply_changes(&catalogue.changes_since(0)));
    let copied = copy.configuration().expect("the configuration was copied");
    assert_eq!(copied.version, 3);
    assert!(copied.document.is_empty());
    assert_eq!(copy, catalogue.without_history());
}
