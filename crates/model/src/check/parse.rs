use schemars::schema_for;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::Mistake;

/// Parses a JSON document and validates it against the schema of `T`.
///
/// # Errors
/// Returns every violation of the schema: wrong types, missing fields and, for types that deny
/// them, unknown keys. A syntax error is a single mistake with its line and column.
pub fn parse_checked<T: JsonSchema + DeserializeOwned>(text: &str) -> Result<T, Vec<Mistake>> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| vec![Mistake::new("$", e.to_string())])?;
    let schema = serde_json::to_value(schema_for!(T)).expect("a derived schema is valid JSON");
    let validator = jsonschema::validator_for(&schema).expect("a derived schema is valid");
    let mistakes: Vec<Mistake> = validator
        .iter_errors(&value)
        .map(|e| Mistake::new(json_path(e.instance_path.as_str()), e.to_string()))
        .collect();
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    // The schema does not describe the format of addresses, so malformed ones are found only here.
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = format!("$.{}", e.path());
        vec![Mistake::new(path, e.into_inner().to_string())]
    })
}

/// Converts a JSON pointer to the path notation used in messages.
fn json_path(pointer: &str) -> String {
    let mut path = String::from("$");
    for segment in pointer.split('/').skip(1) {
        let segment = segment.replace("~1", "/").replace("~0", "~");
        if segment.chars().all(|c| c.is_ascii_digit()) {
            path.push_str(&format!("[{segment}]"));
        } else {
            path.push_str(&format!(".{segment}"));
        }
    }
    path
}
