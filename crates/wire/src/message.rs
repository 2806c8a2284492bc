use serde::de::DeserializeOwned;
use serde::Serialize;
use subtle::ConstantTimeEq;
use tokio_util::codec::LengthDelimitedCodec;

use crate::DeploymentKey;
use crate::WireError;

/// Maximum size of a datagram. It is below the common path MTU, so that datagrams are not
/// fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum size of a message on a stream. It limits the memory that a peer can make a node
/// allocate.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 2;
const TAG_BYTES: usize = 16;

/// Purpose of a message. It is part of the authenticated bytes, so that a message for one purpose
/// is refused where another purpose is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageChannel {
    /// Membership datagrams.
    Membership = 1,
    /// Messages between control replicas.
    Replica = 2,
    /// Contexts of calls between nodes.
    Call = 3,
}

impl MessageChannel {
    fn max_bytes(self) -> usize {
        match self {
            Self::Membership | Self::Call => MAX_DATAGRAM_BYTES,
            Self::Replica => MAX_FRAME_BYTES,
        }
    }
}

/// Encodes a message and appends an authentication tag. The message is not encrypted.
///
/// # Errors
/// `TooLong` if the result exceeds the limit of the channel.
pub fn encode_authenticated<T: Serialize>(
    key: &DeploymentKey,
    channel: MessageChannel,
    message: &T,
) -> Result<Vec<u8>, WireError> {
    let header = vec![FORMAT_VERSION, channel as u8];
    let mut bytes = postcard::to_extend(message, header).map_err(|_| WireError::Malformed)?;
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    if bytes.len() > channel.max_bytes() {
        return Err(WireError::TooLong);
    }
    Ok(bytes)
}

/// Verifies and decodes a message. The tag is verified before the payload is parsed.
///
/// # Errors
/// Returns why the message has to be dropped.
pub fn decode_authenticated<T: DeserializeOwned>(
    key: &DeploymentKey,
    channel: MessageChannel,
    bytes: &[u8],
) -> Result<T, WireError> {
    if bytes.len() > channel.max_bytes() {
        return Err(WireError::TooLong);
    }
    let body_end = bytes.len().checked_sub(TAG_BYTES).ok_or(WireError::Truncated)?;
    if body_end < HEADER_BYTES {
        return Err(WireError::Truncated);
    }
    let (body, tag) = bytes.split_at(body_end);
    if body[0] != FORMAT_VERSION {
        return Err(WireError::UnknownVersion(body[0]));
    }
    if body[1] != channel as u8 {
        return Err(WireError::WrongChannel(body[1]));
    }
    let expected_tag = key.tag(body);
    if !bool::from(expected_tag.as_bytes()[..TAG_BYTES].ct_eq(tag)) {
        return Err(WireError::BadTag);
    }
    let (message, trailing_bytes) =
        postcard::take_from_bytes(&body[HEADER_BYTES..]).map_err(|_| WireError::Malformed)?;
    if trailing_bytes.is_empty() {
        Ok(message)
    } else {
        Err(WireError::Malformed)
    }
}

/// Returns a codec that splits a stream into messages of at most [`MAX_FRAME_BYTES`] bytes.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
