//! Stand-in backend: a process that serves HTTP/1.1 as the platform's page tells, and writes a line
//! for each request that arrives, runs, is rejected, or is dropped.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::decode_chunks;
use crate::deployment::deregister;
use crate::deployment::exchange;
use crate::deployment::find;
use crate::deployment::parse_headers;
use crate::deployment::unix_ms;
use crate::deployment::Host;
use crate::deployment::HostKind;
use crate::deployment::Ping;
use crate::deployment::Record;
use crate::deployment::CONTROL_PORT;
use crate::deployment::HEARTBEAT_INTERVAL_S;

/// What a backend is started with.
#[derive(Clone)]
pub struct BackendSettings {
    pub listen: SocketAddr,
    pub id: String,
    pub slots: usize,
    pub work_ms: u64,
    /// A request whose path contains this crashes the process as it begins to run; empty for none.
    pub crash_path: String,
    /// Address of the node on the own host, and the path of the call that each run makes after its work;
    /// empty for none.
    pub call: String,
    pub events: String,
}

/// Starts a backend as a process of its own.
pub fn spawn(settings: &BackendSettings) -> Child {
    let program = std::env::current_exe().expect("the own program");
    Command::new(program)
        .arg("backend")
        .arg(settings.listen.to_string())
        .arg(&settings.id)
        .arg(settings.slots.to_string())
        .arg(settings.work_ms.to_string())
        .arg(&settings.crash_path)
        .arg(&settings.call)
        .arg(&settings.events)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the stand-in backend can be started")
}

/// File that exists once the backend leaves.
fn leaving_path(settings: &BackendSettings) -> String {
    format!("{}.{}.leaving", settings.events, settings.id)
}

/// An event of a backend: milliseconds since 1970, id of the backend, what happened, attempt, path.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    pub backend: String,
    pub what: String,
    pub attempt: String,
    pub path: String,
    pub detail: String,
}

/// Reads the events that backends have written to a file.
pub fn read_events(path: &str) -> Vec<Event> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let parse = |line: &str| {
        let mut parts = line.splitn(6, ' ');
        let mut next = || parts.next().unwrap_or("").to_string();
        let at_ms = next().parse().ok()?;
        let (backend, what, attempt) = (next(), next(), next());
        Some(Event { at_ms, backend, what, attempt, path: next(), detail: next() })
    };
    text.lines().filter_map(parse).collect()
}

/// A backend as its platform sees it: its process, and what it says of itself.
pub struct Server {
    pub settings: BackendSettings,
    service: String,
    zone: String,
    control: SocketAddr,
    process: Option<Child>,
    pub born_ms: u64,
    pub sequence: u64,
    next_ping: Instant,
    starts_at: Option<Instant>,
    /// Whether it still says that it is there.
    pub has_left: bool,
}

impl Server {
    pub fn new(settings: BackendSettings, host: &Host) -> Self {
        let service = match &host.kind {
            HostKind::Sidecar(service) => service.clone(),
            HostKind::Core => String::new(),
        };
        Self {
            settings,
            service,
            zone: host.zone.clone(),
            control: host.address(CONTROL_PORT),
            process: None,
            born_ms: 0,
            sequence: 0,
            next_ping: Instant::now(),
            starts_at: Some(Instant::now()),
            has_left: false,
        }
    }

    /// Starts the process if it is due, and sends a ping if one is. A process that has ended is
    /// started again after `restart`.
    pub fn step(&mut self, record: &Record, restart: Option<Duration>) {
        let now = Instant::now();
        if self.process.as_mut().is_some_and(|p| !matches!(p.try_wait(), Ok(None))) {
            record.line(format!("backend {} has crashed", self.settings.id));
            self.process = None;
            self.starts_at = restart.map(|restart| now + restart);
        }
        if self.starts_at.is_some_and(|at| at <= now) {
            self.starts_at = None;
            self.process = Some(spawn(&self.settings));
            (self.born_ms, self.sequence) = (unix_ms(), 0);
            self.next_ping = now + Duration::from_millis(100);
            record.line(format!("platform starts backend {}", self.settings.id));
        }
        if self.process.is_some() && !self.has_left && self.next_ping <= now {
            self.next_ping = now + Duration::from_secs_f64(HEARTBEAT_INTERVAL_S);
            self.ping();
        }
    }

