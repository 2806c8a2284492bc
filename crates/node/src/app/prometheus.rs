use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;
use error_stack::ResultExt;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tarragon_datapath::datapath::Metrics;
use tarragon_datapath::transport::full;
use tarragon_datapath::transport::Body;
use tarragon_datapath::transport::Http1Handler;
use tarragon_datapath::transport::Http1Limits;
use tarragon_datapath::transport::Http1Listener;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Upper bounds of the latency histograms: 0.5 ms, doubled up to 16 s.
const FIRST_BUCKET_S: f64 = 0.000_5;
const BUCKETS: u16 = 16;

/// Limits of the listener, which only collectors use.
const LIMITS: Http1Limits = Http1Limits {
    max_header_bytes: 8 * 1_024,
    max_connections: 16,
    write_timeout: Duration::from_secs(10),
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Name {
    name: &'static str,
}

type Histograms = Family<Name, Histogram, fn() -> Histogram>;

/// Counters and latency histograms that collectors fetch as text.
pub struct PulledMetrics {
    registry: Mutex<Registry>,
    counters: Family<Name, Counter>,
    latencies: Histograms,
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl PulledMetrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("tarragon");
        let counters = Family::<Name, Counter>::default();
        let latencies = Histograms::new_with_constructor(new_histogram);
        registry.register("events", "Events by name", counters.clone());
        registry.register("latency_seconds", "Time spans by name, in s", latencies.clone());
        Self { registry: Mutex::new(registry), counters, latencies }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the lock panics");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    }
}

impl Metrics for PulledMetrics {
    fn count(&self, name: &'static str, amount: u64) {
        self.counters.get_or_create(&Name { name }).inc_by(amount);
    }

    fn record_duration_us(&self, name: &'static str, span_us: u64) {
        self.latencies.get_or_create(&Name { name }).observe(span_us as f64 / 1e6);
    }
}

/// Passes metrics to two receivers.
pub struct MetricsPair(pub Arc<dyn Metrics>, pub Arc<dyn Metrics>);

impl Metrics for MetricsPair {
    fn count(&self, name: &'static str, amount: u64) {
        self.0.count(name, amount);
        self.1.count(name, amount);
    }

    fn record_duration_us(&self, name: &'static str, span_us: u64) {
        self.0.record_duration_us(name, span_us);
        self.1.record_duration_us(name, span_us);
    }
}

struct MetricsHandler(Arc<PulledMetrics>);

#[async_trait]
impl Http1Handler for MetricsHandler {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Body> {
        let mut response = Response::new(full(self.0.text()));
        let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

/// Serves the metrics of a node.
pub struct MetricsListener {
    address: SocketAddr,
    metrics: Arc<PulledMetrics>,
}

impl MetricsListener {
    /// Creates the service; it binds when it runs.
    pub fn new(address: SocketAddr, metrics: Arc<PulledMetrics>) -> Self {
        Self { address, metrics }
    }
}

#[async_trait]
impl Service for MetricsListener {
    fn name(&self) -> &'static str {
        "metrics"
    }

    async fn run(
        self: Arc<Self>,
        kernel: Arc<Kernel>,
        stop: CancellationToken,
    ) -> Result<(), Report<KernelError>> {
        let handler = Arc::new(MetricsHandler(Arc::clone(&self.metrics)));
        let active = TaskTracker::new().token();
        let bound = Http1Listener::bind("metrics", self.address, handler, LIMITS, active).await;
        let failure = || KernelError::ServiceFailed(format!("metrics at {}", self.address));
        Arc::new(bound.change_context_lazy(failure)?).run(kernel, stop).await
    }
}
