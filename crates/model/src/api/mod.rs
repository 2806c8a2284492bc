//! Types of the control API, shared by the daemon and the operators' client.

mod announcement;
mod departure;
mod drain;
mod replica;
mod status;

pub use announcement::is_start_time;
pub use announcement::unix_ms;
pub use announcement::Announcement;
pub use announcement::ServerIdentity;
pub use departure::ServerDeparture;
pub use drain::DrainAnswer;
pub use drain::DrainRequest;
pub use replica::InitRequest;
pub use replica::ReplicaChangeAnswer;
pub use replica::ReplicaEntry;
pub use replica::ReplicaInfo;
pub use replica::ReplicaName;
pub use status::BackendReport;
pub use status::DataCentreRevision;
pub use status::NodeStatus;
pub use status::NoteEntry;
pub use status::NoteList;
pub use status::NoteStatus;
