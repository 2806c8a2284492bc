//! Measures the membership state machine in virtual time: traffic, CPU, memory, detection, spread
//! of a drain, false accusations and a data centre that is cut off.
//!
//! Usage: `cargo run --release -p tarragon-membership --example measure_membership -- [seed] [sizes] [parts]`.
//! The parts are `m` (most measures), `d` (a drain during a cut) and `c` (the cut, which takes minutes at 2,200 nodes).

#[allow(dead_code, reason = "the tests use more of the cluster than the measurement")]
#[path = "../tests/simulation/cluster.rs"]
mod cluster;

use std::cell::RefCell;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tarragon_membership::Datagram;
use tarragon_membership::MembershipSettings;
use tarragon_model::member::BackendState;
use tarragon_wire::open;
use tarragon_wire::seal;
use tarragon_wire::Channel;
use tarragon_wire::DeploymentKey;

use crate::cluster::Cluster;

const DATA_CENTRES: usize = 4;
const IP_AND_UDP_BYTES: u64 = 28;
const STEP_MS: u64 = 50;

/// Traffic and the time to seal and open it.
#[derive(Default)]
struct Meter {
    datagrams: u64,
    bytes: u64,
    by_second: Vec<u64>,
    wire_time: Duration,
}

fn metered(size: usize, seed: u64) -> (Cluster, Rc<RefCell<Meter>>) {
    let settings =
        MembershipSettings { has_full_state_source: true, ..MembershipSettings::default() };
    let sizes: Vec<usize> = (0..DATA_CENTRES).map(|at| (size + at) / DATA_CENTRES).collect();
    let mut cluster = Cluster::new(&sizes, settings, seed);
    cluster.is_checked = false;
    let meter = Rc::new(RefCell::new(Meter::default()));
    let (sink, key) = (Rc::clone(&meter), DeploymentKey::from_text("measurement key"));
    cluster.on_send = Some(Box::new(move |now_ms, _, datagram| {
        let started = Instant::now();
        let bytes = seal(&key, Channel::Membership, datagram).expect("datagrams are bounded");
        black_box(open::<Datagram>(&key, Channel::Membership, &bytes)).expect("the key is right");
        let mut meter = sink.borrow_mut();
        meter.wire_time += started.elapsed();
        meter.datagrams += 1;
        let length = bytes.len() as u64 + IP_AND_UDP_BYTES;
        meter.bytes += length;
        let second = (now_ms / 1_000) as usize;
        if meter.by_second.len() <= second {
            meter.by_second.resize(second + 1, 0);
        }
        meter.by_second[second] += length;
    }));
    (cluster, meter)
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

fn percentile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let at = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(at).copied().unwrap_or(0)
}

/// Traffic and time per node over a phase.
fn report_cost(
    name: &str,
    cluster: &mut Cluster,
    meter: &RefCell<Meter>,
    phase: impl FnOnce(&mut Cluster),
) {
    let nodes = cluster.nodes.len() as f64;
    let (before_ms, core_before) = (cluster.now_ms, cluster.core_time);
    let records_before = cluster.exchanged_records;
    *meter.borrow_mut() = Meter::default();
    phase(cluster);
    let meter = meter.borrow();
    let seconds = (cluster.now_ms - before_ms) as f64 / 1_000.0;
    let per = |value: f64| value / seconds / nodes;
    let time_us = |time: Duration| per(time.as_secs_f64() * 1e6);
    let core_us = time_us(cluster.core_time - core_before);
    let peak = meter.by_second.iter().max().copied().unwrap_or(0) as f64 / nodes;
    println!(
        "  {name:<26} {:>6.0} B/s {:>5.1} datagrams/s, peak second {:>6.0} B/s, {:>5.1} records/s \
         by full exchange, cpu {:>5.0} us/s (core {:.0}, seal and open {:.0}) = {:.3}% of a core",
        per(meter.bytes as f64),
        per(meter.datagrams as f64),
        peak,
        per((cluster.exchanged_records - records_before) as f64),
        core_us + time_us(meter.wire_time),
        core_us,
        time_us(meter.wire_time),
        (core_us + time_us(meter.wire_time)) / 10_000.0,
    );
}

