use std::time::Instant;

use http::request;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::CallContext;

use crate::backend::ServerNotice;

/// Attributes of a request that a gate sends to its backend server.
#[derive(Debug, Clone, Copy)]
pub struct BackendRequest<'a> {
    /// Name of the called service.
    pub service: &'a str,
    /// Call context of the execution, with the span of the execution itself.
    pub context: &'a CallContext,
    /// Deadline of the execution.
    pub deadline: Instant,
    /// Identity of the backend server that the gate expects, if the server announced one.
    pub server_id: Option<&'a str>,
}

/// Classification of the response head of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The response belongs to the request that was sent.
    Matching,
    /// The backend server states that it did not run the request.
    NotRun {
        /// Time after which the backend server may accept another request, in ms; 0 if unknown.
        retry_after_ms: u64,
    },
    /// The response does not belong to the request, so whether the request ran is unknown.
    Mismatched,
}

/// Writes and interprets the headers between a gate and its backend server.
pub trait BackendInterface: Send + Sync {
    /// Adds the headers that describe the request to the backend server.
    fn write_headers(&self, head: &mut request::Parts, request: &BackendRequest<'_>);

    /// Value of the request headers by which the response of the backend server identifies the
    /// request; `None` if responses carry no such value.
    fn correlation_tag(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Classifies the response head to a request with this correlation tag.
    fn classify_response(
        &self,
        tag: Option<&HeaderValue>,
        head: &response::Parts,
    ) -> ResponseVerdict;

    /// Reads what the backend server says about itself in a response that belongs to the request.
    /// `None` if another server sent the response.
    fn read_notice(&self, head: &response::Parts) -> Option<ServerNotice>;

    /// Whether a response without a length is complete when its connection is closed in order. If
    /// not, such a response is refused, because a truncated one cannot be distinguished from a
    /// complete one.
    fn allows_close_delimited_body(&self) -> bool;

    /// Whether a complete response is delivered although more bytes follow it on the connection.
    /// The connection is not reused in either case.
    fn allows_trailing_bytes(&self) -> bool;
}

/// Parses a decimal number of requests per second. `None` if it is not a finite number of at least
/// zero.
pub fn parse_request_rate(value: &HeaderValue) -> Option<f64> {
    let rate_per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate_per_s.is_finite() && rate_per_s >= 0.0).then_some(rate_per_s)
}
