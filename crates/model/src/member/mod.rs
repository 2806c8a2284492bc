//! Records of nodes and their backend servers, exchanged by the membership protocol.

mod backend_state;
mod member_record;

pub use backend_state::BackendState;
pub use member_record::MemberRecord;
