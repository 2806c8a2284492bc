use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// State of a backend server as reported by the node on its host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// No backend server is announced.
    Absent,
    /// The backend server is announced and still in its cold start.
    Starting,
    /// The backend server accepts new requests.
    Ready,
    /// The backend server accepts no new requests; requests in progress continue.
    Draining,
}

impl BackendState {
    /// Whether the backend server accepts new requests. During the cold start it does, at a low
    /// rate, because its caches only warm up under load, and because a service whose servers all
    /// start at once must not refuse every request for the duration of a cold start.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}
