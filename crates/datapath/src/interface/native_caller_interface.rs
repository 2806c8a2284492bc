use std::time::Duration;
use std::time::Instant;

use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::HOST;
use http::request::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Uri;
use tarragon_model::call::headers;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_model::catalogue::Catalogue;
use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::admission::WorkClass;
use tarragon_policy::once::CallerDigest;

use crate::datapath::DataPathSettings;
use crate::interface::CallerInterface;
use crate::interface::InboundRequest;
use crate::transport::header_bytes;
use crate::transport::strip_hop_headers;
use crate::transport::strip_tarragon_headers;
use crate::transport::Body;
use crate::transport::CallFailure;
use crate::transport::RemoteAddress;

/// Uses the native headers of this project, see `docs/CALLERS.md`.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeCallerInterface;

impl CallerInterface for NativeCallerInterface {
    fn read_request(
        &self,
        parts: &mut Parts,
        catalogue: &Catalogue,
        settings: &DataPathSettings,
    ) -> Result<InboundRequest, CallFailure> {
        let uri_bytes = parts.uri.path_and_query().map_or(1, |path| path.as_str().len());
        if header_bytes(&parts.headers) + uri_bytes > settings.max_header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(CallFailure::with_status(Reason::BadRequest, status));
        }
        let service = service_name(parts).ok_or(Reason::UnknownService)?;
        let spec = catalogue.services().get(&service).ok_or(Reason::UnknownService)?;
        let found = catalogue.find_operation(&service, parts.method.as_str(), parts.uri.path());
        let found = found.ok_or(Reason::UnknownOperation)?;
        let is_idempotent = found.operation.idempotent;
        let is_long = found.operation.expected_ms >= settings.long_work_ms;
        let ranks = spec.operations.iter().map(|operation| catalogue.rank(&operation.kind));
        let now = Instant::now();
        let limit_ms = settings.max_deadline_ms;
        let requested_ms = requested_deadline_ms(&parts.headers)?;
        let inbound = InboundRequest {
            caller_request_id: String::new(),
            calling_service: String::new(),
            rank: found.rank,
            lowest_rank: ranks.max().unwrap_or(u8::MAX),
            is_idempotent,
            class: if is_long { WorkClass::Long } else { WorkClass::Short },
            requested_deadline: requested_ms
                .map(|ms| now + Duration::from_millis(ms.min(limit_ms))),
            caller_deadline: requested_ms.map(|ms| now + Duration::from_millis(ms)),
            default_deadline: now + Duration::from_millis(spec.default_deadline_ms.min(limit_ms)),
            key: if is_idempotent { None } else { idempotency_key(&parts.headers)? },
            max_attempts: None,
            kind: 0,
            revision: catalogue.revision(),
            max_body_bytes: u64::MAX,
            service,
        };
        strip_hop_headers(&mut parts.headers);
        strip_tarragon_headers(&mut parts.headers);
        parts.uri = parts.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        Ok(inbound)
    }

    /// Identifies callers by their credentials, or by their IP address if they send none.
    fn caller_digest(&self, parts: &Parts) -> Option<CallerDigest> {
        let address = parts.extensions.get::<RemoteAddress>();
        let hash = match (parts.headers.get(AUTHORIZATION), address) {
            (Some(credentials), _) => blake3::hash(credentials.as_bytes()),
            (None, Some(RemoteAddress(address))) => {
                blake3::hash(address.ip().to_string().as_bytes())
            }
            (None, None) => blake3::hash(&[]),
        };
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash.as_bytes()[..16]);
        Some(CallerDigest(digest))
    }

    fn has_idempotency_key(&self, map: &HeaderMap) -> bool {
        map.contains_key(headers::IDEMPOTENCY_KEY)
    }

    fn issues_keys(&self) -> bool {
        true
    }

    fn write_response(
        &self,
        result: Result<Response<Body>, CallFailure>,
        is_closing: bool,
    ) -> Response<Body> {
        let mut response = match result {
            Ok(mut response) => {
                let value = HeaderValue::from_static(Outcome::Answered.as_str());
                response.headers_mut().insert(headers::OUTCOME, value);
                response
            }
            Err(failure) => failure.into_response(),
        };
        if is_closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Name of the service from its header, or else from the first label of the host name.
fn service_name(parts: &Parts) -> Option<String> {
    if let Some(value) = parts.headers.get(headers::SERVICE) {
        return value.to_str().ok().map(str::to_string);
    }
    let host = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let label = host.split(['.', ':']).next().unwrap_or("");
    Some(label.to_ascii_lowercase())
}

fn requested_deadline_ms(map: &HeaderMap) -> Result<Option<u64>, CallFailure> {
    let Some(value) = map.get(headers::DEADLINE_MS) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| Reason::BadRequest.into())
}

fn idempotency_key(map: &HeaderMap) -> Result<Option<IdempotencyKey>, CallFailure> {
    let mut values = map.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(IdempotencyKey::parse);
    // With two keys it is ambiguous which one applies.
    let is_single = values.next().is_none();
    parsed.filter(|_| is_single).map(Some).ok_or_else(|| Reason::BadRequest.into())
}
