//! Measures admission, routing and retries together over a call chain, in virtual time, the naive
//! versions beside the adaptive ones.
//!
//! Usage: `cargo run --release -p tarragon-policy --example measure_chain -- [seed] [plot file]`.
//! The plot file gets the goodput over time, one line a window. The targets are those of
//! `docs/design.md`, section 1.2.

#[path = "measure_chain/deployment.rs"]
mod deployment;
#[path = "measure_chain/event.rs"]
mod event;
#[path = "measure_chain/fake_server.rs"]
mod fake_server;
#[path = "measure_chain/node.rs"]
mod node;
#[path = "measure_chain/record.rs"]
mod record;
#[path = "measure_chain/world.rs"]
mod world;

use std::fmt::Write;

use crate::deployment::capacity;
use crate::deployment::SECOND_US;
use crate::node::Version;
use crate::record::WINDOW_US;
use crate::world::World;

/// Time at normal load before a scenario begins, in µs.
const WARM_UP_US: u64 = 10 * SECOND_US;

/// Demand at normal load, as a share of the capacity.
const NORMAL: f64 = 0.8;

/// Demand that counts as full use of the capacity. At exactly the capacity the queues of any
/// system grow without bound.
const FULL: f64 = 0.95;

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let plot_file = args.next();
    let mut plot = String::from("scenario\tversion\ttime_s\tgoodput_per_s\n");
    println!("capacity of the chain {:.0} requests/s, seed {seed}", capacity());
    println!("{:<58} {:>9} {:>9} {:>9}", "measure", "naive", "adaptive", "target");
    overload(seed, &mut plot);
    crest(seed, &mut plot);
    slow_service(seed, &mut plot);
    if let Some(path) = plot_file {
        if let Err(e) = std::fs::write(&path, plot) {
            eprintln!("cannot write {path}: {e}");
        }
    }
}

fn run(
    version: Version,
    seed: u64,
    name: &str,
    demand: &[(u64, f64)],
    slowed: Option<(u64, u64, u32)>,
    end_us: u64,
    plot: &mut String,
) -> World {
    let demand = demand.iter().map(|(from, share)| (*from, share * capacity())).collect();
    let mut world = World::new(version, seed, demand);
    if let Some((from_us, to_us, percent)) = slowed {
        world.set_speed_at(from_us, 2, percent);
        world.set_speed_at(to_us, 2, 100);
    }
    world.run_until(end_us);
    for at in 0..end_us / WINDOW_US {
        let goodput = world.record.goodput(at * WINDOW_US..(at + 1) * WINDOW_US);
        let time_s = (at * WINDOW_US) as f64 / 1e6;
        writeln!(plot, "{name}\t{version:?}\t{time_s:.2}\t{goodput:.0}").expect("text grows");
    }
    world
}

fn row(name: &str, naive: f64, adaptive: f64, target: &str) {
    println!("{name:<58} {naive:>9.4} {adaptive:>9.4} {target:>9}");
}

/// Goodput and important work under lasting overload, relative to the goodput at capacity.
fn overload(seed: u64, plot: &mut String) {
    let end_us = WARM_UP_US + 20 * SECOND_US;
    let range = WARM_UP_US + 5 * SECOND_US..end_us;
    let mut at_load = |version, factor: f64| {
        let demand = [(0, NORMAL), (WARM_UP_US, factor)];
        run(version, seed, &format!("load {factor}"), &demand, None, end_us, plot).record
    };
    let full = [Version::Naive, Version::Adaptive].map(|version| at_load(version, FULL));
    let [naive_full, full] = full.map(|record| record.goodput(range.clone()));
    row(
        "goodput at capacity, share of the demand",
        naive_full / (FULL * capacity()),
        full / (FULL * capacity()),
        "",
    );
    for (factor, target) in [(2.0, ">= 0.95"), (10.0, ">= 0.90")] {
        let [naive, adaptive] =
            [Version::Naive, Version::Adaptive].map(|version| at_load(version, factor));
        // Both are compared with the better goodput at capacity.
        let best = naive_full.max(full);
        let name = format!("goodput at {factor}x, relative to goodput at capacity");
        let (a, b) = (naive.goodput(range.clone()) / best, adaptive.goodput(range.clone()) / best);
        row(&name, a, b, target);
        // Requests first sent in the last seconds cannot all have ended.
        let sent = WARM_UP_US + 5 * SECOND_US..end_us - 3 * SECOND_US;
        let name = format!("most important work in time at {factor}x");
        let kept = [naive, adaptive].map(|record| record.kept(sent.clone(), Some(0)));
        row(&name, kept[0], kept[1], ">= 0.999");
    }
}

