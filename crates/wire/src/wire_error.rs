use std::fmt;

/// Reason for which a message cannot be encoded or is dropped on receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The message is too short to contain a header and a tag.
    Truncated,
    /// The message is longer than the limit of its channel.
    TooLong,
    /// The version byte is unknown to this node.
    UnknownVersion(u8),
    /// The message belongs to another channel.
    WrongChannel(u8),
    /// The tag does not match: the sender has another key, or the message was altered in transit.
    BadTag,
    /// The payload is not a valid message.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the message is truncated"),
            Self::TooLong => f.write_str("the message is too long"),
            Self::UnknownVersion(version) => write!(f, "unknown message version {version}"),
            Self::WrongChannel(channel) => write!(f, "message of another channel ({channel})"),
            Self::BadTag => f.write_str("the authentication tag does not match"),
            Self::Malformed => f.write_str("the payload is malformed"),
        }
    }
}

impl std::error::Error for WireError {}
