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
    /// Data centre that the host stands in.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Addresses at which other nodes reach this one, where they differ from `listen`.
    #[serde(default)]
    pub advertise: AdvertisedAddresses,
    /// Membership addresses of some other nodes, to join by.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The control replicas of the deployment when it was set up; may be empty with `formation`.
    #[serde(default)]
    pub control_replicas: Vec<ControlReplica>,
    /// How the replicated log forms itself; without it an operator starts it.
    #[serde(default)]
    pub formation: Option<FormationSettings>,
    /// Folder for durable state; makes this node a control replica.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// File with the secret that the nodes share.
    pub deployment_key_file: PathBuf,
    /// File with the secret that operators' commands carry.
    pub operator_key_file: PathBuf,
    /// StatsD address for metrics; none are sent without it.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Where counters and latency histograms are served as text; nowhere without it.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits of the data path.
    #[serde(default)]
    pub limits: DataPathLimits,
}

impl NodeSettings {
    /// Control address at which other nodes reach this one.
    pub fn control_address(&self) -> SocketAddr {
        self.advertise.control_address.unwrap_or(self.listen.control_address)
    }
}

/// Addresses that a node listens on; other nodes reach it at the same addresses unless
/// [`AdvertisedAddresses`] names others.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// HTTP/1.1 for callers.
    pub caller_address: SocketAddr,
    /// HTTP/1.1 for the calls of the node's own backend server.
    pub exit_address: SocketAddr,
    /// HTTP/2 for other nodes.
    pub peer_address: SocketAddr,
    /// UDP for membership.
    pub gossip_address: SocketAddr,
    /// HTTP/1.1 for operators and announcements.
    pub control_address: SocketAddr,
    /// TCP between control replicas; required with `data_dir`.
    #[serde(default)]
    pub replica_address: Option<SocketAddr>,
}

/// Addresses that other nodes are told instead of the ones listened on, for a host behind an address
/// translation or a relay.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertisedAddresses {
    /// For `listen.peer_address`.
    pub peer_address: Option<SocketAddr>,
    /// For `listen.gossip_address`.
    pub gossip_address: Option<SocketAddr>,
    /// For `listen.control_address`.
    pub control_address: Option<SocketAddr>,
    /// For `listen.replica_address`.
    pub replica_address: Option<SocketAddr>,
}

/// How the replicated log forms itself, and follows the hosts that hold replicas from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// Whether the whole deployment starts for the first time, with empty disks.
    #[serde(default)]
    pub is_first_start: bool,
    /// Control addresses of the replicas that form the log; the same on every node.
    pub founders: Vec<SocketAddr>,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for a terminal.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Log output.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Filter, for example `info` or `tarragond::gate=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Human, filter: "info".into() }
    }
}

/// How the load of backend servers is judged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadModel {
    /// By latency, for servers that tell little of themselves.
    #[default]
    Learnt,
    /// By the slots that servers announce, for requests whose run times differ widely.
    Slots,
}

/// Limits of the data path.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DataPathLimits {
    /// Retries that one request may cost in its whole call tree.
    pub retry_tokens: u32,
    /// Longest head of a request, in bytes.
    pub max_head_bytes: u32,
    /// Most connections from callers at once.
    pub max_caller_connections: u32,
    /// Most connections to the node's own backend server at once.
    pub max_backend_connections: u32,
    /// Time without an answer after which a peer connection is replaced, in ms.
    pub heartbeat_timeout_ms: u64,
    /// Time for which the answer to a keyed request is kept, in s.
    pub key_retention_s: u64,
    /// Expected run time from which work counts as long, in ms.
    pub long_work_ms: u64,
    /// Time for which an idle connection to the backend server may be used again, in ms.
    pub backend_idle_ms: u64,
    /// Time for which callers and other nodes are served after a stop was asked for, so that they
    /// learn of it, in ms.
    pub drain_notice_ms: u64,
    /// The last part of that time, in which other nodes are told to send no more work to the backend
    /// server, in ms.
    pub gate_notice_ms: u64,
    /// How the load of backend servers is judged.
    pub load_model: LoadModel,
    /// Retries that the nodes make for a service, in percent of its requests.
    pub retry_percent: u32,
    /// Retries that this node makes for a service in each window, however few its requests.
    pub retry_floor: u32,
    /// Window over which the retries for a service are counted, in ms.
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
            load_model: LoadModel::Learnt,
            retry_percent: 10,
            retry_floor: 3,
            retry_window_ms: 10_000,
        }
    }
}
