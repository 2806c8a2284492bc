//! Open-loop load generator that measures latency.
//!
//! Send times do not depend on responses, and latency is measured from the intended send time, so
//! that a slow response does not hide the delay of the requests behind it (coordinated omission).
//! Several targets get the same load in alternating time slices, so that other load on the machine
//! affects all of them alike; the tool prints the percentiles of each target and the differences
//! from the first one. Example:
//!
//! ```text
//! cargo run --release --example load -- --target direct=127.0.0.1:9000 \
//!     --target node=127.0.0.1:8080 --service counter --path /stock --rate 500 --duration-s 10
//! ```

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clap::Parser;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

/// Maximum number of idempotency keys that a node issues for one request.
const MAX_KEYS_PER_REQUEST: u64 = 10_000;

/// Upper bound of the latency histograms, in µs; longer latencies count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

type BoxError = Box<dyn Error + Send + Sync>;

/// Address that requests are sent to, and its name in the output.
#[derive(Debug, Clone)]
struct LoadTarget {
    name: String,
    address: SocketAddr,
}

impl FromStr for LoadTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text.split_once('=').ok_or("expected name=address")?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Self { name: name.into(), address })
    }
}

/// Sends requests at a given mean rate and prints latency percentiles.
#[derive(Debug, Clone, Parser)]
struct Arguments {
    /// Target as name=address; may be given several times.
    #[arg(long = "target", required = true)]
    targets: Vec<LoadTarget>,
    /// Mean number of requests per second to the target of the current slice.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration of the measurement for each target, in s.
    #[arg(long, default_value_t = 10)]
    duration_s: u64,
    /// Duration of the load before the measurement for each target, in s.
    #[arg(long, default_value_t = 2)]
    warm_up_s: u64,
    /// Duration of one slice, in ms.
    #[arg(long, default_value_t = 500)]
    slice_ms: u64,
    /// Service to call.
    #[arg(long)]
    service: String,
    /// Method of the requests.
    #[arg(long, default_value = "GET")]
    method: Method,
    /// Path of the requests.
    #[arg(long, default_value = "/")]
    path: String,
    /// Size of the request body, in bytes.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Deadline of each request, in ms; if absent, the default of the service applies.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Address of a node that issues an idempotency key for each request; if absent, requests carry
    /// no key.
    #[arg(long)]
    key_address: Option<SocketAddr>,
    /// Maximum number of connections to each target; a request without a free connection counts as
    /// an error.
    #[arg(long, default_value_t = 512)]
    connections: usize,
    /// Seed of the exponentially distributed intervals between requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// A request that is to be sent now.
struct ScheduledRequest {
    target_index: usize,
    intended_at: Instant,
    is_measured: bool,
}

/// Measurements of one target.
struct Measurements {
    latency_us: Histogram<u64>,
    /// Number of responses by outcome, status and reason, and of errors by message.
    outcome_counts: BTreeMap<String, u64>,
}

impl Default for Measurements {
    fn default() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let latency_us = latency_us.expect("the bounds and three digits are valid");
        Self { latency_us, outcome_counts: BTreeMap::new() }
    }
}

/// Client of one target, with its connections and measurements.
struct TargetClient {
    target: LoadTarget,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    open_connections: Mutex<usize>,
    measurements: Mutex<Measurements>,
}

impl TargetClient {
    fn new(target: LoadTarget) -> Self {
        let (idle_connections, open_connections, measurements) =
            (Mutex::default(), Mutex::new(0), Mutex::default());
        Self { target, idle_connections, open_connections, measurements }
    }

