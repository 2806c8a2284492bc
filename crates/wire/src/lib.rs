//! Authenticated messages between nodes.
//!
//! A message consists of a version byte, a channel byte, a postcard payload and a keyed BLAKE3 tag.
//! A datagram contains one message; a stream contains length-delimited messages. See
//! `docs/design.md`, section 5.3.

mod deployment_key;
mod message;
mod wire_error;

pub use deployment_key::DeploymentKey;
pub use deployment_key::KeyFileError;
pub use message::decode_authenticated;
pub use message::encode_authenticated;
pub use message::frame_codec;
pub use message::MessageChannel;
pub use message::MAX_DATAGRAM_BYTES;
pub use message::MAX_FRAME_BYTES;
pub use wire_error::WireError;
