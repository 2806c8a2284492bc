use std::fmt;
use std::net::SocketAddr;

/// Why a request has no answer; names the step and the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection: the request certainly did not arrive.
    Connect(SocketAddr),
    /// The connection broke or the time ran out after the request may have been sent.
    NoResponse(SocketAddr),
    /// The answer is larger than the client accepts.
    ResponseTooLarge(SocketAddr),
    /// The request cannot be built from its parts.
    BadRequest(String),
    /// No address was given.
    NoAddress,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(peer) => write!(f, "cannot connect to {peer}"),
            Self::NoResponse(peer) => write!(f, "no answer from {peer}"),
            Self::ResponseTooLarge(peer) => write!(f, "the answer of {peer} is too large"),
            Self::BadRequest(text) => write!(f, "cannot build the request: {text}"),
            Self::NoAddress => f.write_str("no address is known"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Whether the request certainly did not reach the peer.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::NoResponse(_) | Self::ResponseTooLarge(_))
    }
}
