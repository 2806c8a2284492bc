//! A small deployment on loopback addresses: the project's daemons as separate processes, and a
//! plain HTTP client for operators and clients. Standard library only.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const CONTROL_PORT: u16 = 8306;
pub const OUTBOUND_PORT: u16 = 8304;
pub const INBOUND_PORT: u16 = 8300;
pub const READY_PORT: u16 = 8302;
pub const BACKEND_PORT: u16 = 8301;
pub const METRICS_PORT: u16 = 9464;
pub const INTERNAL_PORTS: (u16, u16) = (7620, 7635);

/// Writes what was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the record file");
        let file = File::create(path).expect("the record file can be written");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Settings that the hosts of a deployment share.
pub struct Bounds {
    pub machines: u32,
    pub text: &'static str,
}

/// Loopback addresses 127.A.B.N of a deployment whose ports are free.
pub struct Network {
    a: u8,
    b: u8,
    work: PathBuf,
    bounds: Bounds,
    seeds: Vec<u8>,
}

impl Network {
    pub fn new(bounds: Bounds, seeds: &[u8], hosts: u8) -> Option<Self> {
        let work = PathBuf::from(std::env::var("WORK").expect("WORK names a temporary folder"));
        let id = std::process::id();
        (0..50).find_map(|attempt| {
            let a = 20 + ((id + attempt) % 200) as u8;
            let b = 1 + ((id / 200 + 7 * attempt) % 250) as u8;
            let is_free = (1..=hosts).all(|n| {
                [CONTROL_PORT, OUTBOUND_PORT, READY_PORT, BACKEND_PORT, METRICS_PORT, 7620, 7622]
                    .iter()
                    .all(|port| TcpListener::bind((format!("127.{a}.{b}.{n}"), *port)).is_ok())
            });
            is_free.then(|| Self {
                a,
                b,
                work: work.clone(),
                bounds: Bounds { machines: bounds.machines, text: bounds.text },
                seeds: seeds.to_vec(),
            })
        })
    }

    pub fn ip(&self, n: u8) -> String {
        format!("127.{}.{}.{n}", self.a, self.b)
    }

    pub fn address(&self, n: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(n)).parse().unwrap()
    }
}

/// A machine with one daemon.
pub struct Host<'a> {
    network: &'a Network,
    pub n: u8,
    pub name: String,
    zone: String,
    /// Service of the backend on a `sidecar` machine; `None` on a `core` machine.
    pub service: Option<String>,
    is_first_start: RefCell<bool>,
    /// Machines that the settings name as seeds.
    seeds: RefCell<Vec<u8>>,
    process: RefCell<Option<Child>>,
}

impl<'a> Host<'a> {
    pub fn core(network: &'a Network, n: u8, zone: &str) -> Self {
        Self::new(network, n, format!("core-{zone}-1"), zone, None)
    }

    /// A core machine that takes the place of another one, at a new address, long after the first
    /// start of the system.
    pub fn replacement(network: &'a Network, n: u8, zone: &str) -> Self {
        let host = Self::new(network, n, format!("core-{zone}-2"), zone, None);
        *host.is_first_start.borrow_mut() = false;
        host
    }

    pub fn sidecar(network: &'a Network, n: u8, zone: &str, service: &str) -> Self {
        Self::new(network, n, format!("sidecar-{zone}-{n}"), zone, Some(service.to_string()))
    }

    fn new(network: &'a Network, n: u8, name: String, zone: &str, service: Option<String>) -> Self {
        let (is_first_start, process) = (RefCell::new(true), RefCell::new(None));
        let seeds = RefCell::new(network.seeds.clone());
        Self { network, n, name, zone: zone.to_string(), service, is_first_start, seeds, process }
    }

    fn folder(&self) -> PathBuf {
        self.network.work.join(&self.name)
    }

