//! The catalogue: the services, the importance order and the configuration in force.
//!
//! It is a pure state machine, so that the replicated log, each node's copy and the tests run the
//! same code. Its inputs are release notes and configurations.

mod answer;
mod changes;
mod state;

pub use answer::SubmitAnswer;
pub use changes::CatalogueChanges;
pub use state::AcceptedNote;
pub use state::Catalogue;
pub use state::MatchedOperation;
