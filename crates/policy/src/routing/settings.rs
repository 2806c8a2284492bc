use serde::Deserialize;
use serde::Serialize;

/// Settings of [`AdaptiveRouter`](crate::routing::AdaptiveRouter).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdaptiveRouterSettings {
    /// Time constant with which the latency estimate follows slower answers, in µs.
    pub rise_us: u64,
    /// Time constant with which it follows faster answers, in µs. It is longer, so that a server
    /// that is slow now and then stays unattractive in between.
    pub fall_us: u64,
    /// Time constant with which the estimate of a server without calls returns to that of its
    /// peers, in ms, so that a node with little traffic tries it again.
    pub forget_ms: u64,
    /// A server is slow from this multiple of its peers' median estimate, in percent.
    pub slow_percent: u32,
    /// A slow server is no longer slow below this multiple, in percent. It is lower than
    /// `slow_percent` so that noise does not restart the ramp.
    pub recovered_percent: u32,
    /// Least time between two probes of a slow server, in ms.
    pub probe_interval_ms: u64,
    /// Least number of requests to the service between two probes of a server in one slow spell.
    /// One in 400 leaves the 99th percentile to the other servers even when every probe is slow.
    pub probe_spacing: u32,
    /// Calls in succession that fail, or are refused without advice, after which a server is
    /// avoided.
    pub failure_limit: u32,
    /// Time for which it is avoided, in ms.
    pub failing_ms: u64,
    /// Share of draws that a server takes part in at the start of its ramp, in percent.
    pub ramp_start_percent: u32,
    /// Ramp of a server that is new or back from a drain or cold start, in ms.
    pub ramp_ms: u64,
    /// Ramp of a server that was slow, failing or suspect, in ms.
    pub recovery_ramp_ms: u64,
    /// Time in which advice decays to "admit all", in ms.
    pub advice_decay_ms: u64,
    /// Time for which the own data centre must be able to serve before work returns to it, in ms.
    pub return_after_ms: u64,
    /// Time over which the returning share then grows to all, in ms.
    pub return_ramp_ms: u64,
    /// When a caller should try again if there is no server, in ms. Membership learns of a new
    /// server within about a second.
    pub no_server_retry_ms: u64,
    /// Most peers whose state is kept without being a candidate.
    pub max_peers: usize,
}

impl Default for AdaptiveRouterSettings {
    fn default() -> Self {
        Self {
            rise_us: 10_000,
            fall_us: 200_000,
            forget_ms: 4_000,
            slow_percent: 300,
            recovered_percent: 200,
            probe_interval_ms: 500,
            probe_spacing: 400,
            failure_limit: 5,
            failing_ms: 1_000,
            ramp_start_percent: 10,
            ramp_ms: 5_000,
            recovery_ramp_ms: 500,
            advice_decay_ms: 1_000,
            return_after_ms: 1_000,
            return_ramp_ms: 1_000,
            no_server_retry_ms: 1_000,
            max_peers: 16_384,
        }
    }
}
