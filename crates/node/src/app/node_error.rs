use std::fmt;

/// Step in which the node failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeError {
    /// The deployment key or the operator key cannot be loaded.
    Keys,
    /// The log filter in the settings is invalid.
    LogFilter(String),
    /// The tokio runtime cannot be started.
    Runtime,
    /// The named listener or socket cannot be bound.
    Bind(&'static str),
    /// The control replica cannot be opened.
    Storage,
    /// A service failed while the node was running.
    Run,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keys => f.write_str("cannot load the deployment key or the operator key"),
            Self::LogFilter(filter) => write!(f, "invalid log filter '{filter}'"),
            Self::Runtime => f.write_str("cannot start the tokio runtime"),
            Self::Bind(listener) => write!(f, "cannot bind the {listener} listener"),
            Self::Storage => f.write_str("cannot open the control replica"),
            Self::Run => f.write_str("the node stopped because a service failed"),
        }
    }
}

impl std::error::Error for NodeError {}
