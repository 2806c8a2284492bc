use std::process::ExitCode;

use error_stack::Report;
use tarragon_node::app::run_node;
use tarragon_node::app::NodeError;
use tarragon_node::app::PlatformAdapter;
use tarragon_node::conf::load_settings;
use tarragon_node::conf::SettingsError;
use tarragon_platform::run_on_platform;
use tarragon_platform::PlatformError;

use crate::cli::Args;
use crate::cli::Command;

/// Result of a command, which `main` prints and turns into an exit code.
#[derive(Debug)]
pub enum CommandResult {
    /// The command succeeded; the text is printed to standard output.
    Done(String),
    /// The settings are invalid, or their file cannot be read.
    InvalidSettings(Report<SettingsError>),
    /// The node failed.
    NodeFailed(Report<NodeError>),
    /// The node failed on the platform, or the platform's settings cannot be used.
    PlatformFailed(Report<PlatformError>),
}

impl CommandResult {
    /// Prints the result and returns the exit code that `docs/OPERATIONS.md` documents.
    pub fn apply(self) -> ExitCode {
        match self {
            Self::Done(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Self::InvalidSettings(report) => {
                eprintln!("tarragond: {}", report.current_context());
                ExitCode::from(2)
            }
            Self::NodeFailed(report) => {
                eprintln!("tarragond: {report:?}");
                ExitCode::from(1)
            }
            Self::PlatformFailed(report) => {
                eprintln!("tarragond: {report:?}");
                match report.current_context() {
                    PlatformError::Node => ExitCode::from(1),
                    _ => ExitCode::from(2),
                }
            }
        }
    }
}

/// Runs the command that the arguments select.
pub fn run_command(args: &Args) -> CommandResult {
    match &args.command {
        Command::Check { settings } => match load_settings(settings) {
            Ok(_) => CommandResult::Done("settings are valid\n".into()),
            Err(report) => CommandResult::InvalidSettings(report),
        },
        Command::Platform => match run_on_platform() {
            Ok(()) => CommandResult::Done(String::new()),
            Err(report) => CommandResult::PlatformFailed(report),
        },
        Command::Run { settings } => match load_settings(settings) {
            Ok(settings) => match run_node(settings, PlatformAdapter::default()) {
                Ok(()) => CommandResult::Done(String::new()),
                Err(report) => CommandResult::NodeFailed(report),
            },
            Err(report) => CommandResult::InvalidSettings(report),
        },
    }
}
