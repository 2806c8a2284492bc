//! Assembles the daemon from its services and runs it until it is told to stop.

mod adapter;
mod app_error;
mod late_gate;
mod logging;
mod node;
mod parts;
mod policies;
mod pulled_metrics;
mod shutdown;
mod statsd;

pub use adapter::Adapter;
pub use adapter::NodeState;
pub use adapter::ANNOUNCEMENTS;
pub use adapter::CONTROL_LOG;
pub use adapter::NODE_STATE;
pub use app_error::AppError;
pub use node::run_node;
