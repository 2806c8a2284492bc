use std::process::ExitCode;

/// Result of a command, which determines the output and the exit code of the process.
/// `docs/OPERATIONS.md` lists the exit codes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandResult {
    /// The command succeeded; the text is printed to standard output.
    Done(String),
    /// A file is missing or cannot be read.
    BadInput(String),
    /// The control API refused the command. Nothing was changed, except that a refused
    /// `replica add` may have added the replica as a learner.
    Refused(String),
    /// No node responded, or no majority of the control replicas is reachable; nothing was changed.
    Unavailable(String),
    /// The command may or may not have taken effect.
    Unknown(String),
}

impl CommandResult {
    /// Prints the result and returns its exit code.
    pub fn apply(self) -> ExitCode {
        let (text, code) = match self {
            Self::Done(text) => {
                println!("{text}");
                return ExitCode::SUCCESS;
            }
            Self::BadInput(text) => (text, 1),
            Self::Refused(text) => (text, 3),
            Self::Unavailable(text) => (text, 4),
            Self::Unknown(text) => (text, 5),
        };
        eprintln!("tarragonctl: {text}");
        ExitCode::from(code)
    }
}
