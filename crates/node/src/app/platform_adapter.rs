use std::sync::Arc;

use tarragon_datapath::datapath::ServingState;
use tarragon_datapath::interface::BackendInterface;
use tarragon_datapath::interface::CallerInterface;
use tarragon_datapath::interface::NativeBackendInterface;
use tarragon_datapath::interface::NativeCallerInterface;
use tarragon_kernel::Service;
use tarragon_model::catalogue::Catalogue;
use tokio::sync::watch;

/// Name under which the kernel holds the `AnnouncementTracker` of the node's own backend server.
pub const ANNOUNCEMENTS: &str = "backend.announcements";

/// Name under which the kernel holds the `dyn ControlLog` of the deployment.
pub const CONTROL_LOG: &str = "control.log";

/// Name under which the kernel holds the [`NodeState`].
pub const NODE_STATE: &str = "node.state";

/// What a platform adds to a node: the headers that it speaks, and services of its own, which find
/// the node's interfaces by name. See `docs/platform.md`.
pub struct PlatformAdapter {
    /// Headers to and from callers.
    pub caller_interface: Arc<dyn CallerInterface>,
    /// Headers to and from the node's own backend server.
    pub backend_interface: Arc<dyn BackendInterface>,
    /// Services that run as long as the control side.
    pub services: Vec<Arc<dyn Service>>,
}

impl Default for PlatformAdapter {
    /// The project's own interface.
    fn default() -> Self {
        Self {
            caller_interface: Arc::new(NativeCallerInterface),
            backend_interface: Arc::new(NativeBackendInterface),
            services: Vec::new(),
        }
    }
}

/// What services of a platform may ask of the node.
pub struct NodeState {
    /// Whether callers are served.
    pub serving: watch::Receiver<ServingState>,
    /// The node's copy of the catalogue.
    pub catalogue: watch::Receiver<Arc<Catalogue>>,
}
