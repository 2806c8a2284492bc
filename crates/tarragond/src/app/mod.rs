//! Assembles the daemon from its services and runs it until it is told to stop.

mod app_error;
mod logging;
mod node;
mod shutdown;

pub use app_error::AppError;
pub use node::run_node;
