//! Membership datagrams.

mod body;
mod datagram;
mod header;
mod record_codec;
mod update;

pub use body::Body;
pub use datagram::Datagram;
pub(crate) use datagram::UPDATES_BUDGET_BYTES;
pub use header::Header;
pub(crate) use update::is_bounded;
pub(crate) use update::service_tag;
pub use update::Update;
pub use update::FINAL_VERSION;
