use std::fmt;

/// Failure of a lookup or of a service, with the name of the interface or service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KernelError {
    /// No interface is registered under this name.
    NotProvided(String),
    /// The interface with this name has another type.
    WrongType(String),
    /// The service with this name failed.
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
