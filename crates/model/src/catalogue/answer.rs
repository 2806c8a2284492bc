use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::check::Mistake;

/// Response to a submitted release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitAnswer {
    /// The note was accepted, now or when it was first submitted.
    Accepted {
        /// Revision from which the note is in force.
        revision: u64,
    },
    /// Another note has this version, or the version is not the next one.
    Conflict {
        /// Version that a new note must have.
        next_version: u64,
        /// Id of the accepted note with the submitted version, if there is one.
        winner_id: Option<String>,
    },
    /// The note is invalid in itself or contradicts the catalogue.
    Invalid {
        /// Every mistake that was found.
        mistakes: Vec<Mistake>,
    },
}
