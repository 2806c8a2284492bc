//! The host beside a backend server freezes for a moment while requests run, and wakes again. The backend
//! server runs each request once and answers it in one go, well before its deadline. Clients of another
//! host, which nothing disturbs, have to get the answers.

#[path = "kit.rs"]
mod kit;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::answer;
use kit::configuration;
use kit::finish;
use kit::has_trouble;
use kit::read_response;
use kit::request_bytes;
use kit::Backend;
use kit::Deployment;
use kit::Host;
use kit::Record;
use kit::Route;
use kit::Wire;
use kit::HOST;
use kit::OUTBOUND;

/// Size of an answer, in bytes: the maximum of the site's `bruise-photos`.
const ANSWER_BYTES: usize = 36_000;

/// Time for which the first request runs, and by which each further one runs longer. Some runs end while
/// the host stands still, the others after it.
const WORK: Duration = Duration::from_millis(1_500);
const MORE_WORK: Duration = Duration::from_millis(65);

/// How long the host beside the backend server stands still; the site's `node_freeze` has 4 s.
const FREEZE: Duration = Duration::from_millis(2_500);

/// Requests through the other host at the same time, each on a kept connection.
const REQUESTS: usize = 40;

/// Sends a request on a kept connection. Returns whether a whole answer came.
fn request(record: &Record, entry: &Host, id: &str) -> Result<bool, String> {
    let text = |e: std::io::Error| format!("{id}: {e}");
    let mut wire = Wire::connect(entry.at(OUTBOUND)).map_err(text)?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(8))).map_err(text)?;
    let warm_id = format!("w{id}");
    let headers = [("X-Attempt-Id", warm_id.as_str()), ("X-Deadline-Ms", "5000")];
    wire.send(&request_bytes("POST", "/do/short", HOST, &headers, b"lug")).map_err(text)?;
    let first = read_response(&mut wire).map_err(text)?;
    if first.status != 200 {
        return Err(format!("the first request on the connection got {}", first.status));
    }
    let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "5000")];
    wire.send(&request_bytes("POST", "/do/long", HOST, &headers, b"lug")).map_err(text)?;
    let start = Instant::now();
    let response = read_response(&mut wire);
    let elapsed_ms = start.elapsed().as_millis();
    match response {
        Ok(response) => {
            record.line(format!(
                "client {id}: {} with {} bytes after {elapsed_ms} ms",
                response.status,
                response.body.len()
            ));
            // An answer of the node's own, such as 502, is an answer as well.
            Ok(response.status != 200 || response.body.len() == ANSWER_BYTES)
        }
        Err(e) => {
            record.line(format!(
                "client {id}: the connection ended without a whole answer after {elapsed_ms} ms: {e}"
            ));
            Ok(false)
        }
    }
}

fn play(record: &Arc<Record>, deployment: &Deployment) -> Result<bool, String> {
    deployment.start_all();
    let hosts = deployment.sidecars().to_vec();
    let _front = Backend::start(&hosts[0], "i-front", record, 20, |_, head, wire| {
        let id = head.get("x-attempt-id").unwrap_or("").to_string();
        wire.read_request_body(head)?;
        answer(wire, &id, b"ok")?;
        Ok(true)
    });
    let store = Backend::start(&hosts[1], "i-store", record, 88, |backend, head, wire| {
        let id = head.get("x-attempt-id").unwrap_or("").to_string();
        wire.read_request_body(head)?;
        if head.target() == "/do/short" {
            answer(wire, &id, b"ok")?;
            return Ok(true);
        }
        backend.begin_run(&id);
        let number: u32 = id.trim_start_matches('r').parse().unwrap_or(0);
        thread::sleep(WORK + MORE_WORK * number);
        answer(wire, &id, &[b'a'; ANSWER_BYTES])?;
        backend.record.line(format!("backend: {id} answered in full"));
        Ok(true)
    });
    let routes = [Route {
        name: "do",
        prefix: "/do/",
        kind: "non_idempotent",
        service: "store",
        timeout_s: 6.0,
        priority: 2,
    }];
    if !deployment.put(record, &configuration(3, 0, &routes), Duration::from_secs(20)) {
        return Err("the first configuration was not acknowledged".into());
    }
    for host in &hosts {
        if !deployment.wait_ready(host, Duration::from_secs(20)) {
            return Err(format!("{} is not ready", host.name));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, entry) = (Arc::clone(record), Arc::clone(&hosts[0]));
            thread::spawn(move || request(&record, &entry, &format!("r{number}")))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble() {
        hosts[1].signal("STOP");
        record.line("the host of the backend server stands still");
        thread::sleep(FREEZE);
        hosts[1].signal("CONT");
        record.line("it goes on");
    }
    let mut lost = 0;
    for request in requests {
        let is_whole = request.join().map_err(|_| "a client failed".to_string())??;
        lost += usize::from(!is_whole);
    }
    let runs = store.runs.lock().unwrap().len();
    record.line(format!("{runs} requests ran, {lost} got no whole answer"));
    if runs < REQUESTS {
        return Err("not all requests reached the backend server".into());
    }
    if (0..REQUESTS).any(|number| store.run_count(&format!("r{number}")) > 1) {
        return Err("a request ran twice, which this case is not about".into());
    }
    Ok(lost <= 3)
}

fn main() {
    let record = Record::create();
    let deployment = Deployment::new(&[("hall-a", "front"), ("hall-a", "store")]);
    let verdict = play(&record, &deployment);
    finish(&record, deployment, verdict);
}
