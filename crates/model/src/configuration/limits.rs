use serde::Deserialize;
use serde::Serialize;

/// Limits on the size and duration of the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the headers of a request, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time between the first and the last byte of the headers of a request, in ms.
    pub header_timeout_ms: u64,
    /// Time after which a connection without a request is closed, in ms.
    pub idle_timeout_ms: u64,
}
