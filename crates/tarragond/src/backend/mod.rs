//! The node's own backend server: its announcement and its state.

mod backend_status;

pub use backend_status::BackendStatus;
pub use backend_status::OwnBackend;
