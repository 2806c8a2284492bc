//! Measures admission, routing and retries together over a call chain, in virtual time. Compares
//! the naive policies with the adaptive ones.
//!
//! Usage: `cargo run --release -p tarragon-policy --example measure_chain -- [seed] [plot file]`.
//! The plot file receives the goodput over time, one line per window. The targets are those of
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
#[path = "measure_chain/simulation.rs"]
mod simulation;

use std::fmt::Write;

use crate::deployment::capacity;
use crate::deployment::DEEPEST_SERVICE;
use crate::deployment::SECOND_US;
use crate::node::PolicyVariant;
use crate::record::WINDOW_US;
use crate::simulation::ChainSimulation;

/// Time at normal load before the load or a server changes, in µs.
const WARM_UP_US: u64 = 10 * SECOND_US;

/// Demand at normal load, as a share of the capacity.
const NORMAL_LOAD: f64 = 0.8;

/// Demand that counts as full use of the capacity, as a share of the capacity. At exactly the
/// capacity the queues of any system grow without bound.
const FULL_LOAD: f64 = 0.95;

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let plot_file = args.next();
    let mut plot = String::from("scenario\tversion\ttime_s\tgoodput_per_s\n");
    println!("capacity of the chain {:.0} requests/s, seed {seed}", capacity());
    println!("{:<58} {:>9} {:>9} {:>9}", "measure", "naive", "adaptive", "target");
    overload(seed, &mut plot);
    demand_swing(seed, &mut plot);
    slow_service(seed, &mut plot);
    if let Some(path) = plot_file {
        if let Err(e) = std::fs::write(&path, plot) {
            eprintln!("cannot write {path}: {e}");
        }
    }
}

/// Reduced speed of the deepest service for a time.
#[derive(Clone, Copy)]
struct Slowdown {
    from_us: u64,
    to_us: u64,
    /// Speed in percent of the normal speed.
    percent: u32,
}

fn run(
    variant: PolicyVariant,
    seed: u64,
    name: &str,
    demand: &[(u64, f64)],
    slowdown: Option<Slowdown>,
    end_us: u64,
    plot: &mut String,
) -> ChainSimulation {
    let demand = demand.iter().map(|(from, share)| (*from, share * capacity())).collect();
    let mut simulation = ChainSimulation::new(variant, seed, demand);
    if let Some(Slowdown { from_us, to_us, percent }) = slowdown {
        simulation.set_speed_at(from_us, DEEPEST_SERVICE, percent);
        simulation.set_speed_at(to_us, DEEPEST_SERVICE, 100);
    }
    simulation.run_until(end_us);
    for at in 0..end_us / WINDOW_US {
        let goodput = simulation.record.goodput(at * WINDOW_US..(at + 1) * WINDOW_US);
        let time_s = (at * WINDOW_US) as f64 / 1e6;
        writeln!(plot, "{name}\t{variant:?}\t{time_s:.2}\t{goodput:.0}")
            .expect("writing to a string succeeds");
    }
    simulation
}

fn print_row(name: &str, naive: f64, adaptive: f64, target: &str) {
    println!("{name:<58} {naive:>9.4} {adaptive:>9.4} {target:>9}");
}

/// Measures goodput and the most important work under sustained overload, relative to the goodput
/// at capacity.
fn overload(seed: u64, plot: &mut String) {
    let end_us = WARM_UP_US + 20 * SECOND_US;
    let range = WARM_UP_US + 5 * SECOND_US..end_us;
    let mut at_load = |variant, factor: f64| {
        let demand = [(0, NORMAL_LOAD), (WARM_UP_US, factor)];
        run(variant, seed, &format!("load {factor}"), &demand, None, end_us, plot).record
    };
    let at_full_load =
        [PolicyVariant::Naive, PolicyVariant::Adaptive].map(|variant| at_load(variant, FULL_LOAD));
    let [naive_full, adaptive_full] = at_full_load.map(|record| record.goodput(range.clone()));
    print_row(
        "goodput at capacity, share of the demand",
        naive_full / (FULL_LOAD * capacity()),
        adaptive_full / (FULL_LOAD * capacity()),
        "",
    );
    for (factor, target) in [(2.0, ">= 0.95"), (10.0, ">= 0.90")] {
        let [naive, adaptive] =
            [PolicyVariant::Naive, PolicyVariant::Adaptive].map(|variant| at_load(variant, factor));
        // The reference for both is the higher goodput at capacity.
        let best = naive_full.max(adaptive_full);
        let name = format!("goodput at {factor}x, relative to goodput at capacity");
        let naive_share = naive.goodput(range.clone()) / best;
        let adaptive_share = adaptive.goodput(range.clone()) / best;
        print_row(&name, naive_share, adaptive_share, target);
        // Requests first sent in the last seconds may still be in progress.
        let sent = WARM_UP_US + 5 * SECOND_US..end_us - 3 * SECOND_US;
        let name = format!("most important work in time at {factor}x");
        let in_time = [naive, adaptive].map(|record| record.share_in_time(sent.clone(), Some(0)));
        print_row(&name, in_time[0], in_time[1], ">= 0.999");
    }
}

