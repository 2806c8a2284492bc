//! Names of the headers in `docs/design.md`, sections 3.1 and 3.2.

use http::HeaderName;

/// What the names of all headers of the data path begin with, but for that of the idempotency key, which
/// is a common one.
pub const PREFIX: &str = "tarragon-";
/// Names the service that a caller wants.
pub const SERVICE: HeaderName = HeaderName::from_static("tarragon-service");
/// Request id, 32 hexadecimal digits.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("tarragon-request-id");
/// Execution that makes a call, 16 hexadecimal digits.
pub const SPAN: HeaderName = HeaderName::from_static("tarragon-span");
/// Time left, in ms.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("tarragon-deadline-ms");
/// Importance rank, 0 is the most important.
pub const IMPORTANCE: HeaderName = HeaderName::from_static("tarragon-importance");
/// Hops so far.
pub const DEPTH: HeaderName = HeaderName::from_static("tarragon-depth");
/// Key of a non-idempotent operation.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Instance that an attempt is addressed to; between nodes only.
pub const TARGET: HeaderName = HeaderName::from_static("tarragon-target");
/// Number of the attempt; between nodes only.
pub const ATTEMPT: HeaderName = HeaderName::from_static("tarragon-attempt");
/// Kind of request, by which run times are learnt; between nodes only.
pub const KIND: HeaderName = HeaderName::from_static("tarragon-kind");
/// Retry tokens lent with a call or returned with its answer; between nodes only.
pub const RETRY_TOKENS: HeaderName = HeaderName::from_static("tarragon-retry-tokens");
/// Share of the caller's runs that repeat earlier ones, in thousandths; 1,000 on a repeat itself.
/// Between nodes only.
pub const REPEAT_SHARE: HeaderName = HeaderName::from_static("tarragon-repeat-share");
/// Keyed hash over the context; between nodes only.
pub const MAC: HeaderName = HeaderName::from_static("tarragon-mac");
/// Outcome of the request, on every answer.
pub const OUTCOME: HeaderName = HeaderName::from_static("tarragon-outcome");
/// Reason for an outcome other than `answered`.
pub const REASON: HeaderName = HeaderName::from_static("tarragon-reason");
/// When another try may succeed, in ms; between nodes only, since `Retry-After` counts whole seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("tarragon-retry-after-ms");
/// What the answering gate currently admits; between nodes only.
pub const ADVICE: HeaderName = HeaderName::from_static("tarragon-advice");
