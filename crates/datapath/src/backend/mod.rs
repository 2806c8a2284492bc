//! The node's own backend server: its announcement and its state.

mod announcements;
mod backend_status;

pub use announcements::Announcements;
pub use backend_status::BackendStatus;
pub use backend_status::OwnBackend;
