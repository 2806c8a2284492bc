//! Command line of the operators' client.

mod args;

pub use args::Args;
pub use args::Command;
pub use args::NoteCommand;
pub use args::ReplicaCommand;
