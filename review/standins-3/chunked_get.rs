//! Clients send GET requests with a body, with a length or in chunks. The backend server has to get the
//! body that was sent.

#[path = "kit.rs"]
mod kit;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

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

/// Size of a body, in bytes.
const BODY_BYTES: usize = 24_000;

/// Requests through each of the two hosts.
const REQUESTS: usize = 5;

fn chunked(id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "GET /get/rows HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for piece in body.chunks(8_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn request(record: &Record, entry: &Host, id: &str) -> Result<u16, String> {
    let text = |e: std::io::Error| format!("{id}: {e}");
    let body = vec![b'q'; BODY_BYTES];
    let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "4000")];
    let bytes = match has_trouble() {
        true => chunked(id, &body),
        false => request_bytes("GET", "/get/rows", HOST, &headers, &body),
    };
    let mut wire = Wire::connect(entry.at(OUTBOUND)).map_err(text)?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(6))).map_err(text)?;
    wire.send(&bytes).map_err(text)?;
    let response = read_response(&mut wire).map_err(text)?;
    let has_seal = response.head.get("x-response-seal").is_some();
    let framing = if has_trouble() { "in chunks" } else { "with a length" };
    record.line(format!(
        "client {id}: sent {BODY_BYTES} bytes {framing}, got {}, seal: {has_seal}",
        response.status
    ));
    Ok(response.status)
}

fn play(record: &Arc<Record>, deployment: &Deployment) -> Result<bool, String> {
    deployment.start_all();
    let hosts = deployment.sidecars().to_vec();
    let seen: Arc<Mutex<HashMap<String, Vec<u8>>>> = Arc::default();
    let mut backends = Vec::new();
    for (host, id) in hosts.iter().zip(["i-front", "i-store"]) {
        let seen = Arc::clone(&seen);
        backends.push(Backend::start(host, id, record, 20, move |backend, head, wire| {
            let id = head.get("x-attempt-id").unwrap_or("").to_string();
            let body = wire.read_request_body(head)?;
            backend.begin_run(&id);
            let framing: Vec<_> = head
                .headers
                .iter()
                .filter(|(name, _)| {
                    ["content-length", "transfer-encoding"].contains(&&*name.to_lowercase())
                })
                .collect();
            backend.record.line(format!(
                "backend: runs {id}, {}, framing {framing:?}, {} bytes of body",
                head.line,
                body.len()
            ));
            seen.lock().unwrap().insert(id.clone(), body);
            answer(wire, &id, b"rows")?;
            Ok(true)
        }));
    }
    let routes = [Route {
        name: "get",
        prefix: "/get/",
        kind: "idempotent",
        service: "store",
        timeout_s: 5.0,
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
    let mut changed = 0;
    for (name, entry) in [("own", &hosts[1]), ("peer", &hosts[0])] {
        for number in 0..REQUESTS {
            let id = format!("{name}{number}");
            request(record, entry, &id)?;
            let run = seen.lock().unwrap().get(&id).cloned();
            changed += usize::from(run.is_some_and(|body| body != vec![b'q'; BODY_BYTES]));
        }
    }
    record.line(format!("{changed} of {} requests ran with a changed body", 2 * REQUESTS));
    Ok(changed == 0)
}

fn main() {
    let record = Record::create();
    let deployment = Deployment::new(&[("hall-a", "front"), ("hall-a", "store")]);
    let verdict = play(&record, &deployment);
    finish(&record, deployment, verdict);
}
