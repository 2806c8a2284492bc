//! Small HTTP client for the control API.
//!
//! A request goes to the given addresses in order until one answers. That is safe because every
//! command of the API may be repeated. See `docs/design.md`, section 5.

mod client_error;
mod control_client;

pub use client_error::ClientError;
pub use control_client::ApiResponse;
pub use control_client::ControlClient;
