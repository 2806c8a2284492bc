use http::request::Parts;
use http::HeaderMap;
use http::Response;
use tarragon_model::catalogue::Catalogue;
use tarragon_policy::once::CallerDigest;

use crate::datapath::DataPathSettings;
use crate::interface::InboundRequest;
use crate::transport::Body;
use crate::transport::CallFailure;

/// How the requests of callers are read and their answers written.
pub trait CallerInterface: Send + Sync {
    /// Checks a request and leaves only the headers that are forwarded as they are.
    ///
    /// # Errors
    /// The request is malformed, or nothing in force allows it.
    fn read_request(
        &self,
        parts: &mut Parts,
        catalogue: &Catalogue,
        settings: &DataPathSettings,
    ) -> Result<InboundRequest, CallFailure>;

    /// Tells callers apart whose repeats are throttled; none if they cannot be told apart.
    fn caller_digest(&self, parts: &Parts) -> Option<CallerDigest>;

    /// Whether a request carries an idempotency key. What then keeps this node from asking the owner of
    /// the key leaves open whether an earlier copy of the request ran.
    fn has_idempotency_key(&self, _headers: &HeaderMap) -> bool {
        false
    }

    /// Whether callers obtain idempotency keys here.
    fn issues_keys(&self) -> bool;

    /// The answer to the caller. `is_closing` asks it to use another connection from now on.
    fn write_response(
        &self,
        result: Result<Response<Body>, CallFailure>,
        is_closing: bool,
    ) -> Response<Body>;
}
