use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// State of a backend server as its own node sees it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// No backend server is announced.
    Absent,
    /// Announced, still in its cold start.
    Starting,
    /// Takes new work.
    Ready,
    /// Takes no new work; work in progress goes on.
    Draining,
}

impl BackendState {
    /// Whether the backend server takes new work. A server in its cold start does, at a low rate,
    /// because its caches only warm up with work, and a service whose servers all start at once
    /// must not be refused for the length of a cold start.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}
