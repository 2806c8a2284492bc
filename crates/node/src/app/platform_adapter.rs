use std::sync::Arc;

use tarragon_datapath::datapath::ServingState;
use tarragon_datapath::interface::BackendInterface;
use tarragon_datapath::interface::CallerInterface;
use tarragon_datapath::interface::NativeBackendInterface;
use tarragon_datapath::interface::NativeCallerInterface;
use tarragon_kernel::Service;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

/// Name under which the kernel provides the `DepartureService`.
pub const DEPARTURES: &str = "backend.departures";

/// Name under which the kernel provides the `AnnouncementTracker` of the local backend server.
pub const ANNOUNCEMENTS: &str = "backend.announcements";

/// Name under which the kernel provides the `dyn ControlLog` of the deployment.
pub const CONTROL_LOG: &str = "control.log";

/// Name under which the kernel provides the [`NodeState`].
pub const NODE_STATE: &str = "node.state";

/// Platform-specific parts of a node: the headers of its requests, and additional services, which
/// look up the interfaces of the node by name in the kernel. See `docs/platform.md`.
pub struct PlatformAdapter {
    /// Reads and writes the headers that are exchanged with callers.
    pub caller_interface: Arc<dyn CallerInterface>,
    /// Reads and writes the headers that are exchanged with the local backend server.
    pub backend_interface: Arc<dyn BackendInterface>,
    /// Additional services, which run as long as the control services of the node.
    pub services: Vec<Arc<dyn Service>>,
}

impl Default for PlatformAdapter {
    /// Adapter for the native headers of tarragonloom, without additional services.
    fn default() -> Self {
        Self {
            caller_interface: Arc::new(NativeCallerInterface),
            backend_interface: Arc::new(NativeBackendInterface),
            services: Vec::new(),
        }
    }
}

/// State of the node that is available to the services of a platform.
pub struct NodeState {
    /// Whether the node serves callers.
    pub serving: watch::Receiver<ServingState>,
    /// Local copy of the catalogue.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
}
