use serde::Deserialize;
use serde::Serialize;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatRule {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The request may run at most once, and its body is large.
    AtMostOnceLarge,
    /// The request may run more than once, and its response is large. A response that breaks off
    /// after its head is not continued by another run, since the caller already has a part of it.
    IdempotentLarge,
}

impl RepeatRule {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::IdempotentLarge)
    }

    /// Whether the body of the request or of its response is large. Large bodies are transferred
    /// over connections of their own, so that they do not delay short requests.
    pub fn is_large(self) -> bool {
        matches!(self, Self::AtMostOnceLarge | Self::IdempotentLarge)
    }
}

/// A service that receives a share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share relative to the weights of the other targets.
    pub weight: u32,
}

/// Rules for the requests to one host below one path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host to which callers address the requests, in lower case.
    pub host: String,
    /// Prefix of the path; it ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub repeat: RepeatRule,
    /// Maximum time that a caller waits for the response, in ms.
    pub time_limit_ms: u64,
    /// Time within which a response has its full value for the caller, in ms.
    pub objective_ms: u64,
    /// Importance rank, 0 is the most important.
    pub rank: u8,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Services that receive the requests.
    pub targets: Vec<RouteTarget>,
}

/// Limits of the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one of its backend servers accepts.
    pub max_connections: u32,
}
