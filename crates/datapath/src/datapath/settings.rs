use std::net::SocketAddr;

/// Settings of the data path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataPathSettings {
    /// Configured name of the node.
    pub node: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for the outgoing calls of the node's own backend server.
    pub exit_address: SocketAddr,
    /// Address of the listener for other nodes.
    pub peer_address: SocketAddr,
    /// Retry tokens of a request that arrives from a caller.
    pub retry_tokens: u32,
    /// Maximum number of hops in a call chain.
    pub max_depth: u8,
    /// Maximum size of the headers of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections from callers; the same limit applies separately to
    /// connections from the node's backend server.
    pub max_caller_connections: usize,
    /// Maximum size of a request body that is buffered for a retry, in bytes.
    pub max_replay_bytes: u64,
    /// Maximum size of a response body that is stored for repeats of its idempotency key, in bytes.
    pub max_stored_answer_bytes: usize,
    /// Longest deadline that a caller may request, in ms from the arrival of the request.
    pub max_deadline_ms: u64,
    /// Time after which the connection of a caller that reads no bytes of its response is closed,
    /// in ms.
    pub caller_write_timeout_ms: u64,
    /// Minimum expected run time of requests of the long work class, in ms.
    pub long_work_ms: u64,
    /// Maximum number of connections to the node's backend server.
    pub max_backend_connections: usize,
    /// Idle time after which a connection to the backend server is not reused, in ms.
    pub backend_idle_ms: u64,
    /// Timeout for opening a connection, in ms.
    pub connect_timeout_ms: u64,
    /// Minimum time between opening two connections to the same peer, in ms.
    pub reconnect_interval_ms: u64,
    /// Interval between heartbeats on a connection to a peer, in ms.
    pub heartbeat_interval_ms: u64,
    /// Time without a heartbeat response after which a connection to a peer is replaced, in ms.
    pub heartbeat_timeout_ms: u64,
    /// Time without a heartbeat response after which other nodes are preferred to the peer, in ms.
    pub suspect_after_ms: u64,
    /// Idle time after which a connection to a peer is closed, in ms.
    pub peer_idle_ms: u64,
    /// Time to wait for the response of a gate beyond the deadline, in ms. The gate itself ends the
    /// call at the deadline.
    pub response_grace_ms: u64,
    /// Timeout for the response to a fence request, in ms.
    pub fence_timeout_ms: u64,
    /// Time for which a gate remembers started attempts after their deadline, in ms.
    pub attempt_retention_ms: u64,
    /// Time for which a gate remembers fenced attempts after their deadline, in ms. It is long
    /// because a copy of the request may be delayed in the network. Fenced attempts are rare, so
    /// few are remembered at a time.
    pub fence_retention_ms: u64,
    /// Maximum number of attempts that a gate remembers.
    pub max_tracked_attempts: usize,
    /// Maximum number of idempotency keys issued in response to one request.
    pub max_issued_keys: u32,
    /// Mean delay before a retry, in ms; each delay is uniformly distributed from zero to twice the
    /// mean.
    pub mean_retry_delay_ms: u64,
    /// Maximum number of concurrent requests on one peer connection.
    pub max_streams: u32,
}

impl DataPathSettings {
    /// Creates settings with the default limits. `addresses` holds the caller, exit and peer
    /// address, in this order.
    pub fn new(
        node: impl Into<String>,
        data_centre: impl Into<String>,
        region: impl Into<String>,
        addresses: [SocketAddr; 3],
    ) -> Self {
        let [caller_address, exit_address, peer_address] = addresses;
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            caller_address,
            exit_address,
            peer_address,
            retry_tokens: 3,
            max_depth: 32,
            max_header_bytes: 32 * 1024,
            max_caller_connections: 4_096,
            max_replay_bytes: 64 * 1024,
            max_stored_answer_bytes: 64 * 1024,
            max_deadline_ms: 3_600_000,
            caller_write_timeout_ms: 30_000,
            long_work_ms: 1_000,
            max_backend_connections: 550,
            backend_idle_ms: 10_000,
            connect_timeout_ms: 1_000,
            reconnect_interval_ms: 100,
            heartbeat_interval_ms: 500,
            heartbeat_timeout_ms: 1_500,
            // TCP retransmits a lost packet after 200 ms, so a single loss does not make a peer
            // suspect.
            suspect_after_ms: 300,
            peer_idle_ms: 60_000,
            response_grace_ms: 50,
            fence_timeout_ms: 2_000,
            attempt_retention_ms: 10_000,
            fence_retention_ms: 600_000,
            max_tracked_attempts: 100_000,
            max_issued_keys: 10_000,
            mean_retry_delay_ms: 5,
            max_streams: 10_000,
        }
    }
}
