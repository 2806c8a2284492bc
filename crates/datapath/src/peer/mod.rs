//! HTTP/2 between nodes: calls, heartbeats and fences.

mod auth;
mod channel;
mod link;
mod peer_body;
mod peer_pool;
mod peer_server;

pub use auth::PeerAuth;
pub use peer_pool::PeerCallError;
pub use peer_pool::PeerPool;
pub use peer_pool::PeerPoolDependencies;
pub use peer_server::PeerServer;

/// Path of a heartbeat request.
pub const HEARTBEAT_PATH: &str = "/tarragon/heartbeat";
/// Path of a fence request.
pub const FENCE_PATH: &str = "/tarragon/fence";

/// Receive window of one stream, in bytes. It bounds what a stalled body keeps in memory.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Receive window of a connection, in bytes. It is many times larger than that of a stream, so
/// that a few stalled bodies do not hold up the others.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
/// Most bytes that one stream buffers for sending.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Cancelled streams that a connection tolerates at once. The library's limits are low because of
/// floods by strangers; between nodes, callers who give up under overload cancel as many.
const MAX_RESET_STREAMS: usize = 100_000;
/// Largest headers of an answer from a peer, in bytes. The library's 16 KB are less than a backend
/// server may send to its own node.
const MAX_ANSWER_HEADER_BYTES: u32 = 512 * 1024;
