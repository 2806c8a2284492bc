use std::fmt;

/// Why a message from the network was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// Too short to hold a header and a tag.
    Truncated,
    /// Longer than the channel allows.
    TooLong,
    /// The version byte is unknown.
    UnknownVersion(u8),
    /// The message belongs to another channel.
    WrongChannel(u8),
    /// The tag does not match: another key, or damage on the way.
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
