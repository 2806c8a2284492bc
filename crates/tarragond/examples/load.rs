//! Open-loop load and latency tool.
//!
//! Requests are sent at times that do not depend on the answers, and latency counts from the
//! intended time, so that a slow answer does not hide the requests that waited behind it
//! (coordinated omission). With several targets, the same load goes to them in turns of one slice
//! each, so that a busy machine slows all of them alike; the tool prints the percentiles of each and
//! the differences from the first. Example:
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

/// Largest number of keys that one request may obtain from a node.
const KEYS_PER_REQUEST: u64 = 10_000;

/// Largest latency that is told apart, in µs.
const MAX_LATENCY_US: u64 = 600_000_000;

type BoxError = Box<dyn Error + Send + Sync>;

/// An address to load, and its name in the output.
#[derive(Debug, Clone)]
struct Target {
    name: String,
    address: SocketAddr,
}

impl FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text.split_once('=').ok_or("expected name=address")?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Self { name: name.into(), address })
    }
}

/// Sends requests at a fixed rate and prints latency percentiles.
#[derive(Debug, Clone, Parser)]
struct Arguments {
    /// Target as name=address; may be given several times.
    #[arg(long = "target", required = true)]
    targets: Vec<Target>,
    /// Requests per second to the target whose turn it is.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Measured time for each target, in s.
    #[arg(long, default_value_t = 10)]
    duration_s: u64,
    /// Time for each target before the measurement, in s.
    #[arg(long, default_value_t = 2)]
    warm_up_s: u64,
    /// Length of a turn, in ms.
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
    /// Deadline of each request, in ms; by default the one of the service.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Node that issues an idempotency key for each request.
    #[arg(long)]
    key_address: Option<SocketAddr>,
    /// Most connections to each target; a request that finds none free counts as an error.
    #[arg(long, default_value_t = 512)]
    connections: usize,
    /// Seed of the intervals between requests, which are exponential.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// A request that is due.
struct Due {
    target: usize,
    at: Instant,
    is_measured: bool,
}

/// What was seen of one target.
struct Measured {
    latency_us: Histogram<u64>,
    /// Number of answers by outcome and status, and of errors.
    ends: BTreeMap<String, u64>,
}

impl Default for Measured {
    fn default() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let latency_us = latency_us.expect("the bounds and three digits are valid");
        Self { latency_us, ends: BTreeMap::new() }
    }
}

/// Connections to one target and its results.
struct Lane {
    target: Target,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    open: Mutex<usize>,
    measured: Mutex<Measured>,
}

