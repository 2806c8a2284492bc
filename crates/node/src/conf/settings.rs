use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use tarragon_control::replica::ControlReplica;

/// Settings of one node. `docs/OPERATIONS.md` describes each field for operators.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique in the deployment.
    pub node_name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Addresses at which other nodes reach this one, where they differ from `listen`.
    #[serde(default)]
    pub advertise: AdvertisedAddresses,
    /// Membership addresses of some other nodes, used to join the deployment.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Initial control replicas of the deployment; may be empty if `formation` is set.
    #[serde(default)]
    pub control_replicas: Vec<ControlReplica>,
    /// Automatic formation of the replicated log; if absent, an operator initializes the log.
    #[serde(default)]
    pub formation: Option<FormationSettings>,
    /// Directory for durable state. A node with this setting is a control replica.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Number of control replicas that may lose their disks at the same time. It must be the same on
    /// all nodes. The log keeps every release note on more disks than that.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// File with the secret that all nodes of the deployment share.
    pub deployment_key_file: PathBuf,
    /// File with the secret that authorizes operators' commands.
    pub operator_key_file: PathBuf,
    /// StatsD address to which metrics are sent; if absent, none are sent.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Address at which metrics are served in the OpenMetrics text format; if absent, they are not
    /// served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Settings of the log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits of the data path.
    #[serde(default)]
    pub limits: DataPathLimits,
}

/// One disk at a time, which three control replicas tolerate.
fn default_tolerated_losses() -> usize {
    1
}

impl NodeSettings {
    /// Address at which other nodes reach the control API of this one.
    pub fn control_address(&self) -> SocketAddr {
        self.advertise.control_address.unwrap_or(self.listen.control_address)
    }
}

/// Addresses that a node listens on. Other nodes reach it at the same addresses unless
/// [`AdvertisedAddresses`] overrides them.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// HTTP/1.1 for callers.
    pub caller_address: SocketAddr,
    /// HTTP/1.1 for outgoing calls of the local backend server.
    pub exit_address: SocketAddr,
    /// HTTP/2 for other nodes.
    pub peer_address: SocketAddr,
    /// UDP for membership.
    pub gossip_address: SocketAddr,
    /// HTTP/1.1 for operators' commands and announcements of the local backend server.
    pub control_address: SocketAddr,
    /// TCP between control replicas; required with `data_dir`.
    #[serde(default)]
    pub replica_address: Option<SocketAddr>,
}

/// Addresses that are announced to other nodes in place of the listen addresses, for a host behind
/// network address translation or a relay.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertisedAddresses {
    /// Replaces `listen.peer_address`.
    pub peer_address: Option<SocketAddr>,
    /// Replaces `listen.gossip_address`.
    pub gossip_address: Option<SocketAddr>,
    /// Replaces `listen.control_address`.
    pub control_address: Option<SocketAddr>,
    /// Replaces `listen.replica_address`.
    pub replica_address: Option<SocketAddr>,
}

/// Automatic formation of the replicated log, whose configuration then follows the hosts that run
/// control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// Whether the whole deployment starts for the first time, with empty data directories.
    #[serde(default)]
    pub is_first_start: bool,
    /// Control addresses of the replicas that form the log; they must be the same on every node.
    pub founders: Vec<SocketAddr>,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Settings of the log output.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Filter of log events, for example `info` or `info,tarragon_datapath::gate=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Human, filter: "info".into() }
    }
}

/// Model by which the load of backend servers is estimated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadModel {
    /// By measured latency, for servers that report little about their load.
    #[default]
    Learnt,
    /// By the slots that servers announce, for requests with widely varying run times.
    Slots,
}

/// Limits of the data path.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DataPathLimits {
    /// Maximum number of retries in the whole call tree of one request.
    pub retry_tokens: u32,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u32,
    /// Maximum number of open connections from callers.
    pub max_caller_connections: u32,
    /// Maximum number of open connections to the local backend server.
    pub max_backend_connections: u32,
    /// Time without a heartbeat response after which a connection to a peer is replaced, in ms.
    pub heartbeat_timeout_ms: u64,
    /// Time for which an idempotency key, its claim in the replicated log and the response are
    /// kept, in s. It must be the same on all nodes.
    pub key_retention_s: u64,
    /// Minimum expected run time of requests of the long work class, in ms.
    pub long_work_ms: u64,
    /// Idle time after which a connection to the backend server is not reused, in ms.
    pub backend_idle_ms: u64,
    /// Time for which callers and other nodes are still served after a stop was requested, so that
    /// they can switch to other nodes, in ms.
    pub drain_notice_ms: u64,
    /// Last part of `drain_notice_ms`, in which the backend server is announced as draining, so
    /// that other nodes send it no more requests, in ms.
    pub gate_notice_ms: u64,
    /// Time after a stop was requested at which the process is killed if it still runs, in ms.
    pub stop_timeout_ms: u64,
    /// Model by which the load of backend servers is estimated.
    pub load_model: LoadModel,
    /// Maximum retries for a service, in percent of its requests.
    pub retry_percent: u32,
    /// Retries that this node may make for a service in each window regardless of the number of
    /// requests.
    pub retry_floor: u32,
    /// Window over which requests and retries of a service are counted, in ms.
    pub retry_window_ms: u64,
}

impl Default for DataPathLimits {
    fn default() -> Self {
        Self {
            retry_tokens: 3,
            max_head_bytes: 32 << 10,
            max_caller_connections: 4096,
            max_backend_connections: 550,
            heartbeat_timeout_ms: 1500,
            key_retention_s: 86_400,
            long_work_ms: 1000,
            backend_idle_ms: 10_000,
            drain_notice_ms: 1_500,
            gate_notice_ms: 1_500,
            stop_timeout_ms: 90_000,
            load_model: LoadModel::Learnt,
            retry_percent: 10,
            retry_floor: 3,
            retry_window_ms: 10_000,
        }
    }
}
