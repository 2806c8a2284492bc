//! Six core machines, of which two may lose their disks at once. Three of them lose power for some
//! seconds; meanwhile a configuration is acknowledged; then two others lose their disks.

#[path = "../standins-2/deployment.rs"]
mod deployment;

use std::time::Duration;
use std::time::Instant;

use deployment::*;

/// Bounds of the installation that the claim names.
const BOUNDS: Bounds = Bounds {
    machines: 2,
    text: "seedLagS = 3\nreuseAfterS = 2\ncontactS = 4\nackS = 4\ncatchUpS = 6\ndrainS = 2.5\n\
           graceS = 10\nlossSlackS = 0.2\nconvergeS = 2.5\nrollbackSlackS = 0.25\nskewMaxS = 6\n\
           retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 123\nrecoveryS = 15\n",
};
const RECOVERY: Duration = Duration::from_secs(15);
const CONTACT: Duration = Duration::from_secs(4);

fn document(version: u32, base: u32) -> String {
    let base = if base == 0 { "0".to_string() } else { format!("\"r{base}\"") };
    format!(
        "{{\"version\":\"r{version}\",\"baseVersion\":{base},\"resources\":[\
         {{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"r-a\"}},\"spec\":{{\
         \"host\":\"hulo84.example\",\"pathPrefix\":\"/leny950/\",\"kind\":\"idempotent\",\
         \"timeoutS\":1.{version},\"targetLatencyS\":2,\"priority\":2,\"service\":\"huvo11a\",\"maxAttempts\":2}}}},\
         {{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"huvo11a\"}},\"spec\":{{\
         \"healthPath\":\"/health\",\"maxConnections\":532,\"protocol\":\"h1\",\"tls\":false}}}},\
         {{\"resourceType\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}]}}"
    )
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let Some(network) = Network::new(BOUNDS, &[1, 2, 3], 8) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let zones = ["a", "b", "c", "d", "e", "f"];
    let cores: Vec<Host> =
        (1..=6).map(|n| Host::core(&network, n, zones[usize::from(n) - 1])).collect();
    let sidecars =
        [Host::sidecar(&network, 7, "a", "huvo11a"), Host::sidecar(&network, 8, "b", "huvo11a")];
    let all: Vec<&Host> = cores.iter().collect();
    cores.iter().for_each(Host::start);
    sidecars.iter().for_each(Host::start);
    record.line("6 core machines in 6 zones and 2 sidecar machines start");
    if order(&record, &all, "r1", &document(1, 0), Duration::from_secs(10)).is_none() {
        return NOT_RUN;
    }
    sleep_s(10.0);
    if order(&record, &all, "r2", &document(2, 1), Duration::from_secs(4)).is_none() {
        return NOT_RUN;
    }
    let is_troubled = has_trouble();
    let (down, lost) = (&cores[3..], &cores[..2]);
    if is_troubled {
        down.iter().for_each(Host::kill);
        record.line("core-d-1, core-e-1 and core-f-1 lose power; their disks stay");
    }
    sleep_s(6.0);
    let alive: Vec<&Host> = cores[..3].iter().collect();
    if order(&record, &alive, "r3", &document(3, 2), Duration::from_secs(4)).is_none() {
        record.line("without the ack there is nothing to lose");
        return NOT_RUN;
    }
    if is_troubled {
        lost.iter().for_each(Host::kill);
        lost.iter().for_each(Host::lose_disk);
        record.line("core-a-1 and core-b-1 lose power and their disks");
        sleep_s(1.0);
        down.iter().for_each(Host::start);
        record.line("core-d-1, core-e-1 and core-f-1 are back with their disks");
        sleep_s(2.0);
        lost.iter().for_each(Host::start);
        record.line("core-a-1 and core-b-1 are back with empty disks: all machines run");
    }
    let back = Instant::now();
    sleep_s(RECOVERY.as_secs_f64());
    record.line("recoveryS is over; the operator reads at all machines");
    let mut newest = String::from("none");
    let mut is_older = false;
    // Far longer than `contactS`, for which the operator reads back at least.
    while back.elapsed() < RECOVERY + 5 * CONTACT {
        let hosts: Vec<&Host> = cores.iter().chain(&sidecars).collect();
        let addresses: Vec<_> = hosts.iter().map(|host| host.control()).collect();
        let reads: Vec<_> = addresses
            .into_iter()
            .map(|from| std::thread::spawn(move || version_of(&get(from))))
            .collect();
        for (host, read) in hosts.iter().zip(reads) {
            let version = read.join().unwrap();
            record.line(&format!("{} answers the read: {version}", host.name));
            if version.starts_with('r') {
                is_older |= version != "r3";
                newest = version;
            }
        }
        sleep_s(1.0);
    }
    let next = order(&record, &all, "r4", &document(4, 3), Duration::from_secs(10));
    for host in &cores {
        for line in host.log_lines("applied Remove") {
            let message = line.split("log: applied ").nth(1).unwrap_or("").to_string();
            record.line(&format!(
                "log of {}: {}",
                host.name,
                message.split("disk").next().unwrap_or("")
            ));
        }
    }
    if newest == "r3" && !is_older {
        record.line("HELD: the acknowledged configuration r3 is read back");
        return HELD;
    }
    record.line(&format!(
        "BROKEN: r3 was acknowledged and can't be read back (newest read: {newest}); r4 acknowledged: {}",
        next.is_some()
    ));
    BROKEN
}
