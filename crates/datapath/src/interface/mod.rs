//! What callers and backend servers speak: the project's own headers, or those of a platform that
//! an adapter translates. See `docs/platform.md`.

mod backend_interface;
mod caller_interface;
mod inbound;
mod own_backend_interface;
mod own_caller_interface;
mod routed_requests;

pub use backend_interface::AnswerVerdict;
pub use backend_interface::BackendInterface;
pub use backend_interface::BackendRequest;
pub use caller_interface::CallerInterface;
pub use inbound::Inbound;
pub use own_backend_interface::OwnBackendInterface;
pub use own_caller_interface::OwnCallerInterface;
pub use routed_requests::RoutedRequest;
pub use routed_requests::RoutedRequests;
