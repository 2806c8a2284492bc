//! A small deployment on loopback addresses: the project's daemons, started with the command of the
//! deploy file, and the platform around them (settings files, operator, readiness checks).

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Ports that every host uses on its own loopback address.
pub const INBOUND_PORT: u16 = 18_300;
pub const BACKEND_PORT: u16 = 18_301;
pub const READY_PORT: u16 = 18_302;
pub const OUTBOUND_PORT: u16 = 18_304;
pub const CONTROL_PORT: u16 = 18_306;
pub const FIRST_INTERNAL_PORT: u16 = 18_620;
const LAST_INTERNAL_PORT: u16 = 18_635;
const METRICS_PORT: u16 = 9_464;

/// Bounds of the site thies-oven, which the settings of the processes name as well.
pub const CONTACT_S: f64 = 3.0;
pub const DRAIN_S: f64 = 2.0;
pub const CONVERGE_S: f64 = 2.0;
pub const HEARTBEAT_INTERVAL_S: f64 = 1.5;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A file with one line for each event, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{:9.3} s  {}", self.now_s(), text.as_ref());
        let _ = file.flush();
    }
}

/// Role of a host.
#[derive(Clone, PartialEq, Eq)]
pub enum HostKind {
    Core,
    /// Host with a backend of this service.
    Sidecar(String),
}

/// A host: its address, settings and process.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub kind: HostKind,
    pub zone: String,
    process: Option<Child>,
    starts: u32,
}

impl Host {
    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().expect("the host runs").id()
    }
}

/// All hosts. Dropping it ends their processes.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    pub hosts: Vec<Host>,
    /// Core hosts that the settings of the next start name as seeds.
    pub seeds: Vec<usize>,
    record: Record,
}

impl Deployment {
    /// Prepares hosts with free addresses; none is started. `sidecars` holds service and zone.
    pub fn new(record: &Record, zones: &[&str], sidecars: &[(&str, &str)]) -> Self {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"));
        let folder = PathBuf::from(std::env::var("REVIEW_TEMP").expect("run.sh sets REVIEW_TEMP"));
        let count = zones.len() + sidecars.len();
        let prefix = free_prefix(count);
        let mut hosts = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            hosts.push(Host {
                name: format!(
                    "core-{zone}-{}",
                    1 + zones[..index].iter().filter(|z| z == &zone).count()
                ),
                ip: format!("{prefix}.{}", index + 1),
                kind: HostKind::Core,
                zone: zone.to_string(),
                process: None,
                starts: 0,
            });
        }
        for (index, (service, zone)) in sidecars.iter().enumerate() {
            hosts.push(Host {
                name: format!("sidecar-{zone}-{}", index + 1),
                ip: format!("{prefix}.{}", zones.len() + index + 1),
                kind: HostKind::Sidecar(service.to_string()),
                zone: zone.to_string(),
                process: None,
                starts: 0,
            });
        }
        Self { root, folder, hosts, seeds: vec![0, 1, 2], record: record.clone() }
    }

    fn settings(&self, host: &Host, is_first_start: bool) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.hosts[*seed].ip))
            .collect();
        let zones: BTreeMap<&str, &str> =
            self.hosts.iter().map(|other| (other.zone.as_str(), "thies")).collect();
        let zones: String = zones.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let (ip, name) = (&host.ip, &host.name);
        let (class, local, listen, cpu, memory, fds, disk) = match &host.kind {
            HostKind::Core => (
                "core",
                format!(
                    "serves = [\"control_plane\"]\ninFaultBudget = true\ndataDir = {:?}\n",
                    self.folder.join(name).join("data")
                ),
                String::new(),
                0.3,
                256,
                4096,
                256,
            ),
            HostKind::Sidecar(service) => (
                "sidecar",
                format!(
                    "serves = [\"sidecar\"]\ninFaultBudget = false\napp = \"{ip}:{BACKEND_PORT}\"\n\
                     service = \"{service}\"\n"
                ),
                format!(
                    "inbound = \"{ip}:{INBOUND_PORT}\"\noutbound = \"{ip}:{OUTBOUND_PORT}\"\n\
                     ready = \"{ip}:{READY_PORT}\"\n"
                ),
                0.4,
                260,
                4100,
                0,
            ),
        };
        format!(
            "[local]\nnode = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             ip = \"{ip}\"\nzone = \"{}\"\nregion = \"thies\"\nbootstrap = {is_first_start}\n{local}\
             [local.limits]\ncpuShare = {cpu}\ncores = 1\nmemoryMb = {memory}\nmaxFds = {fds}\n\
             linkMbps = 1000.0\ndiskMb = {disk}\n[network]\n\
             internalPorts = [{FIRST_INTERNAL_PORT},{LAST_INTERNAL_PORT}]\nseeds = [{}]\n\
             [network.listen]\n{listen}control = \"{ip}:{CONTROL_PORT}\"\n[network.zones]\n{zones}\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\n\
             heartbeatIntervalS = {HEARTBEAT_INTERVAL_S}\n[timers]\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\"]\n\
             [timers.faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[timers.bounds]\n\
             seedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 4\ncatchUpS = 4\ndrainS = 2\n\
             graceS = 6\nlossSlackS = 0.2\nconvergeS = 2\nrollbackSlackS = 0.25\nskewMaxS = 5\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 49\nrecoveryS = 15\n",
            host.zone,
            seeds.join(",")
        )
    }

    /// Starts the process of a host with the command of the deploy file.
    pub fn start(&mut self, index: usize, is_first_start: bool) {
        let text = self.settings(&self.hosts[index], is_first_start);
        let folder = self.folder.join(&self.hosts[index].name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = folder.join("node.toml");
        fs::write(&settings, text).expect("the settings can be written");
        let log = OpenOptions::new().create(true).append(true).open(folder.join("log.txt"));
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        let process = Command::new(self.root.join("target/release/tarragond"))
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &folder)
            .env("TARRAGONLOOM_CONFIG", &settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(process) = process else {
            eprintln!("target/release/tarragond cannot be started");
            std::process::exit(COULD_NOT_RUN);
        };
        let host = &mut self.hosts[index];
        host.starts += 1;
        self.record.line(format!(
            "platform starts the process of {} (start {}, bootstrap = {is_first_start})",
            host.name, host.starts
        ));
        host.process = Some(process);
    }

    pub fn start_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.start(index, true);
        }
    }

    /// Ends the process of a host at once.
    pub fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if let Some(mut process) = host.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format!("SIGKILL to the process of {}", host.name));
        }
    }

    /// Ends the process of a host at once, and takes its disk from it.
    pub fn kill_and_wipe(&mut self, index: usize) {
        self.kill(index);
        let name = self.hosts[index].name.clone();
        let removed = fs::remove_dir_all(self.folder.join(&name).join("data"));
        self.record.line(format!("the disk of {name} is lost: {}", removed.is_ok()));
    }

    /// Asks the process of a host to stop, and ends it if it has not within `grace`. Returns whether it
    /// ended by itself.
    pub fn terminate(&mut self, index: usize, grace: Duration) -> bool {
        let pid = self.hosts[index].pid();
        self.record.line(format!("SIGTERM to the process of {}", self.hosts[index].name));
        signal(pid, "TERM");
        let has_ended = wait_until(grace, || !self.is_running(index));
        if has_ended {
            self.record.line(format!("the process of {} has ended", self.hosts[index].name));
            self.hosts[index].process = None;
        } else {
            self.kill(index);
        }
        has_ended
    }

    /// Whether the process of a host still runs.
    pub fn is_running(&mut self, index: usize) -> bool {
        let process = self.hosts[index].process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Control addresses of the core hosts whose processes were started and not ended.
    pub fn core_addresses(&self) -> Vec<SocketAddr> {
        let cores = self.hosts.iter().filter(|host| host.kind == HostKind::Core);
        cores.filter(|host| host.process.is_some()).map(|host| host.address(CONTROL_PORT)).collect()
    }

    /// Sends a configuration until it is acknowledged. Returns whether it was within the limit.
    pub fn configure(&self, document: &str, limit: Duration) -> bool {
        configure(&self.core_addresses(), document, limit, &self.record)
    }

    /// Waits until a host answers its readiness check with 200.
    pub fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        let address = self.hosts[index].address(READY_PORT);
        wait_until(limit, || is_ready(address))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut process) = host.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

