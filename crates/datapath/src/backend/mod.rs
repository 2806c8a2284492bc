//! The announcements and the status of the node's backend server.

mod announcement_tracker;
mod backend_status;
mod server_notice;

pub use announcement_tracker::AnnouncementTracker;
pub use backend_status::BackendStatus;
pub use backend_status::LocalBackend;
pub use server_notice::ReportedNotice;
pub use server_notice::ServerNotice;
