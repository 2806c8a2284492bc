//! Tests of loading and checking settings files.

use std::path::Path;

use serde_json::json;
use serde_json::Value;
use tarragon_model::check::format_mistakes;
use tarragon_node::conf::load_settings;
use tarragon_node::conf::SettingsError;

fn valid_settings() -> Value {
    json!({
        "node_name": "north-1", "data_centre": "north", "region": "delta-south",
        "listen": {
            "caller_address": "127.0.0.1:7100", "exit_address": "127.0.0.1:7101",
            "peer_address": "127.0.0.1:7102", "gossip_address": "127.0.0.1:7103",
            "control_address": "127.0.0.1:7104"
        },
        "control_replicas": [{
            "node_name": "north-1", "control_address": "127.0.0.1:7104",
            "replica_address": "127.0.0.1:7105"
        }],
        "deployment_key_file": "deployment.key", "operator_key_file": "operator.key"
    })
}

fn format_load_mistakes(settings: &Value) -> String {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("the file can be written");
    match load_settings(&path) {
        Ok(_) => String::new(),
        Err(report) => match report.current_context() {
            SettingsError::Invalid(mistakes) => format_mistakes(mistakes),
            other => panic!("unexpected error: {other}"),
        },
    }
}

#[test]
fn valid_settings_have_no_mistakes() {
    assert_eq!(format_load_mistakes(&valid_settings()), "");
}

/// Guards against a check that stops at the first mistake, so that operators find the others only
/// one by one.
#[test]
fn every_mistake_is_reported_with_its_path() {
    let mut settings = valid_settings();
    settings["node_name"] = json!("a name with spaces");
    settings["listen"]["exit_address"] = json!("127.0.0.1:7100");
    settings["listen"]["gossip_address"] = json!("0.0.0.0:7103");
    settings["data_dir"] = json!("data");
    settings["limits"] = json!({ "key_retention_s": 0, "max_head_bytes": 10 });
    let text = format_load_mistakes(&settings);
    let paths = [
        "$.node_name:",
        "$.listen.exit_address:",
        "$.listen.gossip_address:",
        "$.listen.replica_address:",
        "$.limits.key_retention_s:",
        "$.limits.max_head_bytes:",
    ];
    for path in paths {
        assert!(text.contains(path), "{path} is missing in:\n{text}");
    }
}

/// Guards against a misspelt key that is ignored, so that the default silently applies.
#[test]
fn unknown_keys_and_wrong_types_are_mistakes() {
    let mut settings = valid_settings();
    settings["listen"]["peer_adress"] = json!("127.0.0.1:7102");
    settings["limits"] = json!({ "retry_tokens": "three" });
    let text = format_load_mistakes(&settings);
    assert!(text.contains("peer_adress"), "{text}");
    assert!(text.contains("$.limits.retry_tokens:"), "{text}");
}

/// Guards against an error for a malformed address that lacks the JSON path.
#[test]
fn a_malformed_address_is_reported_with_its_path() {
    let mut settings = valid_settings();
    settings["control_replicas"][0]["control_address"] = json!("north-1:7104");
    let text = format_load_mistakes(&settings);
    assert!(text.contains("$.control_replicas[0].control_address:"), "{text}");
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let report = load_settings(Path::new("no-such-settings.json")).unwrap_err();
    assert!(report.current_context().to_string().contains("no-such-settings.json"));
}
