use std::fmt;
use std::str::FromStr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::call::headers;
use crate::identity::IdempotencyKey;
use crate::identity::RequestId;
use crate::identity::SpanId;

/// Context that a request carries through the call graph, see `docs/design.md`, section 3.2.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallContext {
    /// Id of the request, the same at every hop.
    pub request_id: RequestId,
    /// Execution that sends this call; `None` at the first hop.
    pub span: Option<SpanId>,
    /// Time left until the deadline, in ms.
    pub deadline_ms: u64,
    /// Importance rank, assigned at the entry for the whole call tree.
    pub importance: u8,
    /// Number of hops so far.
    pub depth: u8,
    /// Idempotency key of a non-idempotent operation.
    pub key: Option<IdempotencyKey>,
}

/// A context header that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContextError {
    /// The header is missing.
    Missing(HeaderName),
    /// The value of the header cannot be parsed.
    Malformed(HeaderName),
}

impl fmt::Display for ContextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "header '{name}' is missing"),
            Self::Malformed(name) => write!(f, "header '{name}' is malformed"),
        }
    }
}

impl std::error::Error for ContextError {}

impl CallContext {
    /// Parses the context from the headers of a request.
    ///
    /// # Errors
    /// Returns the first header that is missing or malformed. The span and the key are optional.
    pub fn from_headers(header_map: &HeaderMap) -> Result<Self, ContextError> {
        Ok(Self {
            request_id: required_header(header_map, headers::REQUEST_ID)?,
            span: optional_header(header_map, headers::SPAN)?,
            deadline_ms: required_header(header_map, headers::DEADLINE_MS)?,
            importance: required_header(header_map, headers::IMPORTANCE)?,
            depth: required_header(header_map, headers::DEPTH)?,
            key: parse_key(header_map)?,
        })
    }

    /// Writes the context into headers, replacing the values that are there. Without a key, the
    /// `Idempotency-Key` of a caller stays as it is.
    pub fn write_headers(&self, header_map: &mut HeaderMap) {
        set_header(header_map, headers::REQUEST_ID, &self.request_id);
        match &self.span {
            Some(span) => set_header(header_map, headers::SPAN, span),
            None => drop(header_map.remove(headers::SPAN)),
        }
        set_header(header_map, headers::DEADLINE_MS, &self.deadline_ms);
        set_header(header_map, headers::IMPORTANCE, &self.importance);
        set_header(header_map, headers::DEPTH, &self.depth);
        if let Some(key) = &self.key {
            set_header(header_map, headers::IDEMPOTENCY_KEY, key);
        }
    }
}

/// Parses the idempotency key, if there is one.
fn parse_key(header_map: &HeaderMap) -> Result<Option<IdempotencyKey>, ContextError> {
    let Some(value) = header_map.get(headers::IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().and_then(IdempotencyKey::parse);
    key.map(Some).ok_or(ContextError::Malformed(headers::IDEMPOTENCY_KEY))
}

fn optional_header<T: FromStr>(
    header_map: &HeaderMap,
    name: HeaderName,
) -> Result<Option<T>, ContextError> {
    let Some(value) = header_map.get(&name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(ContextError::Malformed(name))
}

fn required_header<T: FromStr>(
    header_map: &HeaderMap,
    name: HeaderName,
) -> Result<T, ContextError> {
    optional_header(header_map, name.clone())?.ok_or(ContextError::Missing(name))
}

fn set_header(header_map: &mut HeaderMap, name: HeaderName, value: &dyn fmt::Display) {
    let value = HeaderValue::from_str(&value.to_string());
    header_map.insert(name, value.expect("context values are visible ASCII"));
}
