use http::request;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use tarragon_model::call::headers;

use crate::backend::ServerNotice;
use crate::interface::parse_request_rate;
use crate::interface::BackendInterface;
use crate::interface::BackendRequest;
use crate::interface::ResponseVerdict;

/// Uses the native headers of this project, see `docs/design.md`, section 3.2.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeBackendInterface;

impl BackendInterface for NativeBackendInterface {
    fn write_headers(&self, head: &mut request::Parts, request: &BackendRequest<'_>) {
        request.context.write_headers(&mut head.headers);
        if let Ok(value) = HeaderValue::from_str(request.service) {
            head.headers.insert(headers::SERVICE, value);
        }
    }

    fn correlation_tag(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn classify_response(
        &self,
        _tag: Option<&HeaderValue>,
        _head: &response::Parts,
    ) -> ResponseVerdict {
        ResponseVerdict::Matching
    }

    fn read_notice(&self, head: &response::Parts) -> Option<ServerNotice> {
        let map = &head.headers;
        let max_requests_per_s = map.get(headers::MAX_REQUESTS_PER_S);
        Some(ServerNotice {
            max_requests_per_s: max_requests_per_s.and_then(parse_request_rate),
            is_leaving: map.contains_key(headers::LEAVING),
        })
    }

    fn allows_close_delimited_body(&self) -> bool {
        false
    }

    fn allows_trailing_bytes(&self) -> bool {
        false
    }
}
