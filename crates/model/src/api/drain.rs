use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Asks a node to drain its backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainRequest {
    /// Drain even if fewer than half of the service's servers would stay ready.
    pub force: bool,
}

/// Answer to a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAnswer {
    /// The gate refuses new work from now on.
    Draining {
        /// Requests that still run or wait.
        in_progress: u32,
    },
    /// Too few servers of the service would stay ready.
    Refused {
        /// Servers that would stay ready.
        ready_left: u32,
        /// Known servers of the service.
        known: u32,
    },
}
