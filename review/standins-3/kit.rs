//! A small deployment on loopback: the project's daemons as processes, with stand-ins for backend
//! servers, clients and the operator. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const OUTBOUND: u16 = 8304;
pub const READY: u16 = 8302;
pub const CONTROL: u16 = 8306;
pub const BACKEND: u16 = 8301;
pub const INBOUND: u16 = 8300;
pub const INTERNAL: (u16, u16) = (7620, 7635);

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Self { file, start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.4} s  {}", text.as_ref());
        println!("{seconds:9.4} s  {}", text.as_ref());
    }
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub struct Host {
    pub ip: String,
    pub name: String,
    pub zone: String,
    pub service: Option<String>,
    pub process: Mutex<Option<Child>>,
    pub log: PathBuf,
    pub dir: PathBuf,
}

impl Host {
    pub fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    pub fn pid(&self) -> i32 {
        self.process.lock().unwrap().as_ref().map_or(0, |process| process.id() as i32)
    }

    /// Sends a signal by name, such as STOP, CONT, TERM, KILL or HUP.
    pub fn signal(&self, name: &str) {
        let pid = self.pid();
        if pid > 0 {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        process.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }
}

pub struct Deployment {
    pub hosts: Vec<Arc<Host>>,
    pub root: PathBuf,
    pub dir: PathBuf,
    pub seeds: Vec<String>,
    pub is_bootstrap: AtomicBool,
}

impl Deployment {
    /// Three core hosts in three zones, and a host for each of the given (zone, service).
    pub fn new(sidecars: &[(&str, &str)]) -> Self {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let seed = unix_ms() ^ u64::from(std::process::id()) << 7;
        let net = format!("127.{}.{}", 20 + seed % 200, 1 + (seed / 200) % 250);
        let dir = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let mut hosts = Vec::new();
        for (i, zone) in ["hall-a", "hall-b", "annex"].iter().enumerate() {
            hosts.push((
                format!("{net}.{}", 11 + i),
                format!("core-{zone}-1"),
                zone.to_string(),
                None,
            ));
        }
        for (i, (zone, service)) in sidecars.iter().enumerate() {
            let name = format!("sidecar-{zone}-{}", i + 1);
            let service = Some(service.to_string());
            hosts.push((format!("{net}.{}", 101 + i), name, zone.to_string(), service));
        }
        let hosts = hosts.into_iter().map(|(ip, name, zone, service)| {
            let host_dir = dir.join(&name);
            fs::create_dir_all(&host_dir).unwrap();
            let log = host_dir.join("log.txt");
            Arc::new(Host {
                ip,
                name,
                zone,
                service,
                process: Mutex::new(None),
                log,
                dir: host_dir,
            })
        });
        let hosts: Vec<_> = hosts.collect();
        let seeds = hosts[..3].iter().map(|host| format!("{}:{CONTROL}", host.ip)).collect();
        Self { hosts, root, dir, seeds, is_bootstrap: AtomicBool::new(true) }
    }

    pub fn cores(&self) -> &[Arc<Host>] {
        &self.hosts[..3]
    }

    pub fn sidecars(&self) -> &[Arc<Host>] {
        &self.hosts[3..]
    }

    pub fn write_settings(&self, host: &Host) {
        let is_core = host.service.is_none();
        let ip = &host.ip;
        let mut text = String::new();
        let (class, serves) =
            if is_core { ("core", "control_plane") } else { ("sidecar", "sidecar") };
        let _ = write!(
            text,
            "[local]\nnode = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"thies\"\n\
             inFaultBudget = {is_core}\nbootstrap = {}\n",
            host.name,
            if is_core { "control" } else { "node" },
            host.zone,
            self.is_bootstrap.load(Ordering::SeqCst),
        );
        match &host.service {
            Some(service) => {
                let _ = write!(text, "app = \"{ip}:{BACKEND}\"\nservice = \"{service}\"\n");
            }
            None => {
                let _ = write!(text, "dataDir = {:?}\n", host.dir.join("data"));
            }
        }
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("{seed:?}")).collect();
        let _ = write!(
            text,
            "[local.limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = {}\n[network]\ninternalPorts = [{},{}]\nseeds = [{}]\n\
             [network.listen]\ncontrol = \"{ip}:{CONTROL}\"\n",
            if is_core { 256 } else { 0 },
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(","),
        );
        if !is_core {
            let _ = write!(
                text,
                "inbound = \"{ip}:{INBOUND}\"\noutbound = \"{ip}:{OUTBOUND}\"\n\
                 ready = \"{ip}:{READY}\"\n"
            );
        }
        text.push_str(
            "[network.zones]\nhall-a = \"thies\"\nhall-b = \"thies\"\nannex = \"thies\"\n\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatIntervalS = 1.5\n\
             [timers]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"pressure\"]\n[timers.faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [timers.bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 4\ncatchUpS = 4\n\
             drainS = 2\ngraceS = 6\nlossSlackS = 0.2\nconvergeS = 2\nrollbackSlackS = 0.25\n\
             skewMaxS = 5\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 49\n\
             recoveryS = 15\n",
        );
        fs::write(host.dir.join("node.toml"), text).unwrap();
    }

