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
use tarragon_datapath::transport::RequestBody;
use tarragon_kernel::Kernel;
use tarragon_kernel::KernelError;
use tarragon_kernel::Service;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Upper bound of the first latency bucket, in s. Each further bound doubles it, up to 16 s.
const FIRST_BUCKET_S: f64 = 0.000_5;

/// Number of latency buckets.
const BUCKET_COUNT: u16 = 16;

/// Limits of the metrics listener, which only metrics collectors use.
const LISTENER_LIMITS: Http1Limits = Http1Limits {
    max_header_bytes: 8 * 1_024,
    max_connections: 16,
    write_timeout: Duration::from_secs(10),
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MetricLabels {
    name: &'static str,
}

type HistogramFamily = Family<MetricLabels, Histogram, fn() -> Histogram>;

/// Counters and latency histograms in the OpenMetrics text format.
pub struct PrometheusMetrics {
    registry: Mutex<Registry>,
    counters: Family<MetricLabels, Counter>,
    latencies: HistogramFamily,
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

impl PrometheusMetrics {
    /// Creates a registry without any values.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("tarragon");
        let counters = Family::<MetricLabels, Counter>::default();
        let latencies = HistogramFamily::new_with_constructor(new_histogram);
        registry.register("events", "Events by name", counters.clone());
        registry.register("latency_seconds", "Time spans by name, in s", latencies.clone());
        Self { registry: Mutex::new(registry), counters, latencies }
    }

    fn encode_text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no thread panics while it holds the lock");
        encode(&mut text, &registry).expect("formatting into a string cannot fail");
        text
    }
}

impl Metrics for PrometheusMetrics {
    fn count(&self, name: &'static str, amount: u64) {
        self.counters.get_or_create(&MetricLabels { name }).inc_by(amount);
    }

    fn record_duration_us(&self, name: &'static str, duration_us: u64) {
        self.latencies.get_or_create(&MetricLabels { name }).observe(duration_us as f64 / 1e6);
    }
}

/// Forwards metrics to two backends.
pub struct MetricsPair(pub Arc<dyn Metrics>, pub Arc<dyn Metrics>);

impl Metrics for MetricsPair {
    fn count(&self, name: &'static str, amount: u64) {
        self.0.count(name, amount);
        self.1.count(name, amount);
    }

    fn record_duration_us(&self, name: &'static str, duration_us: u64) {
        self.0.record_duration_us(name, duration_us);
        self.1.record_duration_us(name, duration_us);
    }
}

struct MetricsHandler(Arc<PrometheusMetrics>);

#[async_trait]
impl Http1Handler for MetricsHandler {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Body> {
        let mut response = Response::new(full(self.0.encode_text()));
        let content_type = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }
}

/// Service that serves the metrics of a node over HTTP.
pub struct MetricsListener {
    address: SocketAddr,
    metrics: Arc<PrometheusMetrics>,
}

impl MetricsListener {
    /// Creates the service. Its listener is bound when the service runs.
    pub fn new(address: SocketAddr, metrics: Arc<PrometheusMetrics>) -> Self {
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
        let listener =
            Http1Listener::bind("metrics", self.address, handler, LISTENER_LIMITS, active).await;
        let bind_error = || KernelError::ServiceFailed(format!("metrics at {}", self.address));
        Arc::new(listener.change_context_lazy(bind_error)?).run(kernel, stop).await
    }
}
