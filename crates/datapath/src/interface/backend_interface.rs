use std::time::Instant;

use http::request;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::CallContext;

/// What a request to the backend server is about.
#[derive(Debug, Clone, Copy)]
pub struct BackendRequest<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Context of the execution, with its own span.
    pub context: &'a CallContext,
    /// When the execution ends.
    pub deadline: Instant,
    /// Identity of the backend server that the gate means, if it announced one.
    pub server_id: Option<&'a str>,
}

/// What the head of an answer proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// It answers the request that was sent.
    Matching,
    /// The backend server says that it did not run the request.
    NotRun {
        /// When it may take another, in ms; 0 if it does not say.
        retry_after_ms: u64,
    },
    /// It does not answer this request, so the request may have run.
    Mismatched,
}

/// Headers between a gate and its backend server.
pub trait BackendInterface: Send + Sync {
    /// Adds what the backend server is told.
    fn write_headers(&self, head: &mut request::Parts, about: &BackendRequest<'_>);

    /// The value by which the backend server's answer names the request, if it does.
    fn correlation_tag(&self, map: &HeaderMap) -> Option<HeaderValue>;

    /// Judges the head of an answer to a request with this tag.
    fn classify_response(
        &self,
        tag: Option<&HeaderValue>,
        head: &response::Parts,
    ) -> ResponseVerdict;

    /// Whether an answer without a length is whole when its connection ends in order. Otherwise it
    /// is refused, because it looks whole wherever it is cut.
    fn allows_close_delimited_body(&self) -> bool;

    /// Whether bytes after a whole answer leave the answer itself intact. Its connection is not
    /// used again either way.
    fn allows_trailing_bytes(&self) -> bool;
}
