use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::note::ServiceSpec;

/// Changes of a catalogue between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueChanges {
    /// Lowest revision of a copy to which the changes can be applied.
    pub from_revision: u64,
    /// Revision after the changes.
    pub to_revision: u64,
    /// Services added or changed.
    pub services: Vec<ServiceSpec>,
    /// Names of services withdrawn.
    pub withdrawn: Vec<String>,
    /// The importance order, if it changed.
    pub importance: Option<Vec<String>>,
    /// The whole configuration, if it changed.
    pub configuration: Option<Configuration>,
}