    fn take_idle_connection(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle_connections =
            self.idle_connections.lock().expect("no thread panics while it holds the lock");
        while let Some(sender) = idle_connections.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
            *self.open_connections.lock().expect("no thread panics while it holds the lock") -= 1;
        }
        None
    }

    async fn take_or_open_connection(
        &self,
        max_connections: usize,
    ) -> Result<SendRequest<Full<Bytes>>, BoxError> {
        if let Some(sender) = self.take_idle_connection() {
            return Ok(sender);
        }
        {
            let mut open_connections =
                self.open_connections.lock().expect("no thread panics while it holds the lock");
            if *open_connections >= max_connections {
                return Err("no free connection".into());
            }
            *open_connections += 1;
        }
        let connected = connect(self.target.address).await;
        if connected.is_err() {
            self.forget_connection();
        }
        connected
    }

    fn forget_connection(&self) {
        *self.open_connections.lock().expect("no thread panics while it holds the lock") -= 1;
    }

    /// Sends one request and returns the outcome, status and reason of its response. The connection
    /// is reused only after a complete response.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        max_connections: usize,
    ) -> Result<String, BoxError> {
        let mut sender = self.take_or_open_connection(max_connections).await?;
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let outcome = response.headers().get("tarragon-outcome");
            let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("direct");
            let reason = response.headers().get("tarragon-reason");
            let reason = reason.and_then(|value| value.to_str().ok()).unwrap_or("");
            let summary = format!("{outcome} {} {reason}", response.status().as_u16());
            response.into_body().collect().await?;
            Ok::<_, BoxError>(summary.trim_end().to_string())
        };
        let result = exchange.await;
        if result.is_ok() {
            self.idle_connections
                .lock()
                .expect("no thread panics while it holds the lock")
                .push(sender);
        } else {
            self.forget_connection();
        }
        result
    }

    fn record(&self, intended_at: Instant, result: Result<String, BoxError>) {
        let latency_us = u64::try_from(intended_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut measurements =
            self.measurements.lock().expect("no thread panics while it holds the lock");
        let (outcome, is_success) = match result {
            Ok(outcome) => {
                let is_success = outcome.contains(" 2");
                (outcome, is_success)
            }
            Err(e) => (format!("error: {e}"), false),
        };
        if is_success {
            measurements.latency_us.saturating_record(latency_us);
        }
        *measurements.outcome_counts.entry(outcome).or_default() += 1;
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Emits requests at their intended times. It runs in a separate thread, because the timers of
/// the runtime have a resolution of only one millisecond.
fn schedule_requests(arguments: &Arguments, requests: &mpsc::UnboundedSender<ScheduledRequest>) {
    let mut random = Pcg64Mcg::seed_from_u64(arguments.seed);
    let slice = Duration::from_millis(arguments.slice_ms.max(1));
    let warm_up = Duration::from_secs(arguments.warm_up_s);
    let total = warm_up + Duration::from_secs(arguments.duration_s);
    let mut elapsed = Duration::ZERO;
    let mut slice_start = Instant::now();
    while elapsed < total {
        for target_index in 0..arguments.targets.len() {
            let slice_end = slice_start + slice;
            let mut intended_at = slice_start;
            loop {
                let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
                intended_at += Duration::from_secs_f64(-uniform.ln() / arguments.rate);
                if intended_at >= slice_end {
                    break;
                }
                thread::sleep(intended_at.saturating_duration_since(Instant::now()));
                if requests
                    .send(ScheduledRequest {
                        target_index,
                        intended_at,
                        is_measured: elapsed >= warm_up,
                    })
                    .is_err()
                {
                    return;
                }
            }
            thread::sleep(slice_end.saturating_duration_since(Instant::now()));
            slice_start = slice_end;
        }
        elapsed += slice;
    }
}

/// Obtains an idempotency key for every request that will be sent; none without a key address.
async fn obtain_keys(arguments: &Arguments) -> Result<Vec<String>, BoxError> {
    let Some(address) = arguments.key_address else { return Ok(Vec::new()) };
    let seconds = arguments.duration_s + arguments.warm_up_s + 1;
    let expected_requests = arguments.rate * seconds as f64 * arguments.targets.len() as f64;
    // The number of requests is random; four standard deviations above its mean, and ten more, are
    // enough.
    let mut missing = (expected_requests + 4.0 * expected_requests.sqrt()) as u64 + 10;
    let mut keys = Vec::new();
    while missing > 0 {
        let count = missing.min(MAX_KEYS_PER_REQUEST);
        let path = format!("/tarragon/keys?service={}&count={count}", arguments.service);
        let request = Request::post(path).header("host", "node").body(Full::default())?;
        let response = connect(address).await?.send_request(request).await?;
        let body = response.into_body().collect().await?.to_bytes();
        let response: serde_json::Value = serde_json::from_slice(&body)?;
        let issued_keys =
            response["keys"].as_array().ok_or("the node issued no idempotency keys")?;
        keys.extend(issued_keys.iter().filter_map(|key| key.as_str().map(str::to_string)));
        missing -= count;
    }
    Ok(keys)
}

fn build_request(
    arguments: &Arguments,
    body: &Bytes,
    key: Option<String>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::builder()
        .method(&arguments.method)
        .uri(&arguments.path)
        .header("host", &arguments.service)
        .header("tarragon-service", &arguments.service);
    if let Some(deadline_ms) = arguments.deadline_ms {
        builder = builder.header("tarragon-deadline-ms", deadline_ms);
    }
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(body.clone()))
}

async fn generate_load(arguments: Arguments) -> Result<Vec<Arc<TargetClient>>, BoxError> {
    let clients: Vec<Arc<TargetClient>> = arguments
        .targets
        .iter()
        .map(|target| Arc::new(TargetClient::new(target.clone())))
        .collect();
    let mut keys = obtain_keys(&arguments).await?;
    let body = Bytes::from(vec![b'x'; arguments.body_bytes]);
    let (sender, mut requests) = mpsc::unbounded_channel();
    let scheduler_arguments = arguments.clone();
    let scheduler = thread::spawn(move || schedule_requests(&scheduler_arguments, &sender));
    let tracker = TaskTracker::new();
    while let Some(ScheduledRequest { target_index, intended_at, is_measured }) =
        requests.recv().await
    {
        let key = match arguments.key_address {
            Some(_) => Some(keys.pop().ok_or("no idempotency key is left")?),
            None => None,
        };
        let request = build_request(&arguments, &body, key)?;
        let (client, max_connections) = (Arc::clone(&clients[target_index]), arguments.connections);
        tracker.spawn(async move {
            let result = client.send(request, max_connections).await;
            if is_measured {
                client.record(intended_at, result);
            }
        });
    }
    tracker.close();
    tracker.wait().await;
    scheduler.join().map_err(|_| "the scheduler thread panicked")?;
    Ok(clients)
}

const PERCENTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

fn print_report(clients: &[Arc<TargetClient>], duration_s: u64) {
    let mut first_percentiles: Option<Vec<u64>> = None;
    for client in clients {
        let measurements =
            client.measurements.lock().expect("no thread panics while it holds the lock");
        let latency_us = &measurements.latency_us;
        let goodput = latency_us.len() as f64 / duration_s.max(1) as f64;
        println!("{} ({}): goodput {goodput:.1}/s", client.target.name, client.target.address);
        for (outcome, count) in &measurements.outcome_counts {
            println!("  {count:>9} {outcome}");
        }
        let percentiles_us: Vec<u64> = PERCENTILES
            .iter()
            .map(|(_, quantile)| latency_us.value_at_quantile(*quantile))
            .collect();
        let named_percentiles = PERCENTILES.iter().zip(&percentiles_us);
        let texts: Vec<String> =
            named_percentiles.map(|((name, _), us)| format!("{name} {us} us")).collect();
        println!("  {}, max {} us", texts.join(", "), latency_us.max());
        match &first_percentiles {
            None => first_percentiles = Some(percentiles_us),
            Some(first_percentiles) => {
                let pairs = PERCENTILES.iter().zip(first_percentiles.iter().zip(&percentiles_us));
                let texts: Vec<String> = pairs
                    .map(|((name, _), (first_us, us))| {
                        let added_us = i128::from(*us) - i128::from(*first_us);
                        let ratio = *us as f64 / (*first_us).max(1) as f64;
                        format!("{name} {added_us:+} us (x{ratio:.2})")
                    })
                    .collect();
                println!("  difference from {}: {}", clients[0].target.name, texts.join(", "));
            }
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let arguments = Arguments::parse();
    if !(arguments.rate.is_finite() && arguments.rate > 0.0) {
        return Err("--rate must be a positive number".into());
    }
    let duration_s = arguments.duration_s;
    let clients = generate_load(arguments).await?;
    print_report(&clients, duration_s);
    Ok(())
}