    /// Sends the next ping. Returns the status of the answer.
    pub fn ping(&mut self) -> u16 {
        self.sequence += 1;
        self.send_ping(self.sequence)
    }

    /// Sends a ping with this sequence number, which may be a late copy.
    pub fn send_ping(&self, sequence: u64) -> u16 {
        let ping = Ping {
            id: &self.settings.id,
            born_ms: self.born_ms,
            service: &self.service,
            zone: &self.zone,
            slots: self.settings.slots as u32,
            state: "ready",
            sequence,
        };
        ping.send(self.control, &self.settings.listen)
    }

    /// Says that it leaves, from now on in its answers too. Returns the status of the answer.
    pub fn leave(&mut self) -> u16 {
        self.has_left = true;
        std::fs::write(leaving_path(&self.settings), b"").expect("a temporary file");
        deregister(self.control, &self.settings.id, self.born_ms)
    }

    /// Ends the process at once.
    pub fn end(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

struct Backend {
    settings: BackendSettings,
    running: AtomicUsize,
    events: Mutex<File>,
}

impl Backend {
    fn event(&self, what: &str, attempt: &str, path: &str, detail: &str) {
        let line = format!("{} {} {what} {attempt} {path} {detail}\n", unix_ms(), self.settings.id);
        let mut file = self.events.lock().expect("no thread panics with the lock");
        let _ = file.write_all(line.as_bytes());
    }
}

/// Runs a backend with the arguments that [`spawn`] gives.
pub fn run(arguments: &[String]) -> ! {
    let [listen, id, slots, work_ms, crash_path, call, events] = arguments else {
        panic!("seven arguments");
    };
    let settings = BackendSettings {
        listen: listen.parse().expect("an address"),
        id: id.clone(),
        slots: slots.parse().expect("a number"),
        work_ms: work_ms.parse().expect("a number"),
        crash_path: crash_path.clone(),
        call: call.clone(),
        events: events.clone(),
    };
    let listener = bind(settings.listen);
    let file = OpenOptions::new().create(true).append(true).open(&settings.events);
    let events = Mutex::new(file.expect("the events can be written"));
    let backend = Arc::new(Backend { settings, running: AtomicUsize::new(0), events });
    backend.event("started", "-", "-", "");
    for stream in listener.incoming().flatten() {
        let backend = Arc::clone(&backend);
        thread::spawn(move || serve(&backend, stream));
    }
    std::process::exit(0);
}

/// Binds the address, which an earlier lifetime may just have left.
fn bind(address: SocketAddr) -> TcpListener {
    let started = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(e) if started.elapsed() > Duration::from_secs(10) => panic!("{address}: {e}"),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Serves the requests of one connection, one at a time.
fn serve(backend: &Backend, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut bytes) {
        if !answer(backend, &mut stream, &request) {
            return;
        }
    }
}

struct Request {
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value.as_str())
    }
}

fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    use std::io::Read;
    let mut buffer = [0; 16 * 1024];
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut more = |bytes: &mut Vec<u8>| match stream.read(&mut buffer) {
        Ok(count) if count > 0 => {
            bytes.extend_from_slice(&buffer[..count]);
            Some(())
        }
        _ => None,
    };
    let head_end = loop {
        if let Some(at) = find(bytes, b"\r\n\r\n") {
            break at + 4;
        }
        more(bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let path = head.split(' ').nth(1)?.to_string();
    let headers = parse_headers(&head);
    let mut request = Request { path, headers, body: Vec::new() };
    let is_chunked = request.header("transfer-encoding").contains("chunked");
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    loop {
        let rest = &bytes[head_end..];
        if is_chunked {
            if let Some((body, used)) = decode_chunks(rest) {
                request.body = body;
                bytes.drain(..head_end + used);
                return Some(request);
            }
        } else if rest.len() >= length {
            request.body = rest[..length].to_vec();
            bytes.drain(..head_end + length);
            return Some(request);
        }
        more(bytes)?;
    }
}

/// Runs or rejects a request. Returns whether the connection is kept.
fn answer(backend: &Backend, stream: &mut TcpStream, request: &Request) -> bool {
    let (settings, attempt) = (&backend.settings, request.header("x-attempt-id").to_string());
    let path = request.path.clone();
    let detail = format!(
        "from={} bytes={} deadline_ms={}",
        request.header("x-caller-service"),
        request.body.len(),
        request.header("x-deadline-ms")
    );
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != settings.id {
        backend.event("rejected-421", &attempt, &path, &detail);
        return send(stream, "421 Misdirected Request", &attempt, "X-Not-Executed: 1\r\n", b"");
    }
    if attempt.is_empty() {
        backend.event("rejected-400", "-", &path, &detail);
        return send(stream, "400 Bad Request", "", "X-Not-Executed: 1\r\n", b"");
    }
    if backend.running.fetch_add(1, Ordering::SeqCst) >= settings.slots {
        backend.running.fetch_sub(1, Ordering::SeqCst);
        backend.event("rejected-503", &attempt, &path, &detail);
        return send(stream, "503 Service Unavailable", &attempt, "X-Not-Executed: 1\r\n", b"");
    }
    backend.event("runs", &attempt, &path, &detail);
    if !settings.crash_path.is_empty() && path.contains(&settings.crash_path) {
        backend.event("crashes", &attempt, &path, &detail);
        std::process::exit(1);
    }
    let arrived = Instant::now();
    let is_dropped = !work(stream, Duration::from_millis(settings.work_ms));
    if !is_dropped && !settings.call.is_empty() {
        let status = make_call(backend, request, &attempt, arrived);
        if status != 200 {
            backend.running.fetch_sub(1, Ordering::SeqCst);
            backend.event("failed", &attempt, &path, &detail);
            return send(
                stream,
                "500 Internal Server Error",
                &attempt,
                "X-Response-Seal: s.1\r\n",
                b"",
            );
        }
    }
    backend.running.fetch_sub(1, Ordering::SeqCst);
    if is_dropped {
        backend.event("dropped", &attempt, &path, &detail);
        return false;
    }
    backend.event("done", &attempt, &path, &detail);
    let body = format!("{} ran {attempt} {path}", settings.id);
    let is_leaving = std::path::Path::new(&leaving_path(settings)).exists();
    let notice = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
    let extra = format!("X-Response-Seal: s.1\r\n{notice}");
    send(stream, "200 OK", &attempt, &extra, body.as_bytes())
}

/// Makes the call of a run through the node on the own host. It expires at the deadline of the run.
/// Returns the status, or 0 if the connection ends without a complete answer.
fn make_call(backend: &Backend, request: &Request, attempt: &str, arrived: Instant) -> u16 {
    let Some((outbound, path)) = backend.settings.call.split_once(' ') else { return 0 };
    let outbound: SocketAddr = outbound.parse().expect("an address");
    let deadline_ms: u64 = request.header("x-deadline-ms").parse().unwrap_or(0);
    let left_ms = deadline_ms.saturating_sub(arrived.elapsed().as_millis() as u64);
    let (id, path) = (format!("c-{attempt}"), format!("{path}{attempt}"));
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: oven.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {left_ms}"
    );
    backend.event("calls", &id, &path, &format!("deadline_ms={left_ms}"));
    let started = Instant::now();
    let answer = exchange(outbound, &head, b"call", Duration::from_millis(left_ms));
    let status = answer.filter(|answer| answer.is_complete).map_or(0, |answer| answer.status);
    let waited_ms = started.elapsed().as_millis();
    let detail = format!("status={status} waited_ms={waited_ms} deadline_ms={left_ms}");
    backend.event("call-ended", &id, &path, &detail);
    status
}

/// Works for a time. Returns false if the connection is closed meanwhile.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_open = true;
    while is_open && Instant::now() < end {
        thread::sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
        let mut byte = [0];
        is_open = match stream.peek(&mut byte) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_open
}

fn send(stream: &mut TcpStream, status: &str, attempt: &str, extra: &str, body: &[u8]) -> bool {
    let echo =
        if attempt.is_empty() { String::new() } else { format!("X-Attempt-Id: {attempt}\r\n") };
    let head = format!(
        "HTTP/1.1 {status}\r\n{echo}{extra}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
