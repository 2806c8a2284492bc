//! A backend server answers uploads before it has read them, as RULES.md allows, and reads on. The
//! clients send the uploads on kept connections and read at the same time, at the speed of a narrow link. Each has to get the answer.

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
use kit::Response;
use kit::Route;
use kit::Wire;
use kit::HOST;
use kit::OUTBOUND;

/// Size of an upload, in bytes; the mean of the site's `bruise-photos` is 60,000, the maximum 360,000.
const UPLOAD_BYTES: usize = 360_000;

/// Size of an answer, in bytes: the maximum of the site's `bruise-photos`.
const ANSWER_BYTES: usize = 36_000;

/// Receive buffer of a client, in bytes. Links have small windows (DEPLOY.md).
const CLIENT_WINDOW_BYTES: i32 = 8_192;

/// Bytes that a client reads at once, and the pause between them: about 9 Mbit/s, as over the narrowed
/// link of the site's `link_squeeze`.
const READ_BYTES: usize = 4_096;
const READ_PAUSE: Duration = Duration::from_micros(3_500);

/// Uploads through each of the two hosts.
const UPLOADS: usize = 6;

/// Reads an answer, with pauses between the pieces of its body.
fn read_slowly(wire: &mut Wire) -> std::io::Result<Response> {
    let head = wire.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let length = head.length().unwrap_or(0);
    let mut body = Vec::new();
    while body.len() < length {
        thread::sleep(READ_PAUSE);
        let piece = wire.read_some((length - body.len()).min(READ_BYTES))?;
        if piece.is_empty() {
            let text = format!("closed after {} of {length} bytes of the body", body.len());
            return Err(std::io::Error::new(std::io::ErrorKind::UnexpectedEof, text));
        }
        body.extend(piece);
    }
    Ok(Response { status: head.status(), head, body })
}

/// Sends one upload on a kept connection. Returns whether a whole answer came.
fn upload(record: &Record, entry: &Host, id: &str) -> Result<bool, String> {
    let text = |e: std::io::Error| format!("{id}: {e}");
    let mut wire = Wire::connect_narrow(entry.at(OUTBOUND), CLIENT_WINDOW_BYTES).map_err(text)?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(6))).map_err(text)?;
    let warm_id = format!("w{id}");
    let headers = [("X-Attempt-Id", warm_id.as_str()), ("X-Deadline-Ms", "4000")];
    wire.send(&request_bytes("GET", "/get/1", HOST, &headers, b"")).map_err(text)?;
    let first = read_response(&mut wire).map_err(text)?;
    if first.status != 200 {
        return Err(format!("the first request on the connection got {}", first.status));
    }
    let body = vec![b'u'; UPLOAD_BYTES];
    let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "4000")];
    let bytes = request_bytes("POST", "/up/1", HOST, &headers, &body);
    let mut writer = Wire::new(wire.stream.try_clone().map_err(text)?);
    // About 40 Mbit/s.
    let sending = thread::spawn(move || {
        for piece in bytes.chunks(10_000) {
            if let Err(e) = writer.send(piece) {
                return format!("sending ended: {e}");
            }
            thread::sleep(Duration::from_millis(2));
        }
        "sent whole".to_string()
    });
    let start = Instant::now();
    let response = read_slowly(&mut wire);
    let elapsed_ms = start.elapsed().as_millis();
    let sent = sending.join().expect("the sending thread does not panic");
    let is_whole = match response {
        Ok(response) => {
            let has_seal = response.head.get("x-response-seal").is_some();
            record.line(format!(
                "client {id}: {} with {} bytes, seal: {has_seal}, after {elapsed_ms} ms; {sent}",
                response.status,
                response.body.len()
            ));
            // An answer of the node's own, such as 502, is an answer as well.
            response.status != 200 || response.body.len() == ANSWER_BYTES
        }
        Err(e) => {
            record.line(format!(
                "client {id}: the connection ended without a whole answer after {elapsed_ms} ms: \
                 {e}; {sent}"
            ));
            false
        }
    };
    Ok(is_whole)
}

fn play(record: &Arc<Record>, deployment: &Deployment) -> Result<bool, String> {
    deployment.start_all();
    let hosts = deployment.sidecars().to_vec();
    let _front = Backend::start(&hosts[0], "i-front", record, 20, |backend, head, wire| {
        let id = head.get("x-attempt-id").unwrap_or("").to_string();
        wire.read_request_body(head)?;
        backend.begin_run(&id);
        answer(wire, &id, b"ok")?;
        Ok(true)
    });
    let store = Backend::start(&hosts[1], "i-store", record, 20, |backend, head, wire| {
        let id = head.get("x-attempt-id").unwrap_or("").to_string();
        let length = head.length().unwrap_or(0);
        backend.begin_run(&id);
        let body = vec![b'a'; ANSWER_BYTES];
        if !has_trouble() {
            wire.read_exact(length)?;
            answer(wire, &id, &body)?;
            backend.record.line(format!("backend: {id} read and answered"));
            return Ok(true);
        }
        let mut count = wire.read_some(4_096)?.len();
        answer(wire, &id, &body)?;
        backend.record.line(format!("backend: {id} answered after {count} bytes of its body"));
        // It keeps the connection and reads on.
        while count < length {
            let piece = wire.read_some((length - count).min(20_000));
            let Ok(piece) = piece else { return Ok(false) };
            if piece.is_empty() {
                return Ok(false);
            }
            count += piece.len();
        }
        Ok(true)
    });
    let routes = [
        Route {
            name: "up",
            prefix: "/up/",
            kind: "upload",
            service: "store",
            timeout_s: 5.0,
            priority: 1,
        },
        Route {
            name: "get",
            prefix: "/get/",
            kind: "idempotent",
            service: "front",
            timeout_s: 5.0,
            priority: 2,
        },
    ];
    if !deployment.put(record, &configuration(3, 0, &routes), Duration::from_secs(20)) {
        return Err("the first configuration was not acknowledged".into());
    }
    for host in &hosts {
        if !deployment.wait_ready(host, Duration::from_secs(20)) {
            return Err(format!("{} is not ready", host.name));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let mut lost = 0;
    for (name, entry) in [("own", &hosts[1]), ("peer", &hosts[0])] {
        for number in 0..UPLOADS {
            let id = format!("{name}{number}");
            let is_whole = upload(record, entry, &id)?;
            let runs = store.run_count(&id);
            if runs == 0 {
                return Err(format!("{id} did not reach the backend server"));
            }
            lost += usize::from(!is_whole);
        }
    }
    record.line(format!("{lost} of {} uploads ran and got no whole answer", 2 * UPLOADS));
    Ok(lost <= 3)
}

fn main() {
    let record = Record::create();
    let deployment = Deployment::new(&[("hall-a", "front"), ("hall-a", "store")]);
    let verdict = play(&record, &deployment);
    finish(&record, deployment, verdict);
}