/// Sends a configuration to one core host after another until one acknowledges it.
pub fn configure(cores: &[SocketAddr], document: &str, limit: Duration, record: &Record) -> bool {
    let started = Instant::now();
    let mut last = String::new();
    while started.elapsed() < limit {
        for core in cores {
            let head = "POST /api/Config.Put HTTP/1.1\r\nHost: control\r\n\
                        Content-Type: application/json";
            let answer = exchange(*core, head, document.as_bytes(), Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if status == 200 {
                record.line(format!("operator: {core} acknowledged the configuration"));
                return true;
            }
            let text = match &answer {
                Some(answer) => format!("{status} {}", String::from_utf8_lossy(&answer.body)),
                None => "no answer".into(),
            };
            if text != last {
                record.line(format!("operator: {core} answered the configuration with {text}"));
                last = text;
            }
            if matches!(status, 400 | 409 | 412 | 413 | 422) {
                return false;
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Whether a node answers the readiness check with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let head = "GET /api/ready HTTP/1.1\r\nHost: ready";
    exchange(address, head, b"", Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
}

/// Waits until a condition holds. Returns whether it did within the limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// A /24 network of loopback addresses on which the ports of all hosts are free.
fn free_prefix(count: usize) -> String {
    let seed = std::process::id() as usize + unix_ms() as usize;
    for attempt in 0..200 {
        let number = seed + attempt * 7_919;
        let prefix = format!("127.{}.{}", 20 + number % 200, 1 + (number / 200) % 250);
        let ports = [
            INBOUND_PORT,
            BACKEND_PORT,
            READY_PORT,
            OUTBOUND_PORT,
            CONTROL_PORT,
            METRICS_PORT,
            FIRST_INTERNAL_PORT,
            FIRST_INTERNAL_PORT + 1,
            FIRST_INTERNAL_PORT + 2,
            FIRST_INTERNAL_PORT + 3,
            FIRST_INTERNAL_PORT + 4,
        ];
        let is_free = (1..=count).all(|host| {
            ports.iter().all(|port| TcpListener::bind(format!("{prefix}.{host}:{port}")).is_ok())
        });
        if is_free {
            return prefix;
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(COULD_NOT_RUN);
}

/// An answer over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived in full by its length, its last chunk, or the end of the connection.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request with a body of known length on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let length = body.len();
    let text = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&mut stream, limit)
}

/// Reads one answer until it is complete or `limit` has passed.
pub fn read_answer(stream: &mut TcpStream, limit: Duration) -> Option<Answer> {
    let end = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        match read_some(stream, &mut buffer, end) {
            Some(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let headers = parse_headers(&head);
    let mut answer = Answer { status, headers, body: Vec::new(), is_complete: false };
    let mut rest = bytes.split_off(head_end);
    let length: Option<usize> = answer.header("content-length").and_then(|t| t.parse().ok());
    let is_chunked = answer.header("transfer-encoding").is_some_and(|t| t.contains("chunked"));
    loop {
        if is_chunked {
            if let Some((body, _)) = decode_chunks(&rest) {
                (answer.body, answer.is_complete) = (body, true);
                return Some(answer);
            }
        } else if let Some(length) = length.filter(|length| rest.len() >= *length) {
            rest.truncate(length);
            (answer.body, answer.is_complete) = (rest, true);
            return Some(answer);
        }
        match read_some(stream, &mut buffer, end) {
            Some(0) => {
                answer.is_complete = !is_chunked && length.is_none();
                answer.body = rest;
                return Some(answer);
            }
            Some(count) => rest.extend_from_slice(&buffer[..count]),
            None => {
                answer.body = rest;
                return Some(answer);
            }
        }
    }
}

/// Reads some bytes: 0 at the end of the connection, `None` after an error or the time limit.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8], end: Instant) -> Option<usize> {
    let left = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
    stream.set_read_timeout(Some(left)).ok()?;
    stream.read(buffer).ok()
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

pub fn parse_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string())).collect()
}

/// Decodes a chunked body. Returns it with the number of bytes read, or `None` if it is not complete.
pub fn decode_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line_end = at + find(&bytes[at..], b"\r\n")?;
        let line = String::from_utf8_lossy(&bytes[at..line_end]).into_owned();
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let start = line_end + 2;
        if bytes.len() < start + size + 2 {
            return None;
        }
        body.extend_from_slice(&bytes[start..start + size]);
        at = start + size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

/// Ping of a backend, as the platform's page shows it.
pub struct Ping<'a> {
    pub id: &'a str,
    pub born_ms: u64,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub state: &'a str,
    pub sequence: u64,
}

impl Ping<'_> {
    /// Sends the ping to the control address of the backend's own machine. Returns the status.
    pub fn send(&self, control: SocketAddr, backend: &SocketAddr) -> u16 {
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{}\",\"sequence\":{},\
             \"coldRemainingS\":0}}}}",
            backend, self.born_ms, self.service, self.zone, self.slots, self.state, self.sequence
        );
        send_entry(control, &format!("/api/Instances.Heartbeat/{}", self.id), &body)
    }
}

/// Says that a backend leaves. Returns the status.
pub fn deregister(control: SocketAddr, id: &str, born_ms: u64) -> u16 {
    send_entry(
        control,
        &format!("/api/Instances.Deregister/{id}"),
        &format!("{{\"born\":{born_ms}}}"),
    )
}

fn send_entry(control: SocketAddr, path: &str, body: &str) -> u16 {
    let head = format!("POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json");
    let answer = exchange(control, &head, body.as_bytes(), Duration::from_secs(1));
    answer.map_or(0, |answer| answer.status)
}

/// A route of a configuration.
pub struct RouteSpec<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_s: f64,
    pub service: &'a str,
    pub attempts: u32,
    pub priority: u32,
}

/// Text of a configuration for the host `oven.example`.
pub fn configuration(
    version: &str,
    base: &str,
    routes: &[RouteSpec<'_>],
    services: &[&str],
) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"r-{}\"}},\"spec\":{{\
                 \"host\":\"oven.example\",\"pathPrefix\":\"/{}/\",\"kind\":\"{}\",\"timeoutS\":{},\
                 \"targetLatencyS\":2,\"priority\":{},\"service\":\"{}\",\"maxAttempts\":{}}}}}",
                route.prefix,
                route.prefix,
                route.kind,
                route.timeout_s,
                route.priority,
                route.service,
                route.attempts
            )
        })
        .collect();
    resources.extend(services.iter().map(|service| {
        format!(
            "{{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"healthPath\":\"/health\",\"maxConnections\":532,\"protocol\":\"h1\",\"tls\":false}}}}"
        )
    }));
    resources.push(
        "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}"
            .into(),
    );
    let base = if base == "0" { "0".to_string() } else { format!("\"{base}\"") };
    format!(
        "{{\"version\":\"{version}\",\"baseVersion\":{base},\"resources\":[{}]}}",
        resources.join(",")
    )
}
