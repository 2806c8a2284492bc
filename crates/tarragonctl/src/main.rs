//! Entry point of the operators' client.

use std::process::ExitCode;

use clap::Parser;
use tarragonctl::cli::Args;
use tarragonctl::command::run_command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    run_command(&Args::parse()).await.apply()
}
