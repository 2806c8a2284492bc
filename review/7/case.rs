//! The seeds are exchanged for other machines that serve control, in the files of a part of the
//! machines; then all processes are killed and start again with the settings in effect.

#[path = "../standins-2/deployment.rs"]
mod deployment;

use std::time::Duration;
use std::time::Instant;

use deployment::*;

const BOUNDS: Bounds = Bounds {
    machines: 2,
    text: "seedLagS = 3\nreuseAfterS = 2\ncontactS = 4\nackS = 4\ncatchUpS = 6\ndrainS = 2.5\n\
           graceS = 10\nlossSlackS = 0.2\nconvergeS = 2.5\nrollbackSlackS = 0.25\nskewMaxS = 6\n\
           retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 123\nrecoveryS = 15\n",
};
const RECOVERY_S: f64 = 15.0;
/// Rounds of requests in each of the two measurements: one request at each machine a round.
const ROUNDS: usize = 12;

/// `r1` has the route `/leny950/`; from `r2` on, there is `/puka111/` too.
fn document(version: u32, base: u32) -> String {
    let base = if base == 0 { "0".to_string() } else { format!("\"r{base}\"") };
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"host\":\"hulo84.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"idempotent\",\
             \"timeoutS\":2.5,\"targetLatencyS\":2,\"priority\":2,\"service\":\"huvo11a\",\"maxAttempts\":2}}}},"
        )
    };
    let mut routes = route("r-a", "/leny950/");
    if version >= 2 {
        routes += &route("r-b", "/puka111/");
    }
    format!(
        "{{\"version\":\"r{version}\",\"baseVersion\":{base},\"resources\":[{routes}\
         {{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"huvo11a\"}},\"spec\":{{\
         \"healthPath\":\"/health\",\"maxConnections\":532,\"protocol\":\"h1\",\"tls\":false}}}},\
         {{\"resourceType\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}]}}"
    )
}

/// Requests on the route that `r2` added.
#[derive(Default)]
struct Count {
    sent: usize,
    served: usize,
    /// Answered 404, as only `r1` allows.
    outdated: usize,
}

/// Sends requests on the new route at all machines.
fn measure(record: &Record, sidecars: &[Host], phase: &str) -> Count {
    let mut total = Count::default();
    for host in sidecars {
        let mut count = Count::default();
        let mut statuses = std::collections::BTreeMap::new();
        for round in 0..ROUNDS {
            let id = format!("{phase}-{round}-{}", host.n);
            let answer = request(host, "GET", "/puka111/2f", &id, 2_500);
            *statuses.entry(status(&answer)).or_insert(0) += 1;
            count.sent += 1;
            count.outdated += usize::from(status(&answer) == 404);
            count.served += usize::from(answer.is_some_and(|a| {
                a.status == 200 && a.headers.contains_key("x-response-seal") && a.body.contains(&id)
            }));
            sleep_s(0.02);
        }
        record.line(&format!(
            "{phase}: {} is sent {} GET /puka111/2f; answers by status: {statuses:?}",
            host.name, count.sent
        ));
        total.sent += count.sent;
        total.served += count.served;
        total.outdated += count.outdated;
    }
    record.line(&format!(
        "{phase}: {} sent, {} served, {} answered 404",
        total.sent, total.served, total.outdated
    ));
    total
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let (old, new) = ([1, 2, 3], [4, 5, 6]);
    let Some(network) = Network::new(BOUNDS, &old, 13) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let zones = ["a", "b", "c", "d", "e", "f"];
    let cores: Vec<Host> =
        (1..=6).map(|n| Host::core(&network, n, zones[usize::from(n) - 1])).collect();
    let sidecars: Vec<Host> = ["a", "d", "d", "e", "e", "f", "f"]
        .iter()
        .zip(7..)
        .map(|(zone, n)| Host::sidecar(&network, n, zone, "huvo11a"))
        .collect();
    let all: Vec<&Host> = cores.iter().collect();
    cores.iter().for_each(Host::start);
    sidecars.iter().for_each(Host::start);
    record.line("6 core machines in 6 zones and 7 sidecar machines start; all have the seeds core-a-1, core-b-1, core-c-1");
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
    if order(&record, &all, "r1", &document(1, 0), Duration::from_secs(10)).is_none() {
        return NOT_RUN;
    }
    sleep_s(10.0);
    if order(&record, &all, "r2", &document(2, 1), Duration::from_secs(4)).is_none() {
        return NOT_RUN;
    }
    sleep_s(3.0);
    let before = measure(&record, &sidecars, "before");
    if before.served * 4 < before.sent * 3 {
        return NOT_RUN;
    }
    for host in cores[3..].iter().chain(&sidecars[1..]) {
        host.change_seeds(&new);
    }
    record.line("the files of the machines in zones d, e and f name the seeds core-d-1, core-e-1, core-f-1 from now on");
    sleep_s(3.0);
    if has_trouble() {
        for host in cores.iter().chain(&sidecars) {
            host.kill();
        }
        record.line("all processes of the system are killed; disks and backends stay");
        sleep_s(1.0);
        cores.iter().chain(&sidecars).for_each(Host::start);
        record.line("all processes are back");
    }
    let back = Instant::now();
    sleep_s(RECOVERY_S);
    let after = measure(&record, &sidecars, "after");
    sleep_s(10.0);
    let later = measure(&record, &sidecars, "later");
    let seconds = back.elapsed().as_secs_f64();
    let addresses: Vec<_> = cores.iter().chain(&sidecars).map(|host| host.control()).collect();
    let reads: Vec<_> = addresses
        .into_iter()
        .map(|from| std::thread::spawn(move || version_of(&get(from))))
        .collect();
    for (host, read) in cores.iter().chain(&sidecars).zip(reads) {
        record.line(&format!(
            "{} answers a read of the configuration: {}",
            host.name,
            read.join().unwrap()
        ));
    }
    let runs: usize = backends.iter().map(|backend| backend.runs.lock().unwrap().len()).sum();
    record.line(&format!("the backends ran {runs} requests"));
    let (sent, outdated) = (after.sent + later.sent, after.outdated + later.outdated);
    if outdated == 0 {
        record.line("HELD: no request is handled as only r1 allows");
        return HELD;
    }
    record.line(&format!(
        "BROKEN: {outdated} of {sent} requests sent {RECOVERY_S:.0} to {seconds:.0} s after all machines are back are handled as only r1 allows, though r2 was acknowledged"
    ));
    BROKEN
}
