use std::fmt;
use std::str::FromStr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::call::headers;
use crate::identity::IdempotencyKey;
use crate::identity::RequestId;
use crate::identity::SpanId;

/// What travels with a request through the call graph, see `docs/design.md`, section 3.2.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallContext {
    /// The same at every hop.
    pub request_id: RequestId,
    /// Execution that makes this call; `None` at the first hop.
    pub span: Option<SpanId>,
    /// Time left, in ms.
    pub deadline_ms: u64,
    /// Importance rank, fixed at the entry for the whole call tree.
    pub importance: u8,
    /// Hops so far.
    pub depth: u8,
    /// Key of a non-idempotent operation.
    pub key: Option<IdempotencyKey>,
}

/// A context header that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContextError {
    /// The header is not there.
    Missing(HeaderName),
    /// The header's value cannot be read.
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
    /// Reads the context from headers.
    ///
    /// # Errors
    /// Names the first header that is missing or malformed. The span and the key may be missing.
    pub fn from_headers(map: &HeaderMap) -> Result<Self, ContextError> {
        Ok(Self {
            request_id: required(map, headers::REQUEST_ID)?,
            span: optional(map, headers::SPAN)?,
            deadline_ms: required(map, headers::DEADLINE_MS)?,
            importance: required(map, headers::IMPORTANCE)?,
            depth: required(map, headers::DEPTH)?,
            key: key_from_headers(map)?,
        })
    }

    /// Writes the context into headers, replacing what is there.
    pub fn write_headers(&self, map: &mut HeaderMap) {
        set(map, headers::REQUEST_ID, &self.request_id);
        match &self.span {
            Some(span) => set(map, headers::SPAN, span),
            None => drop(map.remove(headers::SPAN)),
        }
        set(map, headers::DEADLINE_MS, &self.deadline_ms);
        set(map, headers::IMPORTANCE, &self.importance);
        set(map, headers::DEPTH, &self.depth);
        match &self.key {
            Some(key) => set(map, headers::IDEMPOTENCY_KEY, key),
            None => drop(map.remove(headers::IDEMPOTENCY_KEY)),
        }
    }
}

/// Reads the idempotency key, if there is one.
fn key_from_headers(map: &HeaderMap) -> Result<Option<IdempotencyKey>, ContextError> {
    let Some(value) = map.get(headers::IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().ok().and_then(IdempotencyKey::parse);
    key.map(Some).ok_or(ContextError::Malformed(headers::IDEMPOTENCY_KEY))
}

fn optional<T: FromStr>(map: &HeaderMap, name: HeaderName) -> Result<Option<T>, ContextError> {
    let Some(value) = map.get(&name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(ContextError::Malformed(name))
}

fn required<T: FromStr>(map: &HeaderMap, name: HeaderName) -> Result<T, ContextError> {
    optional(map, name.clone())?.ok_or(ContextError::Missing(name))
}

fn set(map: &mut HeaderMap, name: HeaderName, value: &dyn fmt::Display) {
    let value = HeaderValue::from_str(&value.to_string());
    map.insert(name, value.expect("context values are visible ASCII"));
}
