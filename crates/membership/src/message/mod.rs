//! Wire format of membership datagrams.

mod datagram;
mod datagram_body;
mod datagram_header;
mod member_update;
mod record_codec;

pub use datagram::Datagram;
pub(crate) use datagram::UPDATES_BUDGET_BYTES;
pub use datagram_body::DatagramBody;
pub use datagram_header::DatagramHeader;
pub(crate) use member_update::has_bounded_texts;
pub(crate) use member_update::service_tag;
pub use member_update::MemberUpdate;
pub use member_update::FINAL_VERSION;