/// Measures a demand swing: demand grows fourfold within a second and is normal again after 10 s.
fn demand_swing(seed: u64, plot: &mut String) {
    let mut demand = vec![(0, NORMAL_LOAD)];
    for step in 0..10 {
        let factor = NORMAL_LOAD * (1.0 + 3.0 * (step + 1) as f64 / 10.0);
        demand.push((WARM_UP_US + step * SECOND_US / 10, factor));
    }
    let recovery_us = WARM_UP_US + 10 * SECOND_US;
    demand.push((recovery_us, NORMAL_LOAD));
    let end_us = recovery_us + 10 * SECOND_US;
    let simulations = [PolicyVariant::Naive, PolicyVariant::Adaptive]
        .map(|variant| run(variant, seed, "swing", &demand, None, end_us, plot));
    let in_time = simulations
        .each_ref()
        .map(|simulation| simulation.record.share_in_time(WARM_UP_US..recovery_us, Some(0)));
    print_row("most important work in time during the swing", in_time[0], in_time[1], ">= 0.99");
    let all = simulations
        .each_ref()
        .map(|simulation| simulation.record.share_in_time(WARM_UP_US..recovery_us, None));
    print_row("all work in time during the swing", all[0], all[1], "");
    let recovery =
        simulations.each_ref().map(|simulation| recovery_s(simulation, recovery_us, end_us));
    print_row("time to recover after the swing, s", recovery[0], recovery[1], "<= 2");
}

/// Measures a slowdown of the deepest service to a third of its speed while demand doubles.
fn slow_service(seed: u64, plot: &mut String) {
    let recovery_us = WARM_UP_US + 10 * SECOND_US;
    let end_us = recovery_us + 20 * SECOND_US;
    let demand = [(0, NORMAL_LOAD), (WARM_UP_US, 2.0 * NORMAL_LOAD), (recovery_us, NORMAL_LOAD)];
    let slowdown = Some(Slowdown { from_us: WARM_UP_US, to_us: recovery_us, percent: 33 });
    let simulations = [PolicyVariant::Naive, PolicyVariant::Adaptive]
        .map(|variant| run(variant, seed, "slow", &demand, slowdown, end_us, plot));
    let in_time = simulations
        .each_ref()
        .map(|simulation| simulation.record.share_in_time(WARM_UP_US..recovery_us, Some(0)));
    print_row(
        "most important work in time, deep service at 1/3, 2x",
        in_time[0],
        in_time[1],
        ">= 0.99",
    );
    let possible = 0.33 * capacity();
    let goodput = simulations.each_ref().map(|simulation| {
        simulation.record.goodput(WARM_UP_US + 2 * SECOND_US..recovery_us) / possible
    });
    print_row(
        "goodput meanwhile, relative to what the service can do",
        goodput[0],
        goodput[1],
        ">= 0.90",
    );
    let recovery =
        simulations.each_ref().map(|simulation| recovery_s(simulation, recovery_us, end_us));
    print_row("time to recover after it, s", recovery[0], recovery[1], "<= 2");
    let attempts = simulations.each_ref().map(|simulation| simulation.record.attempts as f64 / 1e6);
    print_row("arrivals at gates in the whole run, millions", attempts[0], attempts[1], "");
}

/// Time until the goodput of the following second is 99% of the normal demand, in s. If that is
/// never reached, returns the remaining time of the run.
fn recovery_s(simulation: &ChainSimulation, from_us: u64, end_us: u64) -> f64 {
    let normal = NORMAL_LOAD * capacity();
    let mut at_us = from_us;
    // Demand per second has a standard deviation of its square root. The tolerance is twice that.
    let needed = 0.99 * normal - 2.0 * normal.sqrt();
    while at_us + SECOND_US <= end_us {
        if simulation.record.goodput(at_us..at_us + SECOND_US) >= needed {
            break;
        }
        at_us += WINDOW_US;
    }
    (at_us - from_us) as f64 / 1e6
}
