use std::process::ExitCode;

/// Result of a command, applied by `main`. `docs/OPERATIONS.md` lists the exit codes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandResult {
    /// The command did its work; the text goes to standard output.
    Done(String),
    /// A file is missing or unreadable.
    BadInput(String),
    /// The system refused the command and changed nothing.
    Refused(String),
    /// No node answered, or no majority is reachable; nothing was changed.
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
