//! HTTP pieces shared by the entry, the gate and the peer connections.

mod accept;
mod body;
mod bound_listener;
mod bounded_log;
mod decision_log;
mod executor;
mod failure;
mod hop_headers;
mod http1_listener;
mod replay_body;
mod stall_io;

pub use body::empty;
pub use body::full;
pub use body::streamed;
pub use body::Body;
pub use body::BoxError;
pub(crate) use bound_listener::BoundListener;
pub(crate) use bounded_log::BoundedLog;
pub(crate) use decision_log::DecisionLog;
pub use executor::TrackedExecutor;
pub use failure::Failure;
pub use hop_headers::header_bytes;
pub use hop_headers::strip_hop_headers;
pub use hop_headers::strip_tarragon_headers;
pub use http1_listener::Http1Handler;
pub use http1_listener::Http1Limits;
pub use http1_listener::Http1Listener;
pub use http1_listener::RemoteAddress;
pub use replay_body::ReplayBody;
pub(crate) use stall_io::StallIo;
