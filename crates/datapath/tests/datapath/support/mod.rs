//! Test support: nodes, fake backend servers, a relay and an HTTP client.

mod client;
mod cluster;
mod crashing_backend;
mod fake_backend;
mod headers;
mod policies;
mod relay;

pub use client::request;
pub use client::send;
pub use client::Reply;
pub use cluster::Cluster;
pub use cluster::Node;
pub use crashing_backend::CrashingBackend;
pub use fake_backend::start_closing_backend;
pub use fake_backend::start_keep_alive_backend;
pub use fake_backend::text_response;
pub use fake_backend::FakeBackend;
pub use headers::TestBackendInterface;
pub use headers::TestCallerInterface;
pub use relay::Relay;