/// Service at the peak of a swing: demand x4 within a second, back after ten.
fn crest(seed: u64, plot: &mut String) {
    let mut demand = vec![(0, NORMAL)];
    for step in 0..10 {
        let factor = NORMAL * (1.0 + 3.0 * (step + 1) as f64 / 10.0);
        demand.push((WARM_UP_US + step * SECOND_US / 10, factor));
    }
    let back_us = WARM_UP_US + 10 * SECOND_US;
    demand.push((back_us, NORMAL));
    let end_us = back_us + 10 * SECOND_US;
    let worlds = [Version::Naive, Version::Adaptive]
        .map(|version| run(version, seed, "swing", &demand, None, end_us, plot));
    let kept = worlds.each_ref().map(|w| w.record.kept(WARM_UP_US..back_us, Some(0)));
    row("most important work in time during the swing", kept[0], kept[1], ">= 0.99");
    let all = worlds.each_ref().map(|w| w.record.kept(WARM_UP_US..back_us, None));
    row("all work in time during the swing", all[0], all[1], "");
    let recovery = worlds.each_ref().map(|w| recovery_s(w, back_us, end_us));
    row("time to recover after the swing, s", recovery[0], recovery[1], "<= 2");
}

/// The deepest service is slowed to a third while demand doubles.
fn slow_service(seed: u64, plot: &mut String) {
    let back_us = WARM_UP_US + 10 * SECOND_US;
    let end_us = back_us + 20 * SECOND_US;
    let demand = [(0, NORMAL), (WARM_UP_US, 2.0 * NORMAL), (back_us, NORMAL)];
    let slowed = Some((WARM_UP_US, back_us, 33));
    let worlds = [Version::Naive, Version::Adaptive]
        .map(|version| run(version, seed, "slow", &demand, slowed, end_us, plot));
    let kept = worlds.each_ref().map(|w| w.record.kept(WARM_UP_US..back_us, Some(0)));
    row("most important work in time, deep service at 1/3, 2x", kept[0], kept[1], ">= 0.99");
    let possible = 0.33 * capacity();
    let goodput =
        worlds.each_ref().map(|w| w.record.goodput(WARM_UP_US + 2 * SECOND_US..back_us) / possible);
    row(
        "goodput meanwhile, relative to what the service can do",
        goodput[0],
        goodput[1],
        ">= 0.90",
    );
    let recovery = worlds.each_ref().map(|w| recovery_s(w, back_us, end_us));
    row("time to recover after it, s", recovery[0], recovery[1], "<= 2");
    let attempts = worlds.each_ref().map(|w| w.record.attempts as f64 / 1e6);
    row("arrivals at gates in the whole run, millions", attempts[0], attempts[1], "");
}

/// Time until the goodput of the next second is back at 99% of the normal demand, in s; the whole
/// rest of the run if it never is.
fn recovery_s(world: &World, from_us: u64, end_us: u64) -> f64 {
    let normal = NORMAL * capacity();
    let mut at_us = from_us;
    // A single second of normal demand varies by its square root.
    let needed = 0.99 * normal - 2.0 * normal.sqrt();
    while at_us + SECOND_US <= end_us {
        if world.record.goodput(at_us..at_us + SECOND_US) >= needed {
            break;
        }
        at_us += WINDOW_US;
    }
    (at_us - from_us) as f64 / 1e6
}
