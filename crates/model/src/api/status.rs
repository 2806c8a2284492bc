use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::InstanceId;
use crate::member::BackendState;

/// Status of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Instance of the running node process.
    pub instance: InstanceId,
    /// Data centre of the node.
    pub data_centre: String,
    /// Catalogue revision in force at the node.
    pub revision: u64,
    /// Whether the node is a control replica.
    pub is_replica: bool,
    /// Status of its backend server.
    pub backend: BackendReport,
}

/// Status of a node's backend server and of the gate in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BackendReport {
    /// Service of the backend server, empty if none is announced.
    pub service: String,
    /// State of the backend server.
    pub state: BackendState,
    /// Number of requests that are running.
    pub in_flight: u32,
    /// Number of requests that are queued at the gate.
    pub waiting: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Age of the oldest request in progress, in ms.
    pub oldest_ms: u64,
}

/// An accepted release note or configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteEntry {
    /// Position in the order of acceptance, which is also the catalogue revision from which the
    /// note or configuration is in force.
    pub version: u64,
    /// Id of the note, or an id derived from the version of the configuration.
    pub id: String,
}

/// The latest accepted release notes and configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteList {
    /// Revision of the catalogue.
    pub revision: u64,
    /// The notes and configurations, oldest first.
    pub notes: Vec<NoteEntry>,
}

/// Progress of a release note across the data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteStatus {
    /// Id of the note.
    pub id: String,
    /// Revision at which it was accepted; `None` if it was not accepted.
    pub revision: Option<u64>,
    /// Progress by data centre.
    pub data_centres: Vec<DataCentreRevision>,
}

/// Progress of a data centre towards a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DataCentreRevision {
    /// Name of the data centre.
    pub data_centre: String,
    /// Number of known nodes in the data centre.
    pub nodes: u32,
    /// Number of these nodes at which the revision is in force.
    pub in_force: u32,
}
