//! Commands of the client and their results.

mod command_result;
mod formatting;
mod run;

pub use command_result::CommandResult;
pub use run::run_command;
