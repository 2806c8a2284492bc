use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Request to drain the backend server of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainRequest {
    /// Drain even if fewer than half of the service's backend servers would stay ready.
    pub force: bool,
}

/// Response to a [`DrainRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAnswer {
    /// The gate now refuses new requests.
    Draining {
        /// Requests that are still running or waiting.
        in_progress: u32,
    },
    /// Too few backend servers of the service would stay ready.
    Refused {
        /// Backend servers that would stay ready.
        ready_left: u32,
        /// Known backend servers of the service.
        known: u32,
    },
}
