//! Command line of the daemon.

mod args;
mod run;

pub use args::Args;
pub use args::Command;
pub use run::run_command;
pub use run::CommandResult;
