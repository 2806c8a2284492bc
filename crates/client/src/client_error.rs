use std::fmt;
use std::net::SocketAddr;

/// Reason why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be established, so the request was not sent.
    Connect(SocketAddr),
    /// The connection failed or the request timed out after it may have been sent.
    NoResponse(SocketAddr),
    /// The response body is larger than the client accepts or could not be read completely.
    ResponseTooLarge(SocketAddr),
    /// The HTTP request could not be built.
    BadRequest(String),
    /// The list of addresses is empty.
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
    /// Whether the peer certainly did not receive the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::NoResponse(_) | Self::ResponseTooLarge(_))
    }
}