/// Times until a share of the live nodes and all of them see what `is_seen` says.
fn time_to_reach(
    cluster: &mut Cluster,
    limit_ms: u64,
    is_seen: impl Fn(&cluster::Node) -> bool,
) -> (Option<u64>, Option<u64>, Vec<u64>) {
    let start_ms = cluster.now_ms;
    let mut times: Vec<Option<u64>> = vec![None; cluster.nodes.len()];
    let live = cluster.live().count();
    let (mut most, mut all) = (None, None);
    while all.is_none() && cluster.now_ms - start_ms < limit_ms {
        cluster.run(STEP_MS);
        let now_ms = cluster.now_ms - start_ms;
        for (at, node) in cluster.live() {
            if times[at].is_none() && is_seen(node) {
                times[at] = Some(now_ms);
            }
        }
        let seen = times.iter().flatten().count();
        if most.is_none() && seen * 100 >= live * 99 {
            most = Some(now_ms);
        }
        if seen >= live {
            all = Some(now_ms);
        }
    }
    (most, all, times.into_iter().flatten().collect())
}

fn measure_drain(size: usize, seed: u64, loss: f64) {
    let (mut cluster, _) = metered(size, seed);
    cluster.introduce_all();
    cluster.run(10_000);
    cluster.network.loss = loss;
    cluster.run(10_000);
    let (mut most, mut all) = (Vec::new(), Vec::new());
    for round in 0..5 {
        let at = round * size / 7;
        let instance = cluster.nodes[at].instance;
        cluster.set_state(at, BackendState::Draining, 0);
        let (most_ms, all_ms, _) = time_to_reach(&mut cluster, 30_000, |node| {
            let record = node.core.record_of(instance);
            node.instance == instance || record.is_some_and(|r| r.state == BackendState::Draining)
        });
        most.push(most_ms.unwrap_or(u64::MAX));
        all.push(all_ms.unwrap_or(u64::MAX));
    }
    println!(
        "  drain, loss {:>2.0}%: ms to 99% of members, worst of 5: {:>6}; to 100%: {:?}",
        loss * 100.0,
        percentile(&mut most, 1.0),
        all
    );
}

/// A new revision, then all members reach it within 2 s while another node drains.
fn measure_revision(size: usize, seed: u64) {
    let (mut cluster, meter) = metered(size, seed);
    cluster.introduce_all();
    cluster.run(15_000);
    cluster.set_state(0, BackendState::Ready, 1);
    let (_, known_ms, _) =
        time_to_reach(&mut cluster, 30_000, |node| node.core.highest_known_revision() == 1);
    println!("  new revision known to all members after {known_ms:?} ms");
    let mut drained_ms = None;
    report_cost("release note in force, 78 s", &mut cluster, &meter, |cluster| {
        for part in 0..20 {
            (0..size).filter(|at| at % 20 == part).for_each(|at| {
                cluster.set_state(at, BackendState::Ready, 1);
            });
            cluster.run(100);
        }
        let instance = cluster.nodes[1].instance;
        cluster.set_state(1, BackendState::Draining, 1);
        drained_ms = time_to_reach(cluster, 30_000, |node| {
            let record = node.core.record_of(instance);
            node.instance == instance || record.is_some_and(|r| r.state == BackendState::Draining)
        })
        .1;
        cluster.run(76_000 - drained_ms.unwrap_or(30_000));
    });
    let mut known = 0;
    for (_, node) in cluster.live() {
        known += node.core.reachable_members().iter().filter(|record| record.revision == 1).count();
    }
    println!(
        "    a drain meanwhile reaches all after {drained_ms:?} ms; at the end {:.2}% of the \
         members' revisions are known",
        known as f64 * 100.0 / (size * size) as f64
    );
}

fn measure_kills(size: usize, seed: u64) {
    let (mut cluster, _) = metered(size, seed);
    cluster.introduce_all();
    cluster.run(15_000);
    let (mut times, mut first) = (Vec::new(), Vec::new());
    for round in 0..8 {
        let at = round * size / 9 + 1;
        let instance = cluster.nodes[at].instance;
        cluster.kill(at);
        let (_, _, seen) = time_to_reach(&mut cluster, 60_000, |node| {
            node.core.status_of(instance).is_none_or(|status| !status.is_reachable())
        });
        first.push(seen.iter().min().copied().unwrap_or(u64::MAX));
        times.extend(seen);
    }
    println!(
        "  killed node declared dead, ms: first member p50 {} max {}; all members p50 {} p99 {} \
         max {}",
        percentile(&mut first, 0.5),
        percentile(&mut first, 1.0),
        percentile(&mut times, 0.5),
        percentile(&mut times, 0.99),
        percentile(&mut times, 1.0),
    );
}