    pub fn control(&self) -> SocketAddr {
        self.network.address(self.n, CONTROL_PORT)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.network.address(self.n, OUTBOUND_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        self.network.address(self.n, READY_PORT)
    }

    pub fn backend(&self) -> SocketAddr {
        self.network.address(self.n, BACKEND_PORT)
    }

    /// Names other seeds in the settings file, which takes effect at the next start.
    pub fn change_seeds(&self, seeds: &[u8]) {
        *self.seeds.borrow_mut() = seeds.to_vec();
        self.write_settings();
    }

    fn write_settings(&self) {
        let ip = self.network.ip(self.n);
        let (first, last) = INTERNAL_PORTS;
        let bootstrap = *self.is_first_start.borrow();
        let seeds: Vec<String> = (self.seeds.borrow().iter())
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", self.network.ip(*n)))
            .collect();
        let (class, role, serves, memory, disk) = match self.service {
            Some(_) => ("sidecar", "node", "sidecar", 160, 0),
            None => ("core", "control", "control_plane", 256, 256),
        };
        let local = match &self.service {
            Some(service) => format!("app = \"{ip}:{BACKEND_PORT}\"\nservice = \"{service}\""),
            None => format!("dataDir = {:?}", self.data_dir()),
        };
        let listen = match self.service {
            Some(_) => format!(
                "inbound = \"{ip}:{INBOUND_PORT}\"\noutbound = \"{ip}:{OUTBOUND_PORT}\"\n\
                 ready = \"{ip}:{READY_PORT}\"\n"
            ),
            None => String::new(),
        };
        let text = format!(
            "[local]\nnode = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"loopback\"\n\
             inFaultBudget = {is_core}\nbootstrap = {bootstrap}\n{local}\n\
             [local.limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = {disk}\n\
             [network]\ninternalPorts = [{first},{last}]\nseeds = [{seeds}]\n\
             [network.listen]\ncontrol = \"{ip}:{CONTROL_PORT}\"\n{listen}\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatIntervalS = 1.5\n\
             [timers]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\"]\n\
             [timers.faultTolerance]\nmachines = {machines}\nzones = 1\nregions = 0\n\
             [timers.bounds]\n{bounds}",
            name = self.name,
            zone = self.zone,
            is_core = self.service.is_none(),
            seeds = seeds.join(","),
            machines = self.network.bounds.machines,
            bounds = self.network.bounds.text,
        );
        fs::create_dir_all(self.folder()).unwrap();
        fs::write(self.folder().join("node.toml"), text).unwrap();
    }

    fn data_dir(&self) -> PathBuf {
        self.folder().join("data")
    }

    /// Starts the daemon with the command of the deploy file, in the root of the repository.
    pub fn start(&self) {
        self.write_settings();
        let log = self.folder().join("log.txt");
        let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/tarragond");
        command.arg("platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("TARRAGONLOOM_CONFIG", self.folder().join("node.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon is built");
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.network.work.join("pids"))
            .unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        *self.process.borrow_mut() = Some(child);
        // Whatever starts later is no first start of the whole system.
        *self.is_first_start.borrow_mut() = false;
    }

    /// SIGKILL, as after a kill or a loss of power; the files stay.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = self.process.borrow().as_ref() {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Whether the process has ended by itself or after a signal.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn lose_disk(&self) {
        let _ = fs::remove_dir_all(self.data_dir());
    }

