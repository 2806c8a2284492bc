use http::request::Parts;
use http::HeaderMap;
use http::Response;
use tarragon_model::catalogue::Catalogue;
use tarragon_policy::once::CallerDigest;

use crate::datapath::DataPathSettings;
use crate::interface::InboundRequest;
use crate::transport::Body;
use crate::transport::CallFailure;

/// Reads the requests of callers and writes the responses to them.
pub trait CallerInterface: Send + Sync {
    /// Validates a request, and removes all headers that must not be forwarded unchanged.
    ///
    /// # Errors
    /// The request is malformed, or no service or route in force accepts it.
    fn read_request(
        &self,
        parts: &mut Parts,
        catalogue: &Catalogue,
        settings: &DataPathSettings,
    ) -> Result<InboundRequest, CallFailure>;

    /// Digest that identifies the caller for retry throttling; `None` if callers cannot be
    /// distinguished, in which case they are not throttled.
    fn caller_digest(&self, parts: &Parts) -> Option<CallerDigest>;

    /// Whether a request carries an idempotency key. If it does, a refusal before the owner of the
    /// key was reached gets the outcome `unknown`, because an earlier copy of the request may have
    /// run.
    fn has_idempotency_key(&self, _headers: &HeaderMap) -> bool {
        false
    }

    /// Whether callers can obtain idempotency keys from this node.
    fn issues_keys(&self) -> bool;

    /// Builds the response to the caller. `is_closing` asks the caller to close the connection.
    fn write_response(
        &self,
        result: Result<Response<Body>, CallFailure>,
        is_closing: bool,
    ) -> Response<Body>;
}
