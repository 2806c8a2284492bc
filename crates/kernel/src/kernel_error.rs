use std::fmt;

/// Names the kernel step that failed and the service or interface it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KernelError {
    /// No interface was provided under this name.
    NotProvided(String),
    /// An interface exists under this name but has another type.
    WrongType(String),
    /// The named service ended with an error.
    ServiceFailed(String),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotProvided(name) => write!(f, "no service provides the interface '{name}'"),
            Self::WrongType(name) => write!(f, "the interface '{name}' has another type"),
            Self::ServiceFailed(name) => write!(f, "the service '{name}' failed"),
        }
    }
}

impl std::error::Error for KernelError {}
