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
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the node's own backend server makes its calls.
    pub exit_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Retry tokens of a request that arrives at this entry.
    pub retry_tokens: u32,
    /// Most hops of a call chain.
    pub max_depth: u8,
    /// Largest size of the headers of a request, in bytes.
    pub max_header_bytes: usize,
    /// Most connections from callers at once, and as many from the own backend server.
    pub max_caller_connections: usize,
    /// Largest request body that is kept for a retry, in bytes.
    pub max_replay_bytes: u64,
    /// Largest answer body that is kept for a repeat of its key, in bytes.
    pub max_stored_answer_bytes: usize,
    /// Longest deadline that a caller may ask for, in ms.
    pub max_deadline_ms: u64,
    /// Time after which a caller that takes no bytes of its answer is given up, in ms.
    pub caller_write_timeout_ms: u64,
    /// Expected run time from which work counts as long, in ms.
    pub long_work_ms: u64,
    /// Most connections to the own backend server.
    pub max_backend_connections: usize,
    /// Time after which an idle connection to the backend server is not used again, in ms.
    pub backend_idle_ms: u64,
    /// Longest wait for a new connection, in ms.
    pub connect_timeout_ms: u64,
    /// Least time between two connections to one peer, in ms.
    pub reconnect_interval_ms: u64,
    /// Time between heartbeats on a connection to a peer, in ms.
    pub heartbeat_interval_ms: u64,
    /// Time after which an unanswered connection to a peer is replaced, in ms.
    pub heartbeat_timeout_ms: u64,
    /// Time without an answer to a heartbeat after which other servers are preferred, in ms.
    pub suspect_after_ms: u64,
    /// Time after which an unused connection to a peer is closed, in ms.
    pub peer_idle_ms: u64,
    /// Wait beyond the deadline for the answer of a gate, which ends the call itself, in ms.
    pub answer_grace_ms: u64,
    /// Longest wait for the answer to a fence, in ms.
    pub fence_timeout_ms: u64,
    /// Time for which started attempts are remembered beyond their deadline, in ms.
    pub attempt_retention_ms: u64,
    /// Time for which fenced attempts are remembered beyond their deadline, in ms. It is long,
    /// because a copy may be held up on the way; fenced attempts are rare.
    pub fence_retention_ms: u64,
    /// Most attempts that a gate remembers.
    pub max_tracked_attempts: usize,
    /// Most keys that one request may obtain.
    pub max_issued_keys: u32,
    /// Mean wait before a retry, in ms; each wait is drawn from zero to twice this.
    pub mean_retry_delay_ms: u64,
    /// Most requests that one peer connection carries at once.
    pub max_streams: u32,
}

impl DataPathSettings {
    /// Settings with the default limits and three addresses.
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
            // TCP sends a lost packet again after 200 ms, so one loss raises no suspicion.
            suspect_after_ms: 300,
            peer_idle_ms: 60_000,
            answer_grace_ms: 50,
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
