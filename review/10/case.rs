//! A backend deregisters and gets its ack. Then all processes of the system are killed and start
//! again. A ping that the backend had sent before it deregistered arrives late.

#[path = "../standins-2/deployment.rs"]
mod deployment;

use std::time::Duration;
use std::time::Instant;

use deployment::*;

const BOUNDS: Bounds = Bounds {
    machines: 1,
    text: "seedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 4\ncatchUpS = 4\ndrainS = 2\n\
           graceS = 6\nlossSlackS = 0.2\nconvergeS = 2\nrollbackSlackS = 0.25\nskewMaxS = 5\n\
           retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 49\nrecoveryS = 15\n",
};
const DRAIN: Duration = Duration::from_secs(2);
/// Twice `contactS`: from then on after the restart of all, the machines are in touch.
const IN_TOUCH: Duration = Duration::from_secs(6);

const DOCUMENT: &str = "{\"version\":\"r1\",\"baseVersion\":0,\"resources\":[\
    {\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-a\"},\"spec\":{\
    \"host\":\"hulo84.example\",\"pathPrefix\":\"/leny950/\",\"kind\":\"non_idempotent\",\
    \"timeoutS\":2.5,\"targetLatencyS\":2,\"priority\":2,\"service\":\"huvo11a\",\"maxAttempts\":2}},\
    {\"resourceType\":\"services\",\"metadata\":{\"name\":\"huvo11a\"},\"spec\":{\
    \"healthPath\":\"/health\",\"maxConnections\":532,\"protocol\":\"h1\",\"tls\":false}},\
    {\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}";

/// Sends 80 requests at all machines, eight at a time. Returns the answers with the ids.
fn send_all(sidecars: &[Host], phase: &str) -> Vec<(String, String, Option<Answer>)> {
    let mut answers = Vec::new();
    for round in 0..10 {
        std::thread::scope(|scope| {
            let senders: Vec<_> = (0..8)
                .map(|n| {
                    let (to, name) = (sidecars[n % 4].outbound(), sidecars[n % 4].name.clone());
                    let id = format!("{phase}-{round}-{n}");
                    scope.spawn(move || {
                        let answer = request_at(to, "POST", "/leny950/2f", &id, 2_500);
                        (name, id, answer)
                    })
                })
                .collect();
            answers.extend(senders.into_iter().map(|sender| sender.join().unwrap()));
        });
        sleep_s(0.02);
    }
    answers
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let Some(network) = Network::new(BOUNDS, &[1, 2, 3], 7) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let cores: Vec<Host> =
        (1..=3).zip(["a", "b", "c"]).map(|(n, zone)| Host::core(&network, n, zone)).collect();
    let sidecars: Vec<Host> = (4..=7)
        .zip(["a", "a", "b", "c"])
        .map(|(n, zone)| Host::sidecar(&network, n, zone, "huvo11a"))
        .collect();
    let all: Vec<&Host> = cores.iter().collect();
    cores.iter().for_each(Host::start);
    sidecars.iter().for_each(Host::start);
    record.line("3 core machines in 3 zones and 4 sidecar machines of one service start");
    let backends: Vec<_> = sidecars
        .iter()
        .map(|host| {
            Backend::start(
                host,
                &format!("i-{:08x}", 0x7f3a_0000 + u32::from(host.n)),
                Duration::from_millis(50),
            )
        })
        .collect();
    for (backend, host) in backends.iter().zip(&sidecars) {
        backend.start_pings(host.control());
    }
    if order(&record, &all, "r1", DOCUMENT, Duration::from_secs(10)).is_none() {
        return NOT_RUN;
    }
    sleep_s(8.0);
    let (leaving, host) = (&backends[0], &sidecars[0]);
    let answers = send_all(&sidecars, "before");
    let served = answers.iter().filter(|(_, _, answer)| status(answer) == 200).count();
    let runs = leaving.runs.lock().unwrap().len();
    record.line(&format!(
        "before: {served} of 80 requests are served, {runs} of them by {}",
        leaving.id
    ));
    if served < 72 || runs == 0 {
        return NOT_RUN;
    }
    leaving.stop_pings();
    sleep_s(1.6);
    let late_ping = leaving.next_ping("ready");
    record.line(&format!("{} sends a ping (state ready), which is delayed on its way", leaving.id));
    sleep_s(0.3);
    let ack = leaving.deregister(host.control());
    let acked = Instant::now();
    record.line(&format!("{} deregisters; {} answers {ack}", leaving.id, host.name));
    if ack != 200 {
        return NOT_RUN;
    }
    sleep_s(0.3);
    let mut back = Instant::now();
    if has_trouble() {
        cores.iter().chain(&sidecars).for_each(Host::kill);
        record.line("all processes of the system are killed; backends and disks stay");
        sleep_s(1.1);
        cores.iter().chain(&sidecars).for_each(Host::start);
        back = Instant::now();
        record.line("all processes are back");
    }
    std::thread::sleep((acked + Duration::from_secs(5)).saturating_duration_since(Instant::now()));
    let answer = leaving.send_ping(host.control(), &late_ping);
    record.line(&format!("the delayed ping arrives, 5.3 s late; {} answers {answer}", host.name));
    std::thread::sleep(
        (back + IN_TOUCH + Duration::from_millis(200)).saturating_duration_since(Instant::now()),
    );
    record.line(&format!(
        "the machines are in touch; {:.1} s since the ack",
        acked.elapsed().as_secs_f64()
    ));
    let first = Instant::now();
    for (name, id, answer) in send_all(&sidecars, "after") {
        let text =
            answer.map_or("no answer".to_string(), |a| format!("{} {}", a.status, a.body.trim()));
        record.line(&format!("{name} was sent {id}: {text}"));
    }
    let late: Vec<String> = (leaving.runs.lock().unwrap().iter())
        .filter(|run| run.at >= first && run.at > acked + DRAIN)
        .map(|run| {
            format!("{} {:.1} s after the ack", run.attempt_id, (run.at - acked).as_secs_f64())
        })
        .collect();
    record.line(&format!(
        "{} stops serving {:.1} s after the ack and exits",
        leaving.id,
        acked.elapsed().as_secs_f64()
    ));
    if late.is_empty() {
        record.line("HELD: no request reached the backend that is gone");
        return HELD;
    }
    record.line(&format!("BROKEN: {} ran {}: {}", leaving.id, late.len(), late.join(", ")));
    BROKEN
}
