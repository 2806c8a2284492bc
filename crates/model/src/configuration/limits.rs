use serde::Deserialize;
use serde::Serialize;

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for the head of a request once it has begun, in ms.
    pub header_timeout_ms: u64,
    /// Time after which a connection without a request is closed, in ms.
    pub idle_timeout_ms: u64,
}
