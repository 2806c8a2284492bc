use serde_json::json;
use serde_json::Value;

fn counter_service(default_deadline_ms: u64) -> Value {
    let operation = |name: &str, method: &str, path: &str, is_idempotent: bool| {
        json!({"name": name, "method": method, "path_prefix": path, "kind": name,
               "idempotent": is_idempotent, "expected_ms": 5})
    };
    json!({
        "name": "counter", "default_deadline_ms": default_deadline_ms,
        "operations": [operation("view", "GET", "/", true),
                       operation("weigh-in", "POST", "/weigh", false)],
    })
}

/// The first note, which adds the service of the fake backend servers.
pub fn first_note() -> Value {
    json!({"id": "first", "version": 1, "importance": ["weigh-in", "view"],
           "add": [counter_service(60_000)]})
}

/// A later note, which changes the default deadline of the service.
pub fn next_note(id: &str, version: u64) -> Value {
    json!({"id": id, "version": version, "change": [counter_service(60_000 + version)]})
}