fn measure_loss(size: usize, seed: u64, loss: f64) {
    let (mut cluster, meter) = metered(size, seed);
    cluster.introduce_all();
    cluster.network.loss = loss;
    let name = format!("60 s with {:.0}% loss", loss * 100.0);
    report_cost(&name, &mut cluster, &meter, |cluster| cluster.run(60_000));
    let counts = || cluster.nodes.iter().map(|node| node.core.counts());
    println!(
        "    suspicions raised {}, members refuting {}, declared dead (by any member) {}",
        counts().map(|c| c.suspicions).sum::<u64>(),
        counts().map(|c| c.refutations).sum::<u64>(),
        counts().map(|c| c.declared_dead + c.declared_unreachable).sum::<u64>(),
    );
}

/// A drain while another data centre is being accused, when gossip is at its rate limit.
fn measure_drain_during_cut(size: usize, seed: u64) {
    for wait_ms in [8_000, 12_000] {
        let (mut cluster, _) = metered(size, seed);
        cluster.introduce_all();
        cluster.run(5_000);
        cluster.network.cut = vec![0];
        cluster.run(wait_ms);
        let at = size / 2;
        let instance = cluster.nodes[at].instance;
        cluster.set_state(at, BackendState::Draining, 0);
        let (most_ms, all_ms, _) = time_to_reach(&mut cluster, 20_000, |node| {
            let record = node.core.record_of(instance);
            node.instance == instance
                || node.data_centre == 0
                || record.is_some_and(|r| r.state == BackendState::Draining)
        });
        println!(
            "  drain {wait_ms} ms after a data centre was cut off: ms to 99% {most_ms:?}, to all \
             reachable members {all_ms:?}"
        );
    }
}

fn measure_cut(size: usize, seed: u64) {
    let (mut cluster, meter) = metered(size, seed);
    cluster.introduce_all();
    cluster.run(5_000);
    cluster.network.cut = vec![0];
    report_cost("data centre cut off, 60 s", &mut cluster, &meter, |c| c.run(60_000));
    cluster.network.cut.clear();
    let mut healed_ms = None;
    report_cost("healing, 60 s", &mut cluster, &meter, |cluster| {
        let start_ms = cluster.now_ms;
        while cluster.now_ms - start_ms < 60_000 {
            cluster.run(1_000);
            let all = cluster.nodes.len();
            if healed_ms.is_none() && cluster.nodes.iter().all(|n| n.core.reachable_count() == all)
            {
                healed_ms = Some(cluster.now_ms - start_ms);
            }
        }
    });
    println!("    all members see all others after (ms): {healed_ms:?}");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seed = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let sizes = arguments.next().unwrap_or_else(|| "50,200,1000,2200".to_string());
    let parts = arguments.next().unwrap_or_else(|| "mdc".to_string());
    for size in sizes.split(',').filter_map(|text| text.parse::<usize>().ok()) {
        if parts.contains('c') {
            println!("{size} nodes in {DATA_CENTRES} data centres, seed {seed}");
            measure_cut(size, seed);
        }
        if parts.contains('d') {
            println!("{size} nodes in {DATA_CENTRES} data centres, seed {seed}");
            measure_drain_during_cut(size, seed);
        }
        if !parts.contains('m') {
            continue;
        }
        println!("{size} nodes in {DATA_CENTRES} data centres, seed {seed}");
        let before = resident_bytes();
        let (mut cluster, meter) = metered(size, seed);
        cluster.introduce_all();
        cluster.run(30_000);
        report_cost("quiet, 30 s", &mut cluster, &meter, |cluster| cluster.run(30_000));
        let memory = resident_bytes().saturating_sub(before) / size as u64;
        println!("  memory of one node's state: {} KB", memory / 1_024);
        drop(cluster);
        measure_drain(size, seed, 0.0);
        measure_drain(size, seed, 0.05);
        measure_drain(size, seed, 0.2);
        measure_revision(size, seed);
        measure_kills(size, seed);
        for loss in [0.01, 0.05, 0.2] {
            measure_loss(size, seed, loss);
        }
    }
}
