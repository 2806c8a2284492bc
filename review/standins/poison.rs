//! A request that crashes the backends that run it, and that its client sends again and again.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::backend;
use crate::backend::BackendSettings;
use crate::backend::Server;
use crate::deployment::configuration;
use crate::deployment::exchange;
use crate::deployment::read_answer;
use crate::deployment::Deployment;
use crate::deployment::Record;
use crate::deployment::RouteSpec;
use crate::deployment::BACKEND_PORT;
use crate::deployment::BROKEN;
use crate::deployment::CONTACT_S;
use crate::deployment::COULD_NOT_RUN;
use crate::deployment::HELD;
use crate::deployment::OUTBOUND_PORT;

/// Time after which a crashed backend is back.
const RESTART: Duration = Duration::from_secs(2);
/// Time from the end of an attempt to the next one, in which crashed backends come back.
const PAUSE_S: f64 = 2.5;
/// Times that the client sends the request again after the third crash.
const RETRIES: usize = 9;
/// Retries that may reach backends, by the rule.
const ALLOWED_RETRIES: usize = 3;
/// Number of the core hosts, which come first.
const CORES: usize = 3;

/// What differs between the cases.
pub struct Case {
    /// Zones of the hosts on which clients send, and of the hosts with a backend that runs the request.
    pub entry_zones: &'static [&'static str],
    pub backend_zones: &'static [&'static str],
    pub service: &'static str,
    /// Kind of the request's route, and the length of its body.
    pub kind: &'static str,
    pub body_bytes: usize,
    /// Bytes of the body after which the line of the client pauses, by the number of the attempt; the
    /// whole request is sent at once otherwise.
    pub first_piece_bytes: Option<fn(usize) -> usize>,
}

/// Runs the case with the arguments of the program, and ends the process.
pub fn main(case: &Case) -> ! {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "backend") {
        backend::run(&arguments[1..]);
    }
    let is_troubled = arguments.first().is_none_or(|trouble| trouble != "0");
    let path = std::env::var("REVIEW_RECORD").expect("run.sh sets REVIEW_RECORD");
    let record = Record::create(Path::new(&path));
    let code = play(case, &record, is_troubled);
    record.line(format!("exit code {code}"));
    std::process::exit(code);
}

