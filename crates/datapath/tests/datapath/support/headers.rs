use http::request;
use http::request::Parts;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use tarragon_datapath::backend::ServerNotice;
use tarragon_datapath::datapath::DataPathSettings;
use tarragon_datapath::interface::BackendInterface;
use tarragon_datapath::interface::BackendRequest;
use tarragon_datapath::interface::CallerInterface;
use tarragon_datapath::interface::InboundRequest;
use tarragon_datapath::interface::ResponseVerdict;
use tarragon_datapath::interface::RouteMatcher;
use tarragon_datapath::interface::RoutedRequest;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::CallFailure;
use tarragon_model::catalogue::Catalogue;
use tarragon_policy::once::CallerDigest;

/// Caller interface with the headers that a platform could use: a request id, and a host that
/// routes are matched against.
#[derive(Default)]
pub struct TestCallerInterface(RouteMatcher);

impl CallerInterface for TestCallerInterface {
    fn read_request(
        &self,
        parts: &mut Parts,
        catalogue: &Catalogue,
        _settings: &DataPathSettings,
    ) -> Result<InboundRequest, CallFailure> {
        let header_text =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let request = RoutedRequest {
            caller_request_id: header_text("x-id").unwrap_or(""),
            host: header_text("x-host").unwrap_or(""),
            path: parts.uri.path(),
            deadline_ms: None,
        };
        self.0.read_request(&request, catalogue)
    }

    fn caller_digest(&self, _parts: &Parts) -> Option<CallerDigest> {
        None
    }

    fn issues_keys(&self) -> bool {
        false
    }

    fn write_response(
        &self,
        result: Result<Response<Body>, CallFailure>,
        _is_closing: bool,
    ) -> Response<Body> {
        result.unwrap_or_else(CallFailure::into_response)
    }
}

/// Interface to backend servers that echo the request id, and state whether they did not run a
/// request.
pub struct TestBackendInterface;

impl BackendInterface for TestBackendInterface {
    fn write_headers(&self, head: &mut request::Parts, request: &BackendRequest<'_>) {
        head.headers.insert("x-ms", request.context.deadline_ms.into());
    }

    fn correlation_tag(&self, map: &HeaderMap) -> Option<HeaderValue> {
        map.get("x-id").cloned()
    }

    fn classify_response(
        &self,
        tag: Option<&HeaderValue>,
        head: &response::Parts,
    ) -> ResponseVerdict {
        if head.headers.contains_key("x-not-run") {
            ResponseVerdict::NotRun { retry_after_ms: 0 }
        } else if head.headers.get("x-id") == tag {
            ResponseVerdict::Matching
        } else {
            ResponseVerdict::Mismatched
        }
    }

    fn read_notice(&self, head: &response::Parts) -> Option<ServerNotice> {
        let limit = head.headers.get("x-limit").and_then(|value| value.to_str().ok()?.parse().ok());
        let is_leaving = head.headers.contains_key("x-leaving");
        Some(ServerNotice { max_requests_per_s: limit, is_leaving })
    }

    fn allows_close_delimited_body(&self) -> bool {
        true
    }

    fn allows_trailing_bytes(&self) -> bool {
        true
    }
}