    /// Lines of the daemon's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder().join("log.txt")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Host<'_> {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Sends a request on a new connection. Returns `None` without a complete answer in time.
pub fn send(
    to: SocketAddr,
    method_and_path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let length = body.len();
    let request = format!(
        "{method_and_path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut stream, deadline)
}

/// Reads one answer with a length.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_string()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let body = bytes.get(end + 4..end + 4 + length)?;
    Some(Answer { status, headers, body: String::from_utf8_lossy(body).into_owned() })
}

/// The status, or 0 without an answer.
pub fn status(answer: &Option<Answer>) -> u16 {
    answer.as_ref().map_or(0, |answer| answer.status)
}

/// Sends one order of the operator to one machine, which has a second to answer.
pub fn put(to: SocketAddr, document: &str) -> u16 {
    let answer = send(
        to,
        "POST /api/Config.Put",
        "Host: control\r\nContent-Type: application/json\r\n",
        document,
        Duration::from_secs(1),
    );
    status(&answer)
}

/// Reads the configuration back from one machine.
pub fn get(from: SocketAddr) -> Option<Answer> {
    send(from, "GET /api/Config.Get", "Host: control\r\n", "", Duration::from_secs(8))
}

/// Version that a configuration names, or what was answered instead.
pub fn version_of(answer: &Option<Answer>) -> String {
    match answer {
        Some(answer) if answer.status == 200 => {
            let rest = answer.body.split("\"version\":\"").nth(1).unwrap_or("?");
            rest.split('"').next().unwrap_or("?").to_string()
        }
        Some(answer) => format!("status {}", answer.status),
        None => "no answer".to_string(),
    }
}

/// Sends an order as the operator does: unchanged, to one machine after the other, until it is
/// acknowledged. Returns the machine that acknowledged it.
pub fn order(
    record: &Record,
    hosts: &[&Host],
    version: &str,
    document: &str,
    limit: Duration,
) -> Option<usize> {
    let start = Instant::now();
    record.line(&format!("operator sends {version}"));
    let mut tries = 0;
    while start.elapsed() < limit {
        let index = tries % hosts.len();
        tries += 1;
        let status = put(hosts[index].control(), document);
        if status == 200 {
            let (ms, name) = (start.elapsed().as_millis(), &hosts[index].name);
            record.line(&format!(
                "{name} acknowledges {version} with 200 after {ms} ms, try {tries}"
            ));
            return Some(index);
        }
        if [400, 409, 412, 413, 422].contains(&status) {
            record.line(&format!("{} refuses {version} with {status}", hosts[index].name));
            return None;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("{version} is not acknowledged within {limit:?}, {tries} tries"));
    None
}

pub fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// One request that a backend began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt_id: String,
}

/// A sound backend: it answers after `work`, with the headers that the protocol page names, and
/// pings its node.
pub struct Backend {
    pub address: SocketAddr,
    pub service: String,
    pub id: String,
    born: u64,
    zone: String,
    sequence: std::sync::atomic::AtomicU64,
    stop: std::sync::atomic::AtomicBool,
    pub runs: Mutex<Vec<Run>>,
}

const RELAXED: std::sync::atomic::Ordering = std::sync::atomic::Ordering::SeqCst;

impl Backend {
    /// Binds the address and serves requests until the process ends.
    pub fn start(host: &Host, id: &str, work: Duration) -> std::sync::Arc<Self> {
        let listener = TcpListener::bind(host.backend()).expect("the address is free");
        let now = std::time::SystemTime::now();
        let born = now.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
        let backend = std::sync::Arc::new(Self {
            address: host.backend(),
            service: host.service.clone().expect("a sidecar machine has a service"),
            id: id.to_string(),
            born,
            zone: host.zone.clone(),
            sequence: Default::default(),
            stop: Default::default(),
            runs: Mutex::default(),
        });
        let server = std::sync::Arc::clone(&backend);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = std::sync::Arc::clone(&server);
                std::thread::spawn(move || server.serve(stream, work));
            }
        });
        backend
    }

    fn serve(&self, mut stream: TcpStream, work: Duration) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut bytes: Vec<u8> = Vec::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            let end = loop {
                if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                    break at;
                }
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                }
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let value = |name: &str| {
                head.lines().skip(1).find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
                })
            };
            let length: usize = value("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            while bytes.len() < end + 4 + length {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                }
            }
            bytes.drain(..end + 4 + length);
            let attempt_id = value("x-attempt-id").unwrap_or_default();
            let is_other = value("x-expect-instance").is_some_and(|id| id != self.id);
            let is_health = head.starts_with("GET /health");
            let answer = if is_health {
                format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else if is_other {
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt_id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                self.runs
                    .lock()
                    .unwrap()
                    .push(Run { at: Instant::now(), attempt_id: attempt_id.clone() });
                std::thread::sleep(work);
                let body = format!("{} ran {attempt_id}\n", self.id);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Response-Seal: 3e1b.07.{}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len(),
                    body.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Body of the next ping.
    pub fn next_ping(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, RELAXED) + 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":40}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            self.address, self.born, self.service, self.zone
        )
    }

    /// Sends a ping; 0 without an answer.
    pub fn send_ping(&self, control: SocketAddr, body: &str) -> u16 {
        let path = format!("POST /api/Instances.Heartbeat/{}", self.id);
        let headers = "Host: control\r\nContent-Type: application/json\r\n";
        status(&send(control, &path, headers, body, Duration::from_secs(1)))
    }

    /// Says that it is gone; 0 without an answer.
    pub fn deregister(&self, control: SocketAddr) -> u16 {
        let path = format!("POST /api/Instances.Deregister/{}", self.id);
        let headers = "Host: control\r\nContent-Type: application/json\r\n";
        let body = format!("{{\"born\":{}}}", self.born);
        status(&send(control, &path, headers, &body, Duration::from_secs(1)))
    }

    /// Pings every 1.5 s until [`Self::stop_pings`].
    pub fn start_pings(self: &std::sync::Arc<Self>, control: SocketAddr) {
        let backend = std::sync::Arc::clone(self);
        std::thread::spawn(move || {
            while !backend.stop.load(RELAXED) {
                let body = backend.next_ping("ready");
                backend.send_ping(control, &body);
                std::thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    pub fn stop_pings(&self) {
        self.stop.store(true, RELAXED);
    }
}

/// Sends a request of a client to its machine.
pub fn request(
    host: &Host,
    method: &str,
    path: &str,
    attempt_id: &str,
    deadline_ms: u64,
) -> Option<Answer> {
    request_at(host.outbound(), method, path, attempt_id, deadline_ms)
}

/// Does the same at an address.
pub fn request_at(
    to: SocketAddr,
    method: &str,
    path: &str,
    attempt_id: &str,
    deadline_ms: u64,
) -> Option<Answer> {
    let headers = format!(
        "Host: hulo84.example\r\nX-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    );
    send(to, &format!("{method} {path}"), &headers, "", Duration::from_millis(deadline_ms + 500))
}

/// Whether a machine says that it is ready for clients.
pub fn is_ready(host: &Host) -> bool {
    status(&send(host.ready(), "GET /api/ready", "Host: ready\r\n", "", Duration::from_secs(1)))
        == 200
}
