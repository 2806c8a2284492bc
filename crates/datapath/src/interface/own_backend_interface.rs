use http::request;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::headers;

use crate::interface::AnswerVerdict;
use crate::interface::BackendInterface;
use crate::interface::BackendRequest;

/// The project's own headers, see `docs/design.md`, section 3.2.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnBackendInterface;

impl BackendInterface for OwnBackendInterface {
    fn write(&self, head: &mut request::Parts, about: &BackendRequest<'_>) {
        about.context.write_headers(&mut head.headers);
        if let Ok(value) = HeaderValue::from_str(about.service) {
            head.headers.insert(headers::SERVICE, value);
        }
    }

    fn tag(&self, _map: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn judge(&self, _tag: Option<&HeaderValue>, _head: &response::Parts) -> AnswerVerdict {
        AnswerVerdict::Own
    }

    fn allows_unframed(&self) -> bool {
        false
    }

    fn allows_surplus(&self) -> bool {
        false
    }
}
