//! The three core machines are replaced as planned: three successors start and catch up, then the
//! three old machines get SIGTERM, one a second, and leave.

#[path = "../standins-2/deployment.rs"]
mod deployment;

use std::time::Duration;
use std::time::Instant;

use deployment::*;

/// Bounds of the installation that the claim names.
const BOUNDS: Bounds = Bounds {
    machines: 1,
    text: "seedLagS = 3\nreuseAfterS = 2\ncontactS = 3\nackS = 4\ncatchUpS = 4\ndrainS = 2\n\
           graceS = 6\nlossSlackS = 0.2\nconvergeS = 2\nrollbackSlackS = 0.25\nskewMaxS = 5\n\
           retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetMinRetries = 49\nrecoveryS = 15\n",
};
const RECOVERY: Duration = Duration::from_secs(15);
const CATCH_UP_S: f64 = 4.0;
const GRACE: Duration = Duration::from_secs(6);
const CONTACT: Duration = Duration::from_secs(3);

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
    let zones = ["a", "b", "c"];
    let old: Vec<Host> =
        (1..=3).zip(zones).map(|(n, zone)| Host::core(&network, n, zone)).collect();
    let new: Vec<Host> =
        (4..=6).zip(zones).map(|(n, zone)| Host::replacement(&network, n, zone)).collect();
    let sidecars =
        [Host::sidecar(&network, 7, "a", "huvo11a"), Host::sidecar(&network, 8, "b", "huvo11a")];
    let all: Vec<&Host> = old.iter().collect();
    old.iter().for_each(Host::start);
    sidecars.iter().for_each(Host::start);
    record.line("3 core machines in 3 zones and 2 sidecar machines start");
    if order(&record, &all, "r1", &document(1, 0), Duration::from_secs(10)).is_none() {
        return NOT_RUN;
    }
    sleep_s(8.0);
    for host in &new {
        host.start();
        record.line(&format!("{} starts with an empty disk, as a successor", host.name));
        sleep_s(1.0);
    }
    sleep_s(CATCH_UP_S + 1.0);
    let both: Vec<&Host> = old.iter().chain(&new).collect();
    if order(&record, &both, "r2", &document(2, 1), Duration::from_secs(4)).is_none() {
        return NOT_RUN;
    }
    for host in &new {
        record.line(&format!("{} answers a read: {}", host.name, version_of(&get(host.control()))));
    }
    let gap_s: f64 = std::env::var("GAP_S").ok().and_then(|gap| gap.parse().ok()).unwrap_or(1.0);
    let alive: Vec<&Host> = if has_trouble() {
        let mut terminated = Vec::new();
        for host in &old {
            host.signal("TERM");
            record.line(&format!("{} gets SIGTERM, to be removed for good", host.name));
            terminated.push(Instant::now());
            sleep_s(gap_s);
        }
        for (host, at) in old.iter().zip(terminated) {
            while !host.has_ended() && at.elapsed() < GRACE {
                sleep_s(0.02);
            }
            host.kill();
            record.line(&format!("{} has ended", host.name));
        }
        new.iter().collect()
    } else {
        both
    };
    let back = Instant::now();
    sleep_s(RECOVERY.as_secs_f64());
    record.line("recoveryS is over; the operator reads at all machines");
    let mut newest = String::from("none");
    let mut is_older = false;
    // Far longer than `contactS`, for which the operator reads back at least.
    while back.elapsed() < RECOVERY + 5 * CONTACT {
        let hosts: Vec<&Host> = alive.iter().copied().chain(&sidecars).collect();
        let addresses: Vec<_> = hosts.iter().map(|host| host.control()).collect();
        let reads: Vec<_> = addresses
            .into_iter()
            .map(|from| std::thread::spawn(move || version_of(&get(from))))
            .collect();
        for (host, read) in hosts.iter().zip(reads) {
            let version = read.join().unwrap();
            record.line(&format!("{} answers the read: {version}", host.name));
            if version.starts_with('r') {
                is_older |= version != "r2";
                newest = version;
            }
        }
        sleep_s(1.0);
    }
    let next = order(&record, &alive, "r3", &document(3, 2), Duration::from_secs(10));
    for host in old.iter().chain(&new) {
        for line in host.log_lines("applied ") {
            let message = line.split("log: applied ").nth(1).unwrap_or("").to_string();
            record.line(&format!(
                "log of {}: {}",
                host.name,
                message.split("disk").next().unwrap_or("")
            ));
        }
    }
    if newest == "r2" && !is_older && next.is_some() {
        record.line("HELD: the acknowledged configuration r2 is read back, and r3 is acknowledged");
        return HELD;
    }
    record.line(&format!(
        "BROKEN: r2 was acknowledged; newest version read back: {newest}; r3 acknowledged: {}",
        next.is_some()
    ));
    BROKEN
}
