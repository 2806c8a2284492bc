//! HTTP components shared by the entry, the gate and the peer connections.

mod accept;
mod body;
mod bound_listener;
mod call_failure;
mod executor;
mod guarded_io;
mod hop_headers;
mod http1_listener;
mod log_rate_limiter;
mod rate_limited_warning;
mod replay_body;
mod request_body;
mod unread_body;
mod upload_watch;
mod write_timeout_io;

/// Maximum number of header fields of a message. The limits of the users are in bytes; 100, the default of
/// the HTTP library, is less than they allow.
pub(crate) const MAX_HEADER_FIELDS: usize = 1_024;

pub use body::empty;
pub use body::full;
pub use body::streamed;
pub use body::Body;
pub use body::BoxError;
pub(crate) use bound_listener::BoundListener;
pub use call_failure::CallFailure;
pub use executor::TrackedExecutor;
pub(crate) use guarded_io::GuardedIo;
pub use hop_headers::header_bytes;
pub use hop_headers::move_header;
pub use hop_headers::strip_hop_headers;
pub use hop_headers::strip_tarragon_headers;
pub use http1_listener::Http1Handler;
pub use http1_listener::Http1Limits;
pub use http1_listener::Http1Listener;
pub use http1_listener::RemoteAddress;
pub(crate) use log_rate_limiter::LogRateLimiter;
pub use rate_limited_warning::RateLimitedWarning;
pub use replay_body::ReplayBody;
pub use replay_body::PREFIX_TIMEOUT;
pub use replay_body::SUSPECT_PREFIX_TIMEOUT;
pub use request_body::RequestBody;
pub(crate) use unread_body::UnreadBody;
pub(crate) use upload_watch::UploadWatch;
pub(crate) use write_timeout_io::WriteTimeoutIo;
