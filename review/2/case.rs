//! A node is stopped as planned. A backend on its host, which goes on, makes calls through it late in the
//! grace time. See claim.txt.

#[path = "../standins/backend.rs"]
mod backend;
#[path = "../standins/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use backend::BackendSettings;
use backend::Server;
use deployment::configuration;
use deployment::exchange;
use deployment::unix_ms;
use deployment::Deployment;
use deployment::Record;
use deployment::RouteSpec;
use deployment::BACKEND_PORT;
use deployment::BROKEN;
use deployment::CONTACT_S;
use deployment::COULD_NOT_RUN;
use deployment::HELD;
use deployment::OUTBOUND_PORT;

/// Time between SIGTERM and SIGKILL.
const GRACE_S: f64 = 6.0;
/// Latest time after SIGTERM at which a request may be sent whose cut at the end of the grace time is
/// excused.
const EXCUSED_S: f64 = 3.0;
/// Work of a request before its call, and of the call.
const WORK_MS: u64 = 4_200;
const CALL_WORK_MS: u64 = 1_400;
/// Number of requests, which are sent from shortly before SIGTERM on, and the time between two of them.
const REQUESTS: usize = 12;
const INTERVAL_MS: u64 = 100;
/// Number of the core hosts, which come first; then the host of the clients, the one that is stopped, and
/// one with a backend that serves the calls.
const CORES: usize = 3;
const ENTRY: usize = CORES;
const STOPPED: usize = CORES + 1;
const CALLED: usize = CORES + 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "backend") {
        backend::run(&arguments[1..]);
    }
    let is_troubled = arguments.first().is_none_or(|trouble| trouble != "0");
    let path = std::env::var("REVIEW_RECORD").expect("run.sh sets REVIEW_RECORD");
    let record = Record::create(Path::new(&path));
    let code = play(&record, is_troubled);
    record.line(format!("exit code {code}"));
    std::process::exit(code);
}

fn play(record: &Record, is_troubled: bool) -> i32 {
    record.line(format!("disruption: {}", if is_troubled { "yes" } else { "no (TROUBLE=0)" }));
    let sidecars = [("planner", "hall-a"), ("counter", "hall-a"), ("ovenctl", "hall-a")];
    let mut deployment = Deployment::new(record, &["hall-a", "hall-b", "annex"], &sidecars);
    deployment.start_all();
    let route = |prefix: &'static str, kind: &'static str, service: &'static str| RouteSpec {
        prefix,
        kind,
        timeout_s: 6.0,
        service,
        attempts: 2,
        priority: 0,
    };
    let routes =
        [route("job", "idempotent", "counter"), route("bake", "non_idempotent", "ovenctl")];
    let document = configuration("r1", "0", &routes, &["planner", "counter", "ovenctl"]);
    if !deployment.configure(&document, Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    let events = format!("{}/events.txt", std::env::var("REVIEW_TEMP").unwrap_or_default());
    let outbound = deployment.hosts[STOPPED].address(OUTBOUND_PORT);
    let server = |index: usize, id: &str, work_ms: u64, call: String| {
        let host = &deployment.hosts[index];
        let settings = BackendSettings {
            listen: host.address(BACKEND_PORT),
            id: id.into(),
            slots: 72,
            work_ms,
            crash_path: String::new(),
            call,
            events: events.clone(),
        };
        Server::new(settings, host)
    };
    let mut caller = server(STOPPED, "i-counter-1", WORK_MS, format!("{outbound} /bake/"));
    let mut called = server(CALLED, "i-ovenctl-1", CALL_WORK_MS, String::new());
    let mut step_both = |seconds: f64| {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            caller.step(record, None);
            called.step(record, None);
            thread::sleep(Duration::from_millis(10));
        }
    };
    step_both(1.0);
    let limit = Duration::from_secs(20);
    if !deployment.wait_ready(ENTRY, limit) || !deployment.wait_ready(STOPPED, limit) {
        return COULD_NOT_RUN;
    }
    step_both(CONTACT_S + 1.5);

    let entry = deployment.hosts[ENTRY].address(OUTBOUND_PORT);
    let clients = send_requests(entry, record);
    step_both(0.2);
    let stopped_ms = unix_ms();
    if is_troubled {
        record.line(format!("SIGTERM to the process of {}", deployment.hosts[STOPPED].name));
        deployment::signal(deployment.hosts[STOPPED].pid(), "TERM");
    }
    let end = Instant::now() + Duration::from_secs_f64(GRACE_S);
    while Instant::now() < end && deployment.is_running(STOPPED) {
        step_both(0.02);
    }
    if is_troubled {
        deployment.kill(STOPPED);
    }
    step_both(3.0);
    let _ = clients.join();
    judge(record, &events, stopped_ms)
}

fn judge(record: &Record, events: &str, stopped_ms: u64) -> i32 {
    let all = backend::read_events(events);
    let (mut sent, mut cut) = (0, 0);
    for call in all.iter().filter(|event| event.what == "calls") {
        let of_call = |what: &str| all.iter().find(|e| e.what == what && e.attempt == call.attempt);
        let sent_s = (call.at_ms as f64 - stopped_ms as f64) / 1_000.0;
        let Some(ended) = of_call("call-ended") else { return COULD_NOT_RUN };
        let has_run = of_call("runs").is_some();
        record.line(format!(
            "call {} sent {sent_s:.3} s after SIGTERM, {}: {}",
            call.attempt,
            if has_run { "ran" } else { "did not run" },
            ended.detail
        ));
        sent += 1;
        let number = |name: &str| -> u64 {
            let parts = ended.detail.split([' ', '=']).collect::<Vec<_>>();
            parts.windows(2).find(|p| p[0] == name).and_then(|p| p[1].parse().ok()).unwrap_or(0)
        };
        let is_before_deadline = number("waited_ms") + 50 < number("deadline_ms");
        let is_excused = sent_s <= EXCUSED_S;
        cut += usize::from(number("status") == 0 && has_run && is_before_deadline && !is_excused);
    }
    record.line(format!(
        "of {sent} calls, {cut} had been read and passed on to a backend and ended without an answer, \
         before their deadline, although they were sent later than {EXCUSED_S} s after SIGTERM"
    ));
    if sent == 0 {
        COULD_NOT_RUN
    } else if cut > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Sends requests to the backend on the other host, one after another.
fn send_requests(entry: SocketAddr, record: &Record) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut senders = Vec::new();
        for number in 1..=REQUESTS {
            let (record, id) = (record.clone(), format!("job{number:03}"));
            senders.push(thread::spawn(move || {
                let head = format!(
                    "GET /job/{id} HTTP/1.1\r\nHost: oven.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Deadline-Ms: 6000"
                );
                let answer = exchange(entry, &head, b"", Duration::from_secs(7));
                let status = answer.map_or(0, |answer| answer.status);
                record.line(format!("client: request {id} got {status}"));
            }));
            thread::sleep(Duration::from_millis(INTERVAL_MS));
        }
        for sender in senders {
            let _ = sender.join();
        }
    })
}
