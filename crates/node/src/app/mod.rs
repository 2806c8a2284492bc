//! Assembles a node from its services and runs it until a stop is requested.

mod components;
mod deferred_gate;
mod logging;
mod node;
mod node_error;
mod platform_adapter;
mod policies;
mod prometheus;
mod shutdown;
mod statsd;

pub use node::run_node;
pub use node_error::NodeError;
pub use platform_adapter::NodeState;
pub use platform_adapter::PlatformAdapter;
pub use platform_adapter::ANNOUNCEMENTS;
pub use platform_adapter::CONTROL_LOG;
pub use platform_adapter::DEPARTURES;
pub use platform_adapter::NODE_STATE;
