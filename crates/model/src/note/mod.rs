//! Release notes: documents in which operators add, change and withdraw services.

mod check;
mod release_note;
mod service_spec;

pub use check::check_call_graph;
pub use check::MAX_CALL_DEPTH;
pub use release_note::ReleaseNote;
pub use service_spec::OperationSpec;
pub use service_spec::ServiceSpec;