impl Lane {
    fn new(target: Target) -> Self {
        let (idle, open, measured) = (Mutex::default(), Mutex::new(0), Mutex::default());
        Self { target, idle, open, measured }
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
            *self.open.lock().expect("no holder of the lock panics") -= 1;
        }
        None
    }

    async fn connection(&self, limit: usize) -> Result<SendRequest<Full<Bytes>>, BoxError> {
        if let Some(sender) = self.take_idle() {
            return Ok(sender);
        }
        {
            let mut open = self.open.lock().expect("no holder of the lock panics");
            if *open >= limit {
                return Err("no free connection".into());
            }
            *open += 1;
        }
        let connected = connect(self.target.address).await;
        if connected.is_err() {
            self.close_one();
        }
        connected
    }

    fn close_one(&self) {
        *self.open.lock().expect("no holder of the lock panics") -= 1;
    }

    /// Sends one request. The connection is used again only after a whole answer.
    async fn send(&self, request: Request<Full<Bytes>>, limit: usize) -> Result<String, BoxError> {
        let mut sender = self.connection(limit).await?;
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let outcome = response.headers().get("tarragon-outcome");
            let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("direct");
            let reason = response.headers().get("tarragon-reason");
            let reason = reason.and_then(|value| value.to_str().ok()).unwrap_or("");
            let end = format!("{outcome} {} {reason}", response.status().as_u16());
            response.into_body().collect().await?;
            Ok::<_, BoxError>(end.trim_end().to_string())
        };
        let end = exchange.await;
        if end.is_ok() {
            self.idle.lock().expect("no holder of the lock panics").push(sender);
        } else {
            self.close_one();
        }
        end
    }

    fn record(&self, at: Instant, end: Result<String, BoxError>) {
        let latency_us = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut measured = self.measured.lock().expect("no holder of the lock panics");
        let (end, is_good) = match end {
            Ok(end) => {
                let is_good = end.contains(" 2");
                (end, is_good)
            }
            Err(e) => (format!("error: {e}"), false),
        };
        if is_good {
            measured.latency_us.saturating_record(latency_us);
        }
        *measured.ends.entry(end).or_default() += 1;
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends what is due from a thread of its own, because the timers of the runtime are only as fine
/// as a millisecond.
fn schedule(arguments: &Arguments, due: &mpsc::UnboundedSender<Due>) {
    let mut random = Pcg64Mcg::seed_from_u64(arguments.seed);
    let slice = Duration::from_millis(arguments.slice_ms.max(1));
    let warm_up = Duration::from_secs(arguments.warm_up_s);
    let whole = warm_up + Duration::from_secs(arguments.duration_s);
    let mut done = Duration::ZERO;
    let mut start = Instant::now();
    while done < whole {
        for target in 0..arguments.targets.len() {
            let end = start + slice;
            let mut at = start;
            loop {
                let unit: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
                at += Duration::from_secs_f64(-unit.ln() / arguments.rate);
                if at >= end {
                    break;
                }
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if due.send(Due { target, at, is_measured: done >= warm_up }).is_err() {
                    return;
                }
            }
            thread::sleep(end.saturating_duration_since(Instant::now()));
            start = end;
        }
        done += slice;
    }
}

/// Obtains a key for every request that will be sent.
async fn obtain_keys(arguments: &Arguments) -> Result<Vec<String>, BoxError> {
    let Some(address) = arguments.key_address else { return Ok(Vec::new()) };
    let seconds = arguments.duration_s + arguments.warm_up_s + 1;
    let sent = arguments.rate * seconds as f64 * arguments.targets.len() as f64;
    // The number of requests is random; four standard deviations and some are enough.
    let mut missing = (sent + 4.0 * sent.sqrt()) as u64 + 10;
    let mut keys = Vec::new();
    while missing > 0 {
        let count = missing.min(KEYS_PER_REQUEST);
        let path = format!("/tarragon/keys?service={}&count={count}", arguments.service);
        let request = Request::post(path).header("host", "node").body(Full::default())?;
        let response = connect(address).await?.send_request(request).await?;
        let body = response.into_body().collect().await?.to_bytes();
        let answer: serde_json::Value = serde_json::from_slice(&body)?;
        let issued = answer["keys"].as_array().ok_or("the node issued no keys")?;
        keys.extend(issued.iter().filter_map(|key| key.as_str().map(str::to_string)));
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

async fn run(arguments: Arguments) -> Result<Vec<Arc<Lane>>, BoxError> {
    let lanes: Vec<Arc<Lane>> =
        arguments.targets.iter().map(|target| Arc::new(Lane::new(target.clone()))).collect();
    let mut keys = obtain_keys(&arguments).await?;
    let body = Bytes::from(vec![b'x'; arguments.body_bytes]);
    let (sender, mut due) = mpsc::unbounded_channel();
    let plan = arguments.clone();
    let scheduler = thread::spawn(move || schedule(&plan, &sender));
    let tracker = TaskTracker::new();
    while let Some(Due { target, at, is_measured }) = due.recv().await {
        let key = match arguments.key_address {
            Some(_) => Some(keys.pop().ok_or("the keys are used up")?),
            None => None,
        };
        let request = build_request(&arguments, &body, key)?;
        let (lane, limit) = (Arc::clone(&lanes[target]), arguments.connections);
        tracker.spawn(async move {
            let end = lane.send(request, limit).await;
            if is_measured {
                lane.record(at, end);
            }
        });
    }
    tracker.close();
    tracker.wait().await;
    scheduler.join().map_err(|_| "the scheduler failed")?;
    Ok(lanes)
}

const PERCENTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

fn print(lanes: &[Arc<Lane>], duration_s: u64) {
    let mut first: Option<Vec<u64>> = None;
    for lane in lanes {
        let measured = lane.measured.lock().expect("no holder of the lock panics");
        let latency_us = &measured.latency_us;
        let goodput = latency_us.len() as f64 / duration_s.max(1) as f64;
        println!("{} ({}): goodput {goodput:.1}/s", lane.target.name, lane.target.address);
        for (end, count) in &measured.ends {
            println!("  {count:>9} {end}");
        }
        let values: Vec<u64> =
            PERCENTILES.iter().map(|(_, at)| latency_us.value_at_quantile(*at)).collect();
        let named = PERCENTILES.iter().zip(&values);
        let text: Vec<String> = named.map(|((name, _), us)| format!("{name} {us} us")).collect();
        println!("  {}, max {} us", text.join(", "), latency_us.max());
        match &first {
            None => first = Some(values),
            Some(first) => {
                let pairs = PERCENTILES.iter().zip(first.iter().zip(&values));
                let text: Vec<String> = pairs
                    .map(|((name, _), (base, us))| {
                        let added = i128::from(*us) - i128::from(*base);
                        let ratio = *us as f64 / (*base).max(1) as f64;
                        format!("{name} {added:+} us (x{ratio:.2})")
                    })
                    .collect();
                println!("  difference from {}: {}", lanes[0].target.name, text.join(", "));
            }
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let arguments = Arguments::parse();
    if !(arguments.rate.is_finite() && arguments.rate > 0.0) {
        return Err("the rate must be a positive number".into());
    }
    let duration_s = arguments.duration_s;
    let lanes = run(arguments).await?;
    print(&lanes, duration_s);
    Ok(())
}
