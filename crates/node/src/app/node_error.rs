use std::fmt;

/// Step at which the daemon failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeError {
    /// A key file cannot be loaded.
    Keys,
    /// The log filter in the settings is wrong.
    LogFilter(String),
    /// The runtime cannot be started.
    Runtime,
    /// A listener cannot be bound.
    Bind(&'static str),
    /// The durable state cannot be opened.
    Storage,
    /// A service failed while the node was running.
    Run,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keys => f.write_str("cannot load the keys"),
            Self::LogFilter(filter) => write!(f, "the log filter '{filter}' is wrong"),
            Self::Runtime => f.write_str("cannot start the runtime"),
            Self::Bind(listener) => write!(f, "cannot bind the {listener} listener"),
            Self::Storage => f.write_str("cannot open the durable state"),
            Self::Run => f.write_str("the node stopped because a service failed"),
        }
    }
}

impl std::error::Error for NodeError {}
