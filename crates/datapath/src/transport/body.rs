use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::body::Body as HttpBody;

/// Error of a body that ended before it was complete.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that streams from a connection.
pub fn streamed(body: impl HttpBody<Data = Bytes, Error = hyper::Error> + Send + 'static) -> Body {
    body.map_err(BoxError::from).boxed_unsync()
}
