//! Entry point of the node daemon.

use std::process::ExitCode;

use clap::Parser;
use tarragond::cli::run_command;
use tarragond::cli::Args;

fn main() -> ExitCode {
    run_command(&Args::parse()).apply()
}
