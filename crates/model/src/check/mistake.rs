use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// One mistake in a JSON document, with its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Mistake {
    /// JSON path of the offending value, for example `$.add[0].name`.
    pub path: String,
    /// Description of the mistake, without a full stop.
    pub message: String,
}

impl Mistake {
    /// Creates a mistake at a JSON path.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Formats mistakes, one per line.
pub fn format_mistakes(mistakes: &[Mistake]) -> String {
    mistakes.iter().map(Mistake::to_string).collect::<Vec<_>>().join("\n")
}
