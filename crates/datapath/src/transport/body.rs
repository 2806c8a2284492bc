use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::body::Incoming;

/// Error of a body that ended before it was whole.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Streamed body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Body that is held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Body that arrives on a connection.
pub fn streamed(incoming: Incoming) -> Body {
    incoming.map_err(BoxError::from).boxed_unsync()
}
