//! Nodes, fake backend servers and a client for the tests.

mod client;
mod cluster;
mod fake_backend;
mod headers;
mod policies;
mod relay;

pub use client::request;
pub use client::send;
pub use client::Reply;
pub use cluster::Cluster;
pub use cluster::Node;
pub use fake_backend::open_backend;
pub use fake_backend::raw_backend;
pub use fake_backend::text;
pub use fake_backend::FakeBackend;
pub use headers::TestBackendInterface;
pub use headers::TestCallerInterface;
pub use relay::Relay;
