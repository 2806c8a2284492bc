//! Interfaces for the HTTP headers that callers and backend servers use: the native headers of
//! this project, or those of a platform, which an adapter translates. See `docs/platform.md`.

mod backend_interface;
mod caller_interface;
mod inbound_request;
mod native_backend_interface;
mod native_caller_interface;
mod route_matcher;

pub use backend_interface::parse_request_rate;
pub use backend_interface::BackendInterface;
pub use backend_interface::BackendRequest;
pub use backend_interface::ResponseVerdict;
pub use caller_interface::CallerInterface;
pub use inbound_request::InboundRequest;
pub use native_backend_interface::NativeBackendInterface;
pub use native_caller_interface::NativeCallerInterface;
pub use route_matcher::RouteMatcher;
pub use route_matcher::RoutedRequest;
