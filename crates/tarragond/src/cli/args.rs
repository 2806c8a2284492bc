use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

/// Node daemon of tarragonloom, an overload control layer for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "tarragond", version)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the daemon.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the node until SIGTERM or SIGINT, then drain and exit.
    Run {
        /// Settings file in JSON.
        settings: PathBuf,
    },
    /// Run the node on the users' platform, with the settings file that the environment variable
    /// TARRAGONLOOM_CONFIG names.
    Platform,
    /// Check a settings file and list every mistake.
    Check {
        /// Settings file in JSON.
        settings: PathBuf,
    },
}
