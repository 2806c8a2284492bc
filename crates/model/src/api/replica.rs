use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Status of a control replica, reported by the replica itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaInfo {
    /// Name of its node.
    pub name: String,
    /// Identifier of its data directory, 16 hexadecimal digits.
    pub disk: String,
    /// Role, such as `follower` or `leader`, or `stopped` with the cause.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader of the term as `name@disk`, if the replica has one.
    pub leader: Option<String>,
    /// Index of the last entry that the replica has seen committed.
    pub commit_index: u64,
    /// Index of the last entry of its log.
    pub last_index: u64,
    /// Index of the last entry in its latest snapshot.
    pub snapshot_index: u64,
    /// Voters in its configuration, as `name@disk`.
    pub voters: Vec<String>,
    /// Learners in its configuration, as `name@disk`.
    pub learners: Vec<String>,
}

/// A known control replica and its response to a status request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaEntry {
    /// Name of its node.
    pub name: String,
    /// Status of the replica; `None` if it did not respond.
    pub info: Option<ReplicaInfo>,
}

/// Request to bootstrap the replicated log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct InitRequest {
    /// Bootstrap even if a known replica does not respond.
    pub force: bool,
}

/// Request to add or remove a control replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ReplicaName {
    /// Name of its node.
    pub name: String,
}

/// Result of a change of the control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaChangeAnswer {
    /// The control replicas are as requested.
    Done,
    /// Nothing was changed, or the change is not complete yet.
    Refused {
        /// Reason, and what the operator can do about it.
        cause: String,
    },
}
