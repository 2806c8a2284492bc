//! Node processes, relays between them, fake backend servers and clients for the tests.

mod addresses;
mod backend;
mod caller;
mod cluster;
mod daemon;
mod http2;
mod memory;
mod network;
mod notes;
mod operator;
mod wait;

pub use backend::FakeBackend;
pub use caller::issued_key;
pub use caller::send_view;
pub use caller::CallerRequest;
pub use cluster::Cluster;
pub use daemon::Daemon;
pub use http2::http2_frame;
pub use http2::HTTP2_CONTINUATION;
pub use http2::HTTP2_DATA;
pub use http2::HTTP2_HEADERS;
pub use http2::HTTP2_PING;
pub use http2::HTTP2_SETTINGS;
pub use memory::peak_memory_kib;
pub use memory::MAX_MEMORY_KIB;
pub use network::LinkFaults;
pub use network::RelayNetwork;
pub use notes::first_note;
pub use notes::next_note;
pub use operator::OperatorClient;
pub use wait::wait_until;
