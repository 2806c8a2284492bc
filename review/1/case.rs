//! A core machine is replaced as planned: its successor starts, has the time to catch up, and then it
//! stops for good. Right after that, one other core machine loses its disk. See claim.txt.

#[path = "../standins/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use deployment::configuration;
use deployment::configure;
use deployment::exchange;
use deployment::find;
use deployment::Deployment;
use deployment::Record;
use deployment::RouteSpec;
use deployment::BROKEN;
use deployment::CONTACT_S;
use deployment::CONTROL_PORT;
use deployment::COULD_NOT_RUN;
use deployment::HELD;

/// Bounds of the settings.
const CATCH_UP_S: f64 = 4.0;
const GRACE_S: f64 = 6.0;
const RECOVERY_S: f64 = 15.0;
/// Time for which the machine that loses its disk is down.
const DOWN_S: f64 = 3.0;
/// Indices of the core hosts: two that stay, the one that is replaced, and its successor.
const WIPED: usize = 0;
const REPLACED: usize = 2;
const SUCCESSOR: usize = 3;

fn main() {
    let is_troubled = std::env::args().nth(1).is_none_or(|trouble| trouble != "0");
    let path = std::env::var("REVIEW_RECORD").expect("run.sh sets REVIEW_RECORD");
    let record = Record::create(Path::new(&path));
    let code = play(&record, is_troubled);
    record.line(format!("exit code {code}"));
    std::process::exit(code);
}

/// Text of a configuration, which differs from the others in the limit of its route.
fn document(version: u32, base: u32) -> String {
    let route = RouteSpec {
        prefix: "log",
        kind: "idempotent",
        timeout_s: 5.0 + f64::from(version) / 10.0,
        service: "counter",
        attempts: 2,
        priority: 2,
    };
    let base = if base == 0 { "0".to_string() } else { format!("r{base}") };
    configuration(&format!("r{version}"), &base, &[route], &["counter"])
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn play(record: &Record, is_troubled: bool) -> i32 {
    record.line(format!("disruption: {}", if is_troubled { "yes" } else { "no (TROUBLE=0)" }));
    let zones = ["hall-a", "hall-b", "annex", "annex"];
    let sidecars = [("counter", "hall-a"), ("counter", "hall-b")];
    let mut deployment = Deployment::new(record, &zones, &sidecars);
    for index in (0..deployment.hosts.len()).filter(|index| *index != SUCCESSOR) {
        deployment.start(index, true);
    }
    if !deployment.configure(&document(1, 0), Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    sleep_s(CONTACT_S + 1.5);

    // Planned work: the successor has more than catchUpS before the old machine stops for good.
    deployment.start(SUCCESSOR, false);
    sleep_s(CATCH_UP_S + 0.5);
    deployment.terminate(REPLACED, Duration::from_secs_f64(GRACE_S));
    deployment.seeds = vec![0, 1, SUCCESSOR];
    sleep_s(delay_s());

    // Two of the three core machines that are left acknowledge a change.
    let wiped = deployment.hosts[WIPED].address(CONTROL_PORT);
    if !configure(&[wiped], &document(2, 1), Duration::from_secs(15), record) {
        return COULD_NOT_RUN;
    }
    if is_troubled {
        deployment.kill_and_wipe(WIPED);
        sleep_s(DOWN_S);
        deployment.start(WIPED, false);
    }
    let back = Instant::now();
    record.line("all core machines run");
    judge(record, &deployment, back)
}

/// Time between the end of the replaced machine and the loss of the disk.
fn delay_s() -> f64 {
    std::env::var("DELAY_S").ok().and_then(|text| text.parse().ok()).unwrap_or(1.0)
}

/// Reads the configuration and sends a change, until well after the time for the recovery.
fn judge(record: &Record, deployment: &Deployment, back: Instant) -> i32 {
    let end_s = RECOVERY_S + 2.0 * CONTACT_S;
    let (mut late_reads, mut good_reads, mut is_changed) = (0, 0, false);
    while back.elapsed().as_secs_f64() < end_s {
        let is_late = back.elapsed().as_secs_f64() > RECOVERY_S;
        let cores = deployment.core_addresses();
        let reads: Vec<_> = cores
            .iter()
            .map(|core| {
                (
                    *core,
                    thread::spawn({
                        let core = *core;
                        move || read(core)
                    }),
                )
            })
            .collect();
        for (core, read) in reads {
            let (status, version) = read.join().unwrap_or_default();
            record.line(format!("operator: read at {core} got {status} {version}"));
            late_reads += usize::from(is_late);
            good_reads += usize::from(is_late && status == 200 && matches!(&*version, "r2" | "r3"));
        }
        if !is_changed {
            is_changed = configure(&cores, &document(3, 2), Duration::from_millis(500), record);
        }
        sleep_s(0.5);
    }
    record.line(format!(
        "of {late_reads} reads later than recoveryS after all core machines were back, {good_reads} \
         returned r2, which was acknowledged, or a newer one; a further change was acknowledged: \
         {is_changed}"
    ));
    if good_reads == 0 && !is_changed {
        BROKEN
    } else {
        HELD
    }
}

/// Reads the configuration at a core machine. Returns the status and the version.
fn read(core: SocketAddr) -> (u16, String) {
    let head = "GET /api/Config.Get HTTP/1.1\r\nHost: control";
    let Some(answer) = exchange(core, head, b"", Duration::from_secs(8)) else {
        return (0, "(no answer)".into());
    };
    let Some(at) = find(&answer.body, b"\"version\":\"") else {
        return (answer.status, String::from_utf8_lossy(&answer.body).into_owned());
    };
    let rest = &answer.body[at + 11..];
    let end = find(rest, b"\"").unwrap_or(rest.len());
    (answer.status, String::from_utf8_lossy(&rest[..end]).into_owned())
}
