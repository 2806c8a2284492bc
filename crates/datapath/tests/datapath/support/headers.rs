use http::request;
use http::request::Parts;
use http::response;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use tarragon_datapath::datapath::DataPathSettings;
use tarragon_datapath::interface::AnswerVerdict;
use tarragon_datapath::interface::BackendInterface;
use tarragon_datapath::interface::BackendRequest;
use tarragon_datapath::interface::CallerInterface;
use tarragon_datapath::interface::Inbound;
use tarragon_datapath::interface::RoutedRequest;
use tarragon_datapath::interface::RoutedRequests;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::Failure;
use tarragon_model::catalogue::Catalogue;
use tarragon_policy::once::CallerDigest;

/// Headers of callers as a platform might have them: an id, and routes by host and path.
#[derive(Default)]
pub struct TestCallerInterface(RoutedRequests);

impl CallerInterface for TestCallerInterface {
    fn read(
        &self,
        parts: &mut Parts,
        catalogue: &Catalogue,
        _settings: &DataPathSettings,
    ) -> Result<Inbound, Failure> {
        let text =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let request = RoutedRequest {
            label: text("x-id").unwrap_or(""),
            host: text("x-host").unwrap_or(""),
            path: parts.uri.path(),
            deadline_ms: None,
        };
        self.0.read(&request, catalogue)
    }

    fn caller(&self, _parts: &Parts) -> Option<CallerDigest> {
        None
    }

    fn issues_keys(&self) -> bool {
        false
    }

    fn answer(&self, result: Result<Response<Body>, Failure>, _is_closing: bool) -> Response<Body> {
        result.unwrap_or_else(Failure::into_response)
    }
}

/// Headers of backend servers that echo the id and say if they did not run a request.
pub struct TestBackendInterface;

impl BackendInterface for TestBackendInterface {
    fn write(&self, head: &mut request::Parts, about: &BackendRequest<'_>) {
        head.headers.insert("x-ms", about.context.deadline_ms.into());
    }

    fn tag(&self, map: &HeaderMap) -> Option<HeaderValue> {
        map.get("x-id").cloned()
    }

    fn judge(&self, tag: Option<&HeaderValue>, head: &response::Parts) -> AnswerVerdict {
        if head.headers.contains_key("x-not-run") {
            AnswerVerdict::NotRun { retry_after_ms: 0 }
        } else if head.headers.get("x-id") == tag {
            AnswerVerdict::Own
        } else {
            AnswerVerdict::Foreign
        }
    }

    fn allows_unframed(&self) -> bool {
        true
    }

    fn allows_surplus(&self) -> bool {
        true
    }
}
