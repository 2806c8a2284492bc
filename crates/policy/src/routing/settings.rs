use serde::Deserialize;
use serde::Serialize;

/// Settings of [`AdaptiveRouter`](crate::routing::AdaptiveRouter).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdaptiveRouterSettings {
    /// Time constant with which the latency estimate rises after slower answers, in µs.
    pub rise_us: u64,
    /// Time constant with which the latency estimate falls after faster answers, in µs. Longer than
    /// `rise_us`, so that a server with intermittent slowness is not preferred in between.
    pub fall_us: u64,
    /// Time constant with which the latency estimate of a server without calls returns to the
    /// median of the servers that can take the request, in ms, so that a node with little traffic
    /// tries the server again.
    pub forget_ms: u64,
    /// Latency estimate from which a server is slow, in percent of the median estimate of the
    /// servers that can take the request.
    pub slow_percent: u32,
    /// Latency estimate below which a slow server has recovered, in percent of the median estimate
    /// of those servers. Lower than `slow_percent`, so that noise does not restart the ramp.
    pub recovered_percent: u32,
    /// Minimum time between two probes of a slow server, in ms.
    pub probe_interval_ms: u64,
    /// Minimum number of requests to the service between two probes of a server while it stays
    /// slow. With one probe in 400 requests, even slow probes do not raise the 99th percentile.
    pub probe_spacing: u32,
    /// Number of consecutive calls that fail, or are refused without advice, after which a server
    /// is avoided.
    pub failure_limit: u32,
    /// Time for which a server that reaches `failure_limit` is avoided, in ms.
    pub failing_ms: u64,
    /// Share of random selections that include a server at the start of its ramp, in percent.
    pub ramp_start_percent: u32,
    /// Duration of the ramp of a server that is new or returns from a drain or cold start, in ms.
    pub ramp_ms: u64,
    /// Duration of the ramp of a server that was slow, failing or suspect, in ms.
    pub recovery_ramp_ms: u64,
    /// Time over which admission advice decays to "admit all", in ms.
    pub advice_decay_ms: u64,
    /// Time for which the local data centre must be able to serve before requests return to it, in
    /// ms.
    pub return_after_ms: u64,
    /// Time over which the share of returning requests then grows to 100%, in ms.
    pub return_ramp_ms: u64,
    /// Delay before a caller should retry when there is no server, in ms. Membership reports a new
    /// server within about a second.
    pub no_server_retry_ms: u64,
    /// Number of recorded peer states above which those of peers that are not candidates are
    /// dropped.
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
