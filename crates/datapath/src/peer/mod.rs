//! HTTP/2 connections between nodes, which carry calls, heartbeats and fences. A fence prevents an
//! attempt that has not started from running.

mod auth;
mod gate_reply;
mod known_notices;
mod managed_connection;
mod peer_body;
mod peer_connection;
mod peer_pool;
mod peer_server;
mod pending_response;
mod stream_executor;

pub use auth::PeerAuth;
pub use peer_pool::PeerCallError;
pub use peer_pool::PeerPool;
pub use peer_pool::PeerPoolDependencies;
pub use peer_server::PeerServer;

/// Path of a heartbeat request.
pub const HEARTBEAT_PATH: &str = "/tarragon/heartbeat";
/// Path of a fence request.
pub const FENCE_PATH: &str = "/tarragon/fence";

/// Receive window of one stream, in bytes. It bounds the memory that a stalled body occupies.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Receive window of a connection, in bytes. It is many times larger than that of a stream, so
/// that a few stalled bodies do not block the other streams.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;
/// Maximum number of bytes that one stream buffers for sending.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Maximum number of cancelled streams that a connection tolerates at a time. The default limits of
/// the HTTP/2 library are low, to protect against reset floods by untrusted clients. Between nodes,
/// as many streams are cancelled when callers disconnect during an overload.
const MAX_RESET_STREAMS: usize = 100_000;
/// Maximum size of the response headers from a peer, in bytes. The default of the HTTP/2 library,
/// 16 KB, is less than what a node accepts from its backend server.
const MAX_RESPONSE_HEADER_BYTES: u32 = 512 * 1024;
