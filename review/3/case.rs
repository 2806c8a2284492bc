//! A node is killed right after it has acknowledged that its backend leaves, and is started again. A
//! ping that the backend sent before it left arrives late. See claim.txt.

#[path = "../standins/backend.rs"]
mod backend;
#[path = "../standins/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
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
use deployment::DRAIN_S;
use deployment::HELD;
use deployment::OUTBOUND_PORT;

/// Time from the end of the node's process to its next start.
const RESTART_S: f64 = 0.5;
/// Time by which the ping is late.
const PING_DELAY_S: f64 = 4.0;
/// Time after the ack at which the backend ends: drainS and a little longer.
const END_S: f64 = 4.45;
/// Number of the core hosts, which come first; then the host of the clients, and those of the backends.
const CORES: usize = 3;
const ENTRY: usize = CORES;
const LEAVING: usize = CORES + 1;

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
    let sidecars = [("counter", "hall-a"), ("ovenctl", "hall-a"), ("ovenctl", "hall-b")];
    let mut deployment = Deployment::new(record, &["hall-a", "hall-b", "annex"], &sidecars);
    deployment.start_all();
    let route = |prefix: &'static str, kind: &'static str, priority: u32| RouteSpec {
        prefix,
        kind,
        timeout_s: 5.0,
        service: "ovenctl",
        attempts: 2,
        priority,
    };
    let routes = [route("bake", "non_idempotent", 0), route("log", "idempotent", 2)];
    let document = configuration("r1", "0", &routes, &["counter", "ovenctl"]);
    if !deployment.configure(&document, Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    let events = format!("{}/events.txt", std::env::var("REVIEW_TEMP").unwrap_or_default());
    let server = |index: usize| {
        let host = &deployment.hosts[index];
        Server::new(
            BackendSettings {
                listen: host.address(BACKEND_PORT),
                id: format!("i-ovenctl-{}", index - ENTRY),
                slots: 99,
                work_ms: 250,
                crash_path: String::new(),
                call: String::new(),
                events: events.clone(),
            },
            host,
        )
    };
    let (mut leaving, mut staying) = (server(LEAVING), server(LEAVING + 1));
    let mut step_both = |leaving: &mut Server, seconds: f64| {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            leaving.step(record, None);
            staying.step(record, None);
            thread::sleep(Duration::from_millis(10));
        }
    };
    step_both(&mut leaving, 1.0);
    if !deployment.wait_ready(ENTRY, Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    let is_ended = Arc::new(AtomicBool::new(false));
    let outbound = deployment.hosts[ENTRY].address(OUTBOUND_PORT);
    let clients = send_requests(outbound, record, &is_ended);
    step_both(&mut leaving, CONTACT_S + 1.5);

    // The backend sends a ping, which is on its way for some seconds, and then leaves.
    leaving.sequence += 1;
    let late_sequence = leaving.sequence;
    record.line(format!("backend {} sends ping {late_sequence}", leaving.settings.id));
    let ping_at = Instant::now() + Duration::from_secs_f64(PING_DELAY_S);
    leaving.has_left = true;
    step_both(&mut leaving, 0.1);
    let status = leaving.leave();
    let acked_at = Instant::now();
    let acked_ms = unix_ms();
    if status != 200 {
        record.line(format!("the departure got status {status}"));
        return COULD_NOT_RUN;
    }
    let mut restarted_ms = 0;
    if is_troubled {
        deployment.kill(LEAVING);
    }
    record.line(format!(
        "the node of {} has acknowledged that the backend leaves",
        leaving.settings.id
    ));
    if is_troubled {
        step_both(&mut leaving, RESTART_S);
        deployment.start(LEAVING, false);
        restarted_ms = unix_ms();
    }
    let left_s = |at: Instant| at.saturating_duration_since(Instant::now()).as_secs_f64();
    step_both(&mut leaving, left_s(ping_at));
    let status = leaving.send_ping(late_sequence);
    record.line(format!("ping {late_sequence} arrives late and gets status {status}"));
    step_both(&mut leaving, left_s(acked_at + Duration::from_secs_f64(END_S)));
    leaving.end();
    record.line(format!("backend {} ends", leaving.settings.id));
    step_both(&mut leaving, 1.0);
    is_ended.store(true, Ordering::SeqCst);
    let lost = clients.join().unwrap_or(0);
    record.line(format!("clients: {lost} requests that may have run got no answer of a backend"));
    judge(record, &events, acked_ms, restarted_ms)
}

fn judge(record: &Record, events: &str, acked_ms: u64, restarted_ms: u64) -> i32 {
    let all = backend::read_events(events);
    let runs: Vec<_> =
        all.iter().filter(|event| event.what == "runs" && event.backend == "i-ovenctl-1").collect();
    record.line(format!("the leaving backend ran {} requests in all", runs.len()));
    let first_ms = acked_ms + (DRAIN_S * 1_000.0) as u64;
    let in_touch_ms =
        restarted_ms + if restarted_ms == 0 { 0 } else { (CONTACT_S * 1_000.0) as u64 };
    let late: Vec<_> = runs.iter().filter(|event| event.at_ms > first_ms).collect();
    for event in &late {
        record.line(format!(
            "{} reached the backend {} ms after the ack, {} ms after the node was started",
            event.attempt,
            event.at_ms - acked_ms,
            event.at_ms.saturating_sub(restarted_ms)
        ));
    }
    let in_touch = late.iter().filter(|event| event.at_ms > in_touch_ms).count();
    record.line(format!(
        "{} requests reached the backend later than drainS after the ack; {in_touch} of them were \
         sent on by machines in touch",
        late.len()
    ));
    if runs.is_empty() {
        COULD_NOT_RUN
    } else if in_touch > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Sends requests, half of which may run only once, and counts those that fail without a promise.
fn send_requests(
    outbound: SocketAddr,
    record: &Record,
    is_ended: &Arc<AtomicBool>,
) -> thread::JoinHandle<usize> {
    let (record, is_ended) = (record.clone(), Arc::clone(is_ended));
    thread::spawn(move || {
        let mut senders = Vec::new();
        let mut number = 0;
        while !is_ended.load(Ordering::SeqCst) {
            number += 1;
            let class = if number % 2 == 0 { "bake" } else { "log" };
            let (record, id) = (record.clone(), format!("{class}{number:05}"));
            senders.push(thread::spawn(move || {
                let head = format!(
                    "POST /{class}/{id} HTTP/1.1\r\nHost: oven.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Deadline-Ms: 5000"
                );
                let answer = exchange(outbound, &head, b"start", Duration::from_secs(6));
                let status = answer.map_or(0, |answer| answer.status);
                if status != 200 {
                    record.line(format!("client: request {id} got {status}"));
                }
                !matches!(status, 200 | 408 | 421 | 429 | 503)
            }));
            thread::sleep(Duration::from_millis(50));
        }
        senders.into_iter().filter_map(|sender| sender.join().ok()).filter(|lost| *lost).count()
    })
}
