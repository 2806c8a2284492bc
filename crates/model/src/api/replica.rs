use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// What a control replica says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaInfo {
    /// Name of its node.
    pub name: String,
    /// Identity of its data folder, 16 hexadecimal digits.
    pub disk: String,
    /// Its role: `follower`, `leader` and so on, or `stopped` with the cause.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader that it knows, as `name@disk`.
    pub leader: Option<String>,
    /// Last entry that it knows to be committed.
    pub commit_index: u64,
    /// Last entry of its log.
    pub last_index: u64,
    /// Last entry of its latest snapshot.
    pub snapshot_index: u64,
    /// Voters as it knows them, as `name@disk`.
    pub voters: Vec<String>,
    /// Learners as it knows them, as `name@disk`.
    pub learners: Vec<String>,
}

/// A known control replica and what it answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaEntry {
    /// Name of its node.
    pub name: String,
    /// Its answer; none if it did not answer.
    pub info: Option<ReplicaInfo>,
}

/// Asks for the first start of the replicated log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct InitRequest {
    /// Start even if a known replica does not answer.
    pub force: bool,
}

/// Names a control replica.
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
    /// The members are as asked for.
    Done,
    /// Nothing was changed, or not yet all of it.
    Refused {
        /// Why, and what to do.
        cause: String,
    },
}
