//! Assembles the daemon from its services and runs it until it is told to stop.

mod app_error;
mod late_gate;
mod logging;
mod node;
mod policies;
mod shutdown;
mod statsd;

pub use app_error::AppError;
pub use node::run_node;
