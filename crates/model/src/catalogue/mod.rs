//! The catalogue: what is in force after the accepted release notes.
//!
//! It is a pure state machine, so that the replicated log, each node's copy and the tests run the
//! same code.

mod answer;
mod changes;
mod state;

pub use answer::SubmitAnswer;
pub use changes::CatalogueChanges;
pub use state::AcceptedNote;
pub use state::Catalogue;
pub use state::MatchedOperation;
