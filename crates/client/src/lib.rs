//! HTTP client for the control API.
//!
//! A request is sent to the given addresses in order until one responds. This is safe because all
//! commands of the API are idempotent. See `docs/design.md`, section 5.

mod client_error;
mod control_client;
mod open_response;

pub use client_error::ClientError;
pub use control_client::ApiResponse;
pub use control_client::ControlClient;
pub use open_response::OpenResponse;
