//! What nodes tell each other about themselves.

mod backend_state;
mod member_record;

pub use backend_state::BackendState;
pub use member_record::MemberRecord;
