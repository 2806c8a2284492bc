use std::net::SocketAddr;

use tarragon_model::member::BackendState;
use tokio::sync::watch;

/// What the node knows of its own backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// Service that it belongs to, empty if none is announced.
    pub service: String,
    /// Where it takes requests.
    pub address: Option<SocketAddr>,
    /// Requests that it says it can run at once; a hint.
    pub slots: u32,
    /// Its identity, if it announced one; it changes with every start.
    pub server_id: Option<String>,
    /// Its state; the gate takes new work only in `Ready` and `Starting`.
    pub state: BackendState,
}

impl BackendStatus {
    /// Status before the first announcement.
    pub fn absent() -> Self {
        Self {
            service: String::new(),
            address: None,
            slots: 0,
            server_id: None,
            state: BackendState::Absent,
        }
    }
}

/// Read access to the state of the node's own backend server.
pub trait LocalBackend: Send + Sync {
    /// Channel with the present status.
    fn status(&self) -> watch::Receiver<BackendStatus>;
}
