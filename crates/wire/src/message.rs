use serde::de::DeserializeOwned;
use serde::Serialize;
use subtle::ConstantTimeEq;
use tokio_util::codec::LengthDelimitedCodec;

use crate::DeploymentKey;
use crate::WireError;

/// Largest datagram, below the common path MTU so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest message on a stream, which bounds what a peer can make a node allocate.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 2;
const TAG_BYTES: usize = 16;

/// Separates the uses of the key, so that a message of one use is refused by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageChannel {
    /// Membership datagrams.
    Membership = 1,
    /// Messages between control replicas.
    Replica = 2,
    /// Context of calls between nodes.
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

/// Encodes and authenticates a message.
///
/// # Errors
/// `TooLong` if the message is over the channel's limit.
pub fn encode_authenticated<T: Serialize>(
    key: &DeploymentKey,
    channel: MessageChannel,
    message: &T,
) -> Result<Vec<u8>, WireError> {
    let header = vec![VERSION, channel as u8];
    let mut bytes = postcard::to_extend(message, header).map_err(|_| WireError::Malformed)?;
    let tag = key.tag(&bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
    if bytes.len() > channel.max_bytes() {
        return Err(WireError::TooLong);
    }
    Ok(bytes)
}

/// Checks and decodes a message. The tag is checked before the payload is looked at.
///
/// # Errors
/// Says why the message was dropped.
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
    if body[0] != VERSION {
        return Err(WireError::UnknownVersion(body[0]));
    }
    if body[1] != channel as u8 {
        return Err(WireError::WrongChannel(body[1]));
    }
    let expected = key.tag(body);
    if !bool::from(expected.as_bytes()[..TAG_BYTES].ct_eq(tag)) {
        return Err(WireError::BadTag);
    }
    let (message, rest) =
        postcard::take_from_bytes(&body[HEADER_BYTES..]).map_err(|_| WireError::Malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(WireError::Malformed)
    }
}

/// Codec that splits a stream into messages and bounds their length.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
