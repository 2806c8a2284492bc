use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::identity::InstanceId;
use crate::member::BackendState;

/// State of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Its present life.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: String,
    /// Catalogue revision in force at the node.
    pub revision: u64,
    /// Whether the node is a control replica.
    pub is_replica: bool,
    /// Its backend server.
    pub backend: BackendReport,
}

/// State of a node's backend server and of the gate in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BackendReport {
    /// Service, empty if no backend server is announced.
    pub service: String,
    /// State.
    pub state: BackendState,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting at the gate.
    pub waiting: u32,
    /// Present concurrency limit.
    pub limit: u32,
    /// Age of the oldest request in progress, in ms.
    pub oldest_ms: u64,
}

/// An accepted release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteEntry {
    /// Version, which is also its revision.
    pub version: u64,
    /// Id.
    pub id: String,
}

/// The latest accepted release notes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteList {
    /// Revision of the catalogue.
    pub revision: u64,
    /// The notes, the newest last.
    pub notes: Vec<NoteEntry>,
}

/// Where a release note is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct NoteStatus {
    /// Id of the note.
    pub id: String,
    /// Revision at which it was accepted; none if it was not accepted.
    pub revision: Option<u64>,
    /// Progress by data centre.
    pub data_centres: Vec<DataCentreRevision>,
}

/// Progress of a data centre towards a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DataCentreRevision {
    /// Name of the data centre.
    pub data_centre: String,
    /// Nodes known there.
    pub nodes: u32,
    /// Nodes at which the revision is in force.
    pub in_force: u32,
}
