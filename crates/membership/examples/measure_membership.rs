//! Measures the membership state machine in virtual time: traffic, CPU time, memory, failure
//! detection, dissemination of a drain, false suspicions and the partition of a data centre.
//!
//! Usage: `cargo run --release -p tarragon-membership --example measure_membership -- ARGUMENTS`
//! with the arguments `[seed] [sizes] [parts]`, each optional. The parts are `m` (most
//! measurements), `d` (a drain during a partition) and `c` (the partition, which takes minutes at
//! 2,200 nodes).

#[allow(dead_code, reason = "the measurement uses only a part of the simulated cluster")]
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
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;

use crate::cluster::Cluster;

const DATA_CENTRES: usize = 4;
const IP_AND_UDP_BYTES: u64 = 28;
const POLL_INTERVAL_MS: u64 = 50;

/// Datagrams sent, and the real time to encode and decode them.
#[derive(Default)]
struct TrafficMeter {
    datagrams: u64,
    bytes: u64,
    by_second: Vec<u64>,
    codec_time: Duration,
}

/// Creates a cluster of `size` nodes and a meter of its traffic.
fn metered_cluster(size: usize, seed: u64) -> (Cluster, Rc<RefCell<TrafficMeter>>) {
    let settings =
        MembershipSettings { has_full_state_source: true, ..MembershipSettings::default() };
    let sizes: Vec<usize> = (0..DATA_CENTRES).map(|at| (size + at) / DATA_CENTRES).collect();
    let mut cluster = Cluster::new(&sizes, settings, seed);
    cluster.has_invariant_checks = false;
    let meter = Rc::new(RefCell::new(TrafficMeter::default()));
    let (shared_meter, key) = (Rc::clone(&meter), DeploymentKey::from_text("measurement key"));
    cluster.on_send = Some(Box::new(move |now_ms, _, datagram| {
        let started = Instant::now();
        let bytes = encode_authenticated(&key, MessageChannel::Membership, datagram)
            .expect("datagrams are below the size limit");
        black_box(decode_authenticated::<Datagram>(&key, MessageChannel::Membership, &bytes))
            .expect("the datagram was encoded with this key");
        let mut meter = shared_meter.borrow_mut();
        meter.codec_time += started.elapsed();
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

/// Runs a phase and prints its traffic and CPU time per node.
fn report_cost(
    name: &str,
    cluster: &mut Cluster,
    meter: &RefCell<TrafficMeter>,
    phase: impl FnOnce(&mut Cluster),
) {
    let nodes = cluster.nodes.len() as f64;
    let (before_ms, state_machine_before) = (cluster.now_ms, cluster.state_machine_time);
    let records_before = cluster.exchanged_records;
    *meter.borrow_mut() = TrafficMeter::default();
    phase(cluster);
    let meter = meter.borrow();
    let seconds = (cluster.now_ms - before_ms) as f64 / 1_000.0;
    let per = |value: f64| value / seconds / nodes;
    let time_us = |time: Duration| per(time.as_secs_f64() * 1e6);
    let state_machine_us = time_us(cluster.state_machine_time - state_machine_before);
    let peak = meter.by_second.iter().max().copied().unwrap_or(0) as f64 / nodes;
    println!(
        "  {name:<26} {:>6.0} B/s {:>5.1} datagrams/s, peak second {:>6.0} B/s, {:>5.1} records/s \
         by full exchange, cpu {:>5.0} us/s (core {:.0}, seal and open {:.0}) = {:.3}% of a core",
        per(meter.bytes as f64),
        per(meter.datagrams as f64),
        peak,
        per((cluster.exchanged_records - records_before) as f64),
        state_machine_us + time_us(meter.codec_time),
        state_machine_us,
        time_us(meter.codec_time),
        (state_machine_us + time_us(meter.codec_time)) / 10_000.0,
    );
}

/// Times in milliseconds until the running nodes have an update.
struct DisseminationTimes {
    to_99_percent_ms: Option<u64>,
    to_all_ms: Option<u64>,
    per_node_ms: Vec<u64>,
}

/// Runs the cluster until `has_update` is true for all running nodes, or for `limit_ms`.
fn measure_dissemination(
    cluster: &mut Cluster,
    limit_ms: u64,
    has_update: impl Fn(&cluster::Node) -> bool,
) -> DisseminationTimes {
    let start_ms = cluster.now_ms;
    let mut times_ms: Vec<Option<u64>> = vec![None; cluster.nodes.len()];
    let running = cluster.running_nodes().count();
    let (mut to_99_percent_ms, mut to_all_ms) = (None, None);
    while to_all_ms.is_none() && cluster.now_ms - start_ms < limit_ms {
        cluster.run(POLL_INTERVAL_MS);
        let elapsed_ms = cluster.now_ms - start_ms;
        for (at, node) in cluster.running_nodes() {
            if times_ms[at].is_none() && has_update(node) {
                times_ms[at] = Some(elapsed_ms);
            }
        }
        let seen = times_ms.iter().flatten().count();
        if to_99_percent_ms.is_none() && seen * 100 >= running * 99 {
            to_99_percent_ms = Some(elapsed_ms);
        }
        if seen >= running {
            to_all_ms = Some(elapsed_ms);
        }
    }
    let per_node_ms = times_ms.into_iter().flatten().collect();
    DisseminationTimes { to_99_percent_ms, to_all_ms, per_node_ms }
}

fn measure_drain(size: usize, seed: u64, loss: f64) {
    let (mut cluster, _) = metered_cluster(size, seed);
    cluster.introduce_all();
    cluster.run(10_000);
    cluster.network.loss = loss;
    cluster.run(10_000);
    let (mut to_99_percent_ms, mut to_all_ms) = (Vec::new(), Vec::new());
    for round in 0..5 {
        let at = round * size / 7;
        let instance = cluster.nodes[at].instance;
        cluster.set_state(at, BackendState::Draining, 0);
        let times = measure_dissemination(&mut cluster, 30_000, |node| {
            let record = node.membership.record_of(instance);
            node.instance == instance || record.is_some_and(|r| r.state == BackendState::Draining)
        });
        to_99_percent_ms.push(times.to_99_percent_ms.unwrap_or(u64::MAX));
        to_all_ms.push(times.to_all_ms.unwrap_or(u64::MAX));
    }
    println!(
        "  drain, loss {:>2.0}%: ms to 99% of members, worst of 5: {:>6}; to 100%: {:?}",
        loss * 100.0,
        percentile(&mut to_99_percent_ms, 1.0),
        to_all_ms
    );
}

/// Measures a new catalogue revision that all members reach within 2 s while a node drains.
fn measure_revision(size: usize, seed: u64) {
    let (mut cluster, meter) = metered_cluster(size, seed);
    cluster.introduce_all();
    cluster.run(15_000);
    cluster.set_state(0, BackendState::Ready, 1);
    let known_ms = measure_dissemination(&mut cluster, 30_000, |node| {
        node.membership.highest_known_revision() == 1
    })
    .to_all_ms;
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
        drained_ms = measure_dissemination(cluster, 30_000, |node| {
            let record = node.membership.record_of(instance);
            node.instance == instance || record.is_some_and(|r| r.state == BackendState::Draining)
        })
        .to_all_ms;
        cluster.run(76_000 - drained_ms.unwrap_or(30_000));
    });
    let mut known = 0;
    for (_, node) in cluster.running_nodes() {
        known += node
            .membership
            .reachable_members()
            .iter()
            .filter(|record| record.revision == 1)
            .count();
    }
    println!(
        "    a drain meanwhile reaches all after {drained_ms:?} ms; at the end {:.2}% of the \
         members' revisions are known",
        known as f64 * 100.0 / (size * size) as f64
    );
}

fn measure_kills(size: usize, seed: u64) {
    let (mut cluster, _) = metered_cluster(size, seed);
    cluster.introduce_all();
    cluster.run(15_000);
    let (mut all_ms, mut first_ms) = (Vec::new(), Vec::new());
    for round in 0..8 {
        let at = round * size / 9 + 1;
        let instance = cluster.nodes[at].instance;
        cluster.kill(at);
        let times = measure_dissemination(&mut cluster, 60_000, |node| {
            node.membership.status_of(instance).is_none_or(|status| !status.is_reachable())
        });
        first_ms.push(times.per_node_ms.iter().min().copied().unwrap_or(u64::MAX));
        all_ms.extend(times.per_node_ms);
    }
    println!(
        "  killed node declared dead, ms: first member p50 {} max {}; all members p50 {} p99 {} \
         max {}",
        percentile(&mut first_ms, 0.5),
        percentile(&mut first_ms, 1.0),
        percentile(&mut all_ms, 0.5),
        percentile(&mut all_ms, 0.99),
        percentile(&mut all_ms, 1.0),
    );
}

fn measure_loss(size: usize, seed: u64, loss: f64) {
    let (mut cluster, meter) = metered_cluster(size, seed);
    cluster.introduce_all();
    cluster.network.loss = loss;
    let name = format!("60 s with {:.0}% loss", loss * 100.0);
    report_cost(&name, &mut cluster, &meter, |cluster| cluster.run(60_000));
    let counts = || cluster.nodes.iter().map(|node| node.membership.counts());
    println!(
        "    suspicions raised {}, members refuting {}, declared dead (by any member) {}",
        counts().map(|c| c.suspicions).sum::<u64>(),
        counts().map(|c| c.refutations).sum::<u64>(),
        counts().map(|c| c.declared_dead + c.declared_unreachable).sum::<u64>(),
    );
}

/// Measures a drain while the members of another data centre are suspected and gossip is at its
/// rate limit.
fn measure_drain_during_partition(size: usize, seed: u64) {
    for wait_ms in [8_000, 12_000] {
        let (mut cluster, _) = metered_cluster(size, seed);
        cluster.introduce_all();
        cluster.run(5_000);
        cluster.network.isolated_data_centres = vec![0];
        cluster.run(wait_ms);
        let at = size / 2;
        let instance = cluster.nodes[at].instance;
        cluster.set_state(at, BackendState::Draining, 0);
        let times = measure_dissemination(&mut cluster, 20_000, |node| {
            let record = node.membership.record_of(instance);
            node.instance == instance
                || node.data_centre == 0
                || record.is_some_and(|r| r.state == BackendState::Draining)
        });
        println!(
            "  drain {wait_ms} ms after a data centre was cut off: ms to 99% {:?}, to all \
             reachable members {:?}",
            times.to_99_percent_ms, times.to_all_ms
        );
    }
}

fn measure_partition(size: usize, seed: u64) {
    let (mut cluster, meter) = metered_cluster(size, seed);
    cluster.introduce_all();
    cluster.run(5_000);
    cluster.network.isolated_data_centres = vec![0];
    report_cost("data centre cut off, 60 s", &mut cluster, &meter, |c| c.run(60_000));
    cluster.network.isolated_data_centres.clear();
    let mut healed_ms = None;
    report_cost("healing, 60 s", &mut cluster, &meter, |cluster| {
        let start_ms = cluster.now_ms;
        while cluster.now_ms - start_ms < 60_000 {
            cluster.run(1_000);
            let all = cluster.nodes.len();
            if healed_ms.is_none()
                && cluster.nodes.iter().all(|n| n.membership.reachable_count() == all)
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
            measure_partition(size, seed);
        }
        if parts.contains('d') {
            println!("{size} nodes in {DATA_CENTRES} data centres, seed {seed}");
            measure_drain_during_partition(size, seed);
        }
        if !parts.contains('m') {
            continue;
        }
        println!("{size} nodes in {DATA_CENTRES} data centres, seed {seed}");
        let before = resident_bytes();
        let (mut cluster, meter) = metered_cluster(size, seed);
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
