use serde::Deserialize;
use serde::Serialize;

use crate::check::Mistake;

/// Response to a submitted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigureAnswer {
    /// The configuration was accepted, now or when it was first submitted.
    Accepted,
    /// Its base version is not the current version.
    Conflict {
        /// Version that is in force.
        current_version: u64,
    },
    /// The configuration is invalid.
    Invalid {
        /// Every mistake that was found.
        mistakes: Vec<Mistake>,
    },
}
