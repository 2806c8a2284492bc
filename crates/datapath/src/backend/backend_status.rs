use std::net::SocketAddr;

use tarragon_model::member::BackendState;
use tokio::sync::watch;

/// Status of the node's backend server, as announced by it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// Service that the backend server belongs to; empty if none is announced.
    pub service: String,
    /// Address at which the backend server accepts requests; `None` if none is announced.
    pub address: Option<SocketAddr>,
    /// Number of requests that the backend server can run at a time, as announced; 0 if none is
    /// announced. The admission policy derives its limit from it.
    pub slots: u32,
    /// Identity of the backend server, if it announced one.
    pub server_id: Option<String>,
    /// Start time of the process of the backend server in ms since 1970, if it announced one. A
    /// later start may keep the identity.
    pub started_at_ms: Option<u64>,
    /// Whether this start of the backend server has announced that it will end. Unlike a drain by an
    /// operator, this is final.
    pub is_leaving: bool,
    /// State of the backend server. The gate accepts new requests only in `Ready` and `Starting`.
    pub state: BackendState,
}

impl BackendStatus {
    /// Status without an announcement.
    pub fn absent() -> Self {
        Self {
            service: String::new(),
            address: None,
            slots: 0,
            server_id: None,
            started_at_ms: None,
            is_leaving: false,
            state: BackendState::Absent,
        }
    }
}

/// The node's backend server, as its announcements and responses describe it.
pub trait LocalBackend: Send + Sync {
    /// Channel with the current status.
    fn status(&self) -> watch::Receiver<BackendStatus>;

    /// Records that the backend server said in a response that it is leaving, whatever its
    /// announcements say. A later start of the server is not affected.
    fn record_leaving(&self, id: &str, started_at_ms: u64);
}