    /// Starts the program of a host with the command of the deploy file.
    pub fn start(&self, host: &Host) {
        self.write_settings(host);
        let log = fs::OpenOptions::new().create(true).append(true).open(&host.log).unwrap();
        let process = Command::new(self.root.join("target/release/tarragond"))
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("TARRAGONLOOM_CONFIG", host.dir.join("node.toml"))
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        *host.process.lock().unwrap() =
            Some(process.expect("the program of the deploy file starts"));
    }

    pub fn start_all(&self) {
        for host in &self.hosts {
            self.start(host);
        }
    }

    /// Sends a configuration to the core hosts in turn until it is acknowledged.
    pub fn put(&self, record: &Record, document: &str, limit: Duration) -> bool {
        let start = Instant::now();
        let mut turn = 0;
        while start.elapsed() < limit {
            let host = &self.cores()[turn % 3];
            turn += 1;
            let response = call(
                host.at(CONTROL),
                "POST",
                "/api/Config.Put",
                "control",
                &[("Content-Type", "application/json")],
                document.as_bytes(),
                Duration::from_secs(2),
            );
            match response {
                Ok(response) if response.status == 200 => {
                    record.line(format!("operator: acknowledged by {}", host.name));
                    return true;
                }
                Ok(response) => {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    if matches!(response.status, 400 | 409 | 412 | 413 | 422) {
                        record.line(format!("operator: {} {text}", response.status));
                        return false;
                    }
                }
                Err(_) => {}
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until the ready check of the host is answered with 200.
    pub fn wait_ready(&self, host: &Host, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let response = call(
                host.at(READY),
                "GET",
                "/api/ready",
                "ready",
                &[],
                b"",
                Duration::from_secs(1),
            );
            if response.is_ok_and(|response| response.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn stop(&self) {
        for host in &self.hosts {
            host.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

pub struct Head {
    /// First line: the request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.to_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// A connection with a buffer for what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head. `Ok(None)` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_string(), value.trim().to_string()));
        Ok(Some(Head { line, headers: headers.collect() }))
    }

    pub fn read_some(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let count = self.buffer.len().min(limit);
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn read_chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_exact(2)?;
        }
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        match head.length() {
            _ if head.is_chunked() => self.read_chunked(),
            Some(length) => self.read_exact(length),
            None => Ok(Vec::new()),
        }
    }

    /// Reads the body of a response to a method other than HEAD.
    pub fn read_response_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            return self.read_chunked();
        }
        if let Some(length) = head.length() {
            return self.read_exact(length);
        }
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }
}

pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

pub fn request_bytes(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn read_response(wire: &mut Wire) -> io::Result<Response> {
    loop {
        let Some(head) = wire.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if head.status() / 100 == 1 {
            continue;
        }
        let body = wire.read_response_body(&head)?;
        return Ok(Response { status: head.status(), head, body });
    }
}

/// Sends a request on a new connection and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut wire = Wire::connect(address)?;
    wire.stream.set_read_timeout(Some(limit))?;
    wire.stream.set_write_timeout(Some(limit))?;
    wire.send(&request_bytes(method, target, host, headers, body))?;
    read_response(&mut wire)
}

/// What a backend server does with a request whose head it has read. Returns whether it keeps the connection.
pub type Handler = dyn Fn(&Backend, &Head, &mut Wire) -> io::Result<bool> + Send + Sync;

/// A backend server on a host.
pub struct Backend {
    pub host: Arc<Host>,
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub born: u64,
    pub sequence: AtomicU64,
    pub is_beating: AtomicBool,
    pub record: Arc<Record>,
    /// Attempt ids in the order in which runs began.
    pub runs: Mutex<Vec<String>>,
    handler: Box<Handler>,
}

impl Backend {
    pub fn start(
        host: &Arc<Host>,
        id: &str,
        record: &Arc<Record>,
        slots: u32,
        handler: impl Fn(&Backend, &Head, &mut Wire) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Arc<Self> {
        let backend = Arc::new(Self {
            host: Arc::clone(host),
            id: id.into(),
            service: host.service.clone().unwrap(),
            slots,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            record: Arc::clone(record),
            runs: Mutex::default(),
            handler: Box::new(handler),
        });
        let listener = TcpListener::bind(host.at(BACKEND)).expect("the address is free");
        let server = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        let beating = Arc::clone(&backend);
        thread::spawn(move || loop {
            if beating.is_beating.load(Ordering::SeqCst) {
                beating.beat("ready");
            }
            thread::sleep(Duration::from_millis(1500));
        });
        backend
    }

    /// Sends a heartbeat. Returns the status of the answer.
    pub fn beat(&self, state: &str) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            self.host.at(BACKEND),
            self.born,
            self.service,
            self.host.zone,
            self.slots
        );
        let response = call(
            self.host.at(CONTROL),
            "POST",
            &format!("/api/Instances.Heartbeat/{}", self.id),
            "control",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        response.ok().map(|response| response.status)
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            if let Some(expected) = head.get("x-expect-instance") {
                if expected != self.id {
                    let id = head.get("x-attempt-id").unwrap_or("").to_string();
                    let _ = wire.read_request_body(&head);
                    let _ = wire.send(
                        format!(
                            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                             X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        )
                        .as_bytes(),
                    );
                    continue;
                }
            }
            match (self.handler)(self, &head, &mut wire) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    pub fn begin_run(&self, id: &str) {
        self.runs.lock().unwrap().push(id.to_string());
    }

    pub fn run_count(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| *run == id).count()
    }
}

/// Head of a success of the backend server with the given framing headers.
pub fn success_head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 1.{id}\r\n{framing}\r\n")
}

/// Answers with a whole body of a known length.
pub fn answer(wire: &mut Wire, id: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = success_head(id, &format!("Content-Length: {}\r\n", body.len())).into_bytes();
    bytes.extend_from_slice(body);
    wire.send(&bytes)
}

pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub priority: u32,
}

pub const HOST: &str = "hulo84.example";

/// A configuration of routes on [`HOST`].
pub fn configuration(version: u64, base: u64, routes: &[Route<'_>]) -> String {
    let mut items = Vec::new();
    let mut services: HashMap<&str, ()> = HashMap::new();
    for route in routes {
        services.insert(route.service, ());
        items.push(format!(
            "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"{}\"}},\"spec\":{{\
             \"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutS\":{},\
             \"targetLatencyS\":2,\"priority\":{},\"service\":\"{}\",\"maxAttempts\":2}}}}",
            route.name, route.prefix, route.kind, route.timeout_s, route.priority, route.service
        ));
    }
    for service in services.keys() {
        items.push(format!(
            "{{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"healthPath\":\"/health\",\"maxConnections\":532,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    items.push(
        "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}"
            .into(),
    );
    let base = if base == 0 { "0".to_string() } else { format!("\"r{base}\"") };
    format!(
        "{{\"version\":\"r{version}\",\"baseVersion\":{base},\"resources\":[{}]}}",
        items.join(",")
    )
}

/// Ends the run with the status that the issue asks for.
pub fn finish(record: &Record, deployment: Deployment, verdict: Result<bool, String>) -> ! {
    drop(deployment);
    let code = match &verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.line(match verdict {
        Ok(true) => "the rule held".to_string(),
        Ok(false) => "the rule was broken".to_string(),
        Err(cause) => format!("the case could not run: {cause}"),
    });
    std::process::exit(code);
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

impl Wire {
    /// Connects with a small receive window, as links have it. The numbers are those of Linux.
    pub fn connect_narrow(address: SocketAddr, window_bytes: i32) -> io::Result<Self> {
        use std::os::fd::FromRawFd;
        let SocketAddr::V4(address) = address else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        // AF_INET, SOCK_STREAM with SOCK_CLOEXEC.
        let fd = unsafe { socket(2, 1 | 0o2000000, 0) };
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = unsafe { TcpStream::from_raw_fd(fd) };
        // SOL_SOCKET, SO_RCVBUF.
        let set = unsafe { setsockopt(fd, 1, 8, &window_bytes, 4) };
        let mut name = [0u8; 16];
        name[..2].copy_from_slice(&2u16.to_ne_bytes());
        name[2..4].copy_from_slice(&address.port().to_be_bytes());
        name[4..8].copy_from_slice(&address.ip().octets());
        if set != 0 || unsafe { connect(fd, name.as_ptr(), 16) } != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(Self::new(stream))
    }
}