fn play(case: &Case, record: &Record, is_troubled: bool) -> i32 {
    record.line(format!("disruption: {}", if is_troubled { "yes" } else { "no (TROUBLE=0)" }));
    let entries = case.entry_zones.len();
    let entry_hosts = case.entry_zones.iter().map(|zone| ("counter", *zone));
    let backend_hosts = case.backend_zones.iter().map(|zone| (case.service, *zone));
    let sidecars: Vec<(&str, &str)> = entry_hosts.chain(backend_hosts).collect();
    let mut deployment = Deployment::new(record, &["hall-a", "hall-b", "annex"], &sidecars);
    deployment.start_all();
    let routes = [
        RouteSpec {
            prefix: "reel",
            kind: case.kind,
            timeout_s: 10.0,
            service: case.service,
            attempts: 2,
            priority: 1,
        },
        RouteSpec {
            prefix: "note",
            kind: "non_idempotent",
            timeout_s: 6.0,
            service: case.service,
            attempts: 2,
            priority: 0,
        },
    ];
    let document = configuration("r1", "0", &routes, &["counter", case.service]);
    if !deployment.configure(&document, Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    let outbound: Vec<SocketAddr> = deployment.hosts[CORES..CORES + entries]
        .iter()
        .map(|host| host.address(OUTBOUND_PORT))
        .collect();
    let events = format!("{}/events.txt", std::env::var("REVIEW_TEMP").unwrap_or_default());
    let crash_path = if is_troubled { "/reel/7" } else { "" };
    let servers = (entries..sidecars.len())
        .map(|index| {
            let host = &deployment.hosts[CORES + index];
            Server::new(
                BackendSettings {
                    listen: host.address(BACKEND_PORT),
                    id: format!("i-{}-{}", case.service, index + 1 - entries),
                    slots: 99,
                    work_ms: 220,
                    crash_path: crash_path.into(),
                    call: String::new(),
                    events: events.clone(),
                },
                host,
            )
        })
        .collect();
    let is_ended = Arc::new(AtomicBool::new(false));
    let platform = run_backends(servers, record, &is_ended);
    let are_ready =
        (0..entries).all(|at| deployment.wait_ready(CORES + at, Duration::from_secs(20)));
    if !are_ready {
        return end(&is_ended, platform, COULD_NOT_RUN);
    }
    // All machines are in touch from here on: their processes have run for longer than contactS.
    thread::sleep(Duration::from_secs_f64(CONTACT_S + 1.5));
    let mut lost = 0;
    let mut attempts = Vec::new();
    let mut third_crash = None;
    let mut number = 0;
    while attempts.len() < RETRIES && number < 24 {
        number += 1;
        let id = format!("reel{number:04}");
        let entry = number % entries;
        let pause = Duration::from_millis(if case.first_piece_bytes.is_some() { 720 } else { 100 });
        let other = {
            let (record, outbound, id) =
                (record.clone(), outbound[entry], format!("note{number:04}"));
            thread::spawn(move || {
                thread::sleep(pause - Duration::from_millis(100));
                send_other(outbound, &record, id).join().unwrap_or(false)
            })
        };
        if case.first_piece_bytes.is_none() {
            thread::sleep(pause);
        }
        let outcome = send_request(case, outbound[entry], &id, number);
        let host = &deployment.hosts[CORES + entry].name;
        record.line(format!("client of {host}: attempt {id} got {outcome}"));
        let is_other_lost = other.join().unwrap_or(false);
        if third_crash.is_some() {
            attempts.push(id);
            lost += usize::from(is_other_lost);
        }
        let crashes = count(&events, "crashes");
        let is_next_phase = if is_troubled { crashes >= 3 } else { number >= 3 };
        if third_crash.is_none() && is_next_phase {
            record.line(format!("{crashes} crashes under the request"));
            third_crash = Some(Instant::now());
            thread::sleep(Duration::from_secs_f64(CONTACT_S + 0.5));
        } else {
            thread::sleep(Duration::from_secs_f64(PAUSE_S));
        }
    }
    let code = judge(record, &events, &attempts, is_troubled, third_crash.is_some());
    record.line(format!(
        "{lost} requests of other clients that had been passed on then got no answer of a backend"
    ));
    end(&is_ended, platform, code)
}

fn count(events: &str, what: &str) -> usize {
    backend::read_events(events).iter().filter(|event| event.what == what).count()
}

fn judge(
    record: &Record,
    events: &str,
    attempts: &[String],
    is_troubled: bool,
    has_crashed: bool,
) -> i32 {
    let all = backend::read_events(events);
    for event in all.iter().filter(|event| event.path.contains("/reel/")) {
        record.line(format!(
            "backend {}: {} {} {} at {} ms",
            event.backend, event.what, event.attempt, event.detail, event.at_ms
        ));
    }
    if is_troubled && !has_crashed {
        return COULD_NOT_RUN;
    }
    let has_reached =
        |id: &String| all.iter().any(|event| event.what == "runs" && event.attempt == *id);
    let reached = attempts.iter().filter(|id| has_reached(id)).count();
    record.line(format!(
        "{reached} of {} retries, sent later than contactS after the third crash, reached backends; \
         the rule allows {ALLOWED_RETRIES} of a request that crashes them",
        attempts.len()
    ));
    if !is_troubled {
        // The request crashes nothing, so each of its attempts has to be answered.
        return if reached == attempts.len() { HELD } else { BROKEN };
    }
    if reached > ALLOWED_RETRIES {
        BROKEN
    } else {
        HELD
    }
}

fn end(is_ended: &AtomicBool, platform: thread::JoinHandle<()>, code: i32) -> i32 {
    is_ended.store(true, Ordering::SeqCst);
    let _ = platform.join();
    code
}

/// Sends the request and returns how it ended. Its path, caller and body are the same each time.
fn send_request(case: &Case, outbound: SocketAddr, id: &str, attempt: usize) -> String {
    let body: Vec<u8> = (0..case.body_bytes).map(|at| (at * 31 % 251) as u8).collect();
    let Ok(mut stream) = TcpStream::connect_timeout(&outbound, Duration::from_secs(1)) else {
        return "no connection".into();
    };
    let _ = stream.set_nodelay(true);
    let head = format!(
        "POST /reel/7 HTTP/1.1\r\nHost: oven.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 9000\r\nContent-Length: {}\r\n\r\n",
        case.body_bytes
    );
    let mut pieces = vec![head.into_bytes()];
    // WHOLE=1 sends it at once for comparison, as over a fast line.
    let is_whole = std::env::var("WHOLE").is_ok_and(|whole| whole == "1");
    match case.first_piece_bytes.filter(|_| !is_whole) {
        Some(first_piece_bytes) => {
            let (first, rest) = body.split_at(first_piece_bytes(attempt));
            pieces.push(first.to_vec());
            pieces.extend(rest.chunks(30_000).map(<[u8]>::to_vec));
        }
        None => pieces[0].extend_from_slice(&body),
    }
    for (index, piece) in pieces.iter().enumerate() {
        if stream.write_all(piece).is_err() {
            break;
        }
        if index > 0 {
            thread::sleep(Duration::from_millis(250));
        }
    }
    match read_answer(&mut stream, Duration::from_secs(10)) {
        Some(answer) => format!(
            "{}{}",
            answer.status,
            answer.header("retry-after").map_or(String::new(), |t| format!(", Retry-After: {t}"))
        ),
        None => "no answer".into(),
    }
}

/// Sends another client's request, which may run only once and takes longer than the next one takes to
/// arrive. Returns whether it failed without a promise that it has not run.
fn send_other(outbound: SocketAddr, record: &Record, id: String) -> thread::JoinHandle<bool> {
    let record = record.clone();
    thread::spawn(move || {
        let head = format!(
            "POST /note/{id} HTTP/1.1\r\nHost: oven.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 5000"
        );
        let answer = exchange(outbound, &head, b"note", Duration::from_secs(6));
        let status = answer.map_or(0, |answer| answer.status);
        record.line(format!("other client: request {id} got {status}"));
        !matches!(status, 200 | 408 | 421 | 429 | 503)
    })
}

/// Keeps the backends running, as their platform does, and sends their pings.
fn run_backends(
    mut servers: Vec<Server>,
    record: &Record,
    is_ended: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, is_ended) = (record.clone(), Arc::clone(is_ended));
    thread::spawn(move || {
        while !is_ended.load(Ordering::SeqCst) {
            for server in &mut servers {
                server.step(&record, Some(RESTART));
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}
