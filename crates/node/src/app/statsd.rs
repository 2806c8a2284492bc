use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use error_stack::Report;
use error_stack::ResultExt;
use tarragon_datapath::datapath::Metrics;

use crate::app::NodeError;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "tarragon";

/// Maximum number of metrics that wait to be sent. Further ones are dropped, because metrics must
/// not block requests.
const MAX_QUEUED_METRICS: usize = 65_536;

/// Sends metrics to a StatsD address.
pub struct StatsdMetrics {
    client: StatsdClient,
}

impl StatsdMetrics {
    /// Opens a UDP socket for sending to the address. Every metric carries the name of the node as
    /// a tag.
    ///
    /// # Errors
    /// The socket cannot be opened.
    pub fn open(address: SocketAddr, node: &str) -> Result<Self, Report<NodeError>> {
        let local_address = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local_address).change_context(NodeError::Bind("metrics"))?;
        socket.set_nonblocking(true).change_context(NodeError::Bind("metrics"))?;
        let udp = BufferedUdpMetricSink::from(address, socket)
            .change_context(NodeError::Bind("metrics"))?;
        let sink = QueuingMetricSink::with_capacity(udp, MAX_QUEUED_METRICS);
        let client = StatsdClient::builder(METRIC_PREFIX, sink).with_tag("node", node).build();
        Ok(Self { client })
    }
}

impl Metrics for StatsdMetrics {
    fn count(&self, name: &'static str, amount: u64) {
        // A metric is dropped if the queue is full.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    fn record_duration_us(&self, name: &'static str, duration_us: u64) {
        let _ = self.client.time(name, Duration::from_micros(duration_us));
    }
}
