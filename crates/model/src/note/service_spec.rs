use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A service as operators declare it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, which is also the first label of the host name in `Host`.
    pub name: String,
    /// Names of the services that it calls.
    #[serde(default)]
    pub calls: Vec<String>,
    /// Operations, selected by method and longest path prefix.
    pub operations: Vec<OperationSpec>,
    /// Deadline of a request that arrives without one, in ms.
    pub default_deadline_ms: u64,
}

/// An operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// Name of the operation, for logs and metrics.
    pub name: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path, starting with a slash.
    pub path_prefix: String,
    /// Kind of the operation, an element of the importance order.
    pub kind: String,
    /// Whether running it twice has the same effect as running it once.
    pub idempotent: bool,
    /// Expected run time, in ms.
    pub expected_ms: u64,
}
