//! Names of the headers in `docs/design.md`, sections 3.1 and 3.2.

use http::HeaderName;

/// Prefix of the names of all headers of the data path, except for the idempotency key, whose name
/// is in common use.
pub const PREFIX: &str = "tarragon-";
/// Service to which a caller addresses a request.
pub const SERVICE: HeaderName = HeaderName::from_static("tarragon-service");
/// Request id, 32 hexadecimal digits.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("tarragon-request-id");
/// Execution that sends a call, 16 hexadecimal digits.
pub const SPAN: HeaderName = HeaderName::from_static("tarragon-span");
/// Time left until the deadline, in ms.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("tarragon-deadline-ms");
/// Importance rank, 0 is the most important.
pub const IMPORTANCE: HeaderName = HeaderName::from_static("tarragon-importance");
/// Number of hops so far.
pub const DEPTH: HeaderName = HeaderName::from_static("tarragon-depth");
/// Idempotency key of a non-idempotent operation.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `Idempotency-Key` of a request whose operation has no use for it, and which is passed on unchanged;
/// between nodes only.
pub const UNUSED_KEY: HeaderName = HeaderName::from_static("tarragon-unused-key");
/// Instance of the node to which an attempt is addressed; between nodes only.
pub const TARGET: HeaderName = HeaderName::from_static("tarragon-target");
/// Number of the attempt; between nodes only.
pub const ATTEMPT: HeaderName = HeaderName::from_static("tarragon-attempt");
/// Kind of request, for which run times are estimated; between nodes only.
pub const KIND: HeaderName = HeaderName::from_static("tarragon-kind");
/// Retry tokens lent with a call or returned with its response; between nodes only.
pub const RETRY_TOKENS: HeaderName = HeaderName::from_static("tarragon-retry-tokens");
/// Share of the caller's runs that repeat earlier ones, in thousandths, or 1,000 if the request is
/// itself a repeat; between nodes only.
pub const REPEAT_SHARE: HeaderName = HeaderName::from_static("tarragon-repeat-share");
/// Keyed hash over the context; between nodes only.
pub const MAC: HeaderName = HeaderName::from_static("tarragon-mac");
/// Outcome of the request, in every response.
pub const OUTCOME: HeaderName = HeaderName::from_static("tarragon-outcome");
/// Reason for an outcome other than `answered`.
pub const REASON: HeaderName = HeaderName::from_static("tarragon-reason");
/// Time after which a retry may succeed, in ms; between nodes only. `Retry-After` has only whole
/// seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("tarragon-retry-after-ms");
/// Load advice: what the responding gate currently admits; between nodes only.
pub const ADVICE: HeaderName = HeaderName::from_static("tarragon-advice");
/// Mean run time of the kind of request at the responding gate; between nodes only.
pub const RUN_TIME: HeaderName = HeaderName::from_static("tarragon-run-time");
/// Notice of the backend server behind the responding gate, or the notice that the calling node
/// knows of that server; between nodes only.
pub const NOTICE: HeaderName = HeaderName::from_static("tarragon-notice");
/// Fingerprint of the content of the request; between nodes only.
pub const FINGERPRINT: HeaderName = HeaderName::from_static("tarragon-fingerprint");
/// Records of requests under which backend servers have crashed; between nodes only.
pub const CRASHES: HeaderName = HeaderName::from_static("tarragon-crashes");
/// Requests per second that a backend server takes from all nodes together, in its responses.
pub const MAX_REQUESTS_PER_S: HeaderName = HeaderName::from_static("tarragon-max-requests-per-s");
/// Present, with any value, in the responses of a backend server that is about to end.
pub const LEAVING: HeaderName = HeaderName::from_static("tarragon-leaving");
