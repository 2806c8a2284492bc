//! The node's own backend server: its announcement and its state.

mod announcement_tracker;
mod backend_status;

pub use announcement_tracker::AnnouncementTracker;
pub use backend_status::BackendStatus;
pub use backend_status::LocalBackend;
