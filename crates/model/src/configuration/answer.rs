use serde::Deserialize;
use serde::Serialize;

use crate::check::Mistake;

/// Answer to a submitted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigureAnswer {
    /// The configuration was accepted, now or when it was first submitted.
    Accepted,
    /// It builds on another version than the current one.
    Conflict {
        /// Version that is in force.
        current_version: u64,
    },
    /// The configuration is wrong in itself.
    Invalid {
        /// Every mistake that was found.
        mistakes: Vec<Mistake>,
    },
}
