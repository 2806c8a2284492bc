//! Compares the naive with the adaptive admission policy in virtual time and prints a table.
//!
//! Usage: `cargo run --release -p tarragon-policy --example measure_admission -- [seed]`.
//! The targets are those of `docs/design.md`, section 1.2, as far as one gate can show them.

#[path = "measure_admission/simulation.rs"]
mod simulation;

use tarragon_policy::admission::AdaptiveAdmission;
use tarragon_policy::admission::AdmissionPolicy;
use tarragon_policy::admission::AdmissionSettings;
use tarragon_policy::admission::NaiveAdmission;
use tarragon_policy::admission::WorkClass;

use crate::simulation::run;
use crate::simulation::Operation;
use crate::simulation::Outcome;
use crate::simulation::Record;
use crate::simulation::Scenario;

const SECOND_US: u64 = 1_000_000;

/// Time that every run starts with and that no figure counts, for learning at normal load.
const WARM_UP_US: u64 = 5 * SECOND_US;

struct Service {
    name: &'static str,
    slots: u32,
    mean_us: u64,
}

const SERVICES: [Service; 4] = [
    Service { name: "ripewatch", slots: 75, mean_us: 20_000 },
    Service { name: "passboard", slots: 20, mean_us: 30_000 },
    Service { name: "counter", slots: 70, mean_us: 15_000 },
    Service { name: "archiver", slots: 85, mean_us: 40_000 },
];

/// Share of the capacity that each rank offers at normal load; the last rank makes up the rest.
const SHARES: [f64; 3] = [0.1, 0.2, 0.7];

impl Service {
    fn short(&self, rank: u8) -> Operation {
        Operation {
            rank,
            class: WorkClass::Short,
            mean_us: self.mean_us,
            patience_us: SECOND_US,
            attempt_us: 300_000,
            attempts: 10,
        }
    }

    fn operations(&self) -> [Operation; 3] {
        [self.short(0), self.short(1), self.short(2)]
    }

    /// Requests per second that keep all slots busy.
    fn capacity(&self) -> f64 {
        f64::from(self.slots) * 1e6 / self.mean_us as f64
    }
}

/// Figures of one variant in one scenario.
struct Figures {
    records: Vec<Record>,
    limits: Vec<(u64, u32)>,
    refused: [u64; 2],
}

impl Figures {
    fn between(&self, from_us: u64, to_us: u64) -> impl Iterator<Item = &Record> + Clone {
        self.records.iter().filter(move |r| r.arrived_us >= from_us && r.arrived_us < to_us)
    }

    /// Answered requests per second.
    fn goodput(&self, from_us: u64, to_us: u64) -> f64 {
        let answered = self.between(from_us, to_us).filter(|r| r.latency_us.is_some()).count();
        answered as f64 * 1e6 / (to_us - from_us) as f64
    }

    /// Share of the requests of an operation (or of all) that were answered in time, in percent.
    fn in_time(&self, operation: Option<usize>, from_us: u64, to_us: u64) -> f64 {
        let all = self
            .between(from_us, to_us)
            .filter(|r| operation.is_none_or(|operation| r.operation == operation));
        let count = all.clone().count();
        let answered = all.filter(|r| r.latency_us.is_some()).count();
        100.0 * answered as f64 / count.max(1) as f64
    }

    /// Latency at a quantile in ms; a request without an answer counts as its patience.
    fn latency_ms(&self, operations: std::ops::Range<usize>, quantile: f64, to_us: u64) -> f64 {
        let chosen = self.between(WARM_UP_US, to_us).filter(|r| operations.contains(&r.operation));
        let mut latencies: Vec<u64> = chosen.map(|r| r.latency_us.unwrap_or(SECOND_US)).collect();
        latencies.sort_unstable();
        let index = (latencies.len() as f64 * quantile) as usize;
        latencies.get(index.min(latencies.len().saturating_sub(1))).map_or(0.0, |l| *l as f64 / 1e3)
    }

    /// Time from `from_us` until 99% of the requests of every half second are answered, in s.
    fn recovery_s(&self, from_us: u64, end_us: u64) -> f64 {
        let step_us = 100_000;
        let mut at_us = end_us - 5 * step_us;
        while at_us >= from_us && self.in_time(None, at_us, at_us + 5 * step_us) >= 99.0 {
            at_us -= step_us;
        }
        (at_us + step_us).saturating_sub(from_us) as f64 / 1e6
    }

    /// Time from `from_us` until the limit is at most (or at least) `bound`, in ms.
    fn limit_ms(&self, from_us: u64, bound: u32, is_fall: bool) -> f64 {
        let reached = self.limits.iter().find(|(at_us, limit)| {
            *at_us >= from_us && if is_fall { *limit <= bound } else { *limit >= bound }
        });
        reached.map_or(f64::INFINITY, |(at_us, _)| (at_us - from_us) as f64 / 1e3)
    }
}

/// Runs a scenario with the naive and the adaptive policy.
fn both(scenario: &Scenario<'_>) -> [Figures; 2] {
    let settings = AdmissionSettings::default();
    let mut naive = NaiveAdmission::new(&settings);
    let mut adaptive = AdaptiveAdmission::new(&settings);
    let gates: [&mut dyn AdmissionPolicy; 2] = [&mut naive, &mut adaptive];
    gates.map(|gate| {
        let Outcome { records, limits, refused } = run(scenario, gate);
        Figures { records, limits, refused }
    })
}

fn print(service: &Service, measure: &str, unit: &str, values: [f64; 2], target: &str) {
    let [naive, adaptive] = values;
    let name = service.name;
    println!("{name:<10} {measure:<52} {naive:>10.2} {adaptive:>10.2} {unit:<5} {target}");
}

/// Load at 1x, 2x and 10x of the capacity. The most important work is not multiplied, since more
/// of it than the capacity cannot all be served.
fn measure_overload(service: &Service, seed: u64) {
    let operations = service.operations();
    let end_us = WARM_UP_US + 10 * SECOND_US;
    let mut at_capacity = [0.0; 2];
    for (multiple, has_advice) in [(1.0, false), (2.0, false), (10.0, false), (10.0, true)] {
        let rate = |operation: usize, now_us: u64| {
            let total = if now_us < WARM_UP_US { 0.7 } else { multiple };
            let share = match operation {
                0 => SHARES[0],
                _ => SHARES[operation] * (total - SHARES[0]) / (1.0 - SHARES[0]),
            };
            share * service.capacity()
        };
        let figures = both(&Scenario {
            slots: service.slots,
            operations: &operations,
            rate: &rate,
            capacity: &|_| 1.0,
            slowness: &|_| 1.0,
            has_advice,
            end_us,
            seed,
        });
        let goodput = figures.each_ref().map(|f| f.goodput(WARM_UP_US, end_us));
        let important = figures.each_ref().map(|f| f.in_time(Some(0), WARM_UP_US, end_us));
        let advised = if has_advice { ", advice at entry" } else { "" };
        let label = format!("{multiple}x{advised}: goodput");
        if multiple == 1.0 {
            at_capacity = goodput;
            print(service, &label, "1/s", goodput, "");
        } else {
            let best = at_capacity[0].max(at_capacity[1]);
            let target = if multiple == 2.0 { ">= 95" } else { ">= 90" };
            let share = goodput.map(|g| 100.0 * g / best);
            print(service, &format!("{label} of best at 1x"), "%", share, target);
        }
        print(
            service,
            &format!("{multiple}x{advised}: most important in time"),
            "%",
            important,
            ">= 99.9",
        );
        let p99 = figures.each_ref().map(|f| f.latency_ms(0..1, 0.99, end_us));
        print(service, &format!("{multiple}x{advised}: most important p99"), "ms", p99, "");
        if has_advice {
            let share = |refused: [u64; 2]| {
                100.0 * refused[0] as f64 / (refused[0] + refused[1]).max(1) as f64
            };
            let at_entry = figures.each_ref().map(|f| share(f.refused));
            print(
                service,
                &format!("{multiple}x{advised}: refusals at the entry"),
                "%",
                at_entry,
                "",
            );
        }
    }
}

/// Demand grows fourfold within a second and falls back after 10 s.
fn measure_swing(service: &Service, seed: u64) {
    let operations = service.operations();
    let from_us = WARM_UP_US + SECOND_US;
    let back_us = from_us + 10 * SECOND_US;
    let end_us = back_us + 8 * SECOND_US;
    let rate = |operation: usize, now_us: u64| {
        let rise = now_us.saturating_sub(from_us).min(SECOND_US) as f64 / SECOND_US as f64;
        let factor = if now_us < back_us { 1.0 + 3.0 * rise } else { 1.0 };
        0.7 * SHARES[operation] * service.capacity() * factor
    };
    let figures = both(&Scenario {
        slots: service.slots,
        operations: &operations,
        rate: &rate,
        capacity: &|_| 1.0,
        slowness: &|_| 1.0,
        has_advice: false,
        end_us,
        seed,
    });
    let important = figures.each_ref().map(|f| f.in_time(Some(0), from_us, back_us));
    print(service, "swing x4: most important in time", "%", important, ">= 99");
    let recovery = figures.each_ref().map(|f| f.recovery_s(back_us, end_us));
    print(service, "swing x4: recovery after it", "s", recovery, "<= 2");
}

/// The server loses capacity or becomes slower at any concurrency while demand surges.
fn measure_slow_server(service: &Service, seed: u64, is_uniform: bool) {
    let operations = service.operations();
    let from_us = WARM_UP_US + SECOND_US;
    let back_us = from_us + 8 * SECOND_US;
    let end_us = back_us + 8 * SECOND_US;
    let is_slow = |now_us: u64| now_us >= from_us && now_us < back_us;
    let rate = |operation: usize, now_us: u64| {
        let factor = if is_slow(now_us) { 2.0 } else { 0.8 };
        SHARES[operation] * service.capacity() * factor
    };
    let capacity = |now_us: u64| if is_slow(now_us) && !is_uniform { 0.25 } else { 1.0 };
    let slowness = |now_us: u64| if is_slow(now_us) && is_uniform { 4.0 } else { 1.0 };
    let figures = both(&Scenario {
        slots: service.slots,
        operations: &operations,
        rate: &rate,
        capacity: &capacity,
        slowness: &slowness,
        has_advice: false,
        end_us,
        seed,
    });
    let kind = if is_uniform { "all runs x4 slower" } else { "1/4 of the slots" };
    let ideal = service.capacity() / 4.0;
    let goodput = figures.each_ref().map(|f| 100.0 * f.goodput(from_us, back_us) / ideal);
    print(service, &format!("{kind}, 2x load: goodput of what is left"), "%", goodput, "");
    let important = figures.each_ref().map(|f| f.in_time(Some(0), from_us, back_us));
    print(service, &format!("{kind}, 2x load: most important in time"), "%", important, "");
    let recovery = figures.each_ref().map(|f| f.recovery_s(back_us, end_us));
    print(service, &format!("{kind}, 2x load: recovery after it"), "s", recovery, "<= 2");
    if !is_uniform {
        let bound = service.slots / 2;
        let fall = figures.each_ref().map(|f| f.limit_ms(from_us, bound, true));
        print(service, &format!("{kind}: limit falls to half after"), "ms", fall, "< 1000");
    }
    let rise = figures.each_ref().map(|f| f.limit_ms(back_us, service.slots * 9 / 10, false));
    print(service, &format!("{kind}: limit is back at 90% after"), "ms", rise, "");
}

/// Long uploads, fifty times as long as the short work that keeps half of the slots busy.
fn measure_long(service: &Service, seed: u64, long_share: f64, label: &str) {
    let upload = Operation {
        rank: 1,
        class: WorkClass::Long,
        mean_us: 50 * service.mean_us,
        patience_us: 30 * SECOND_US,
        attempt_us: 20 * SECOND_US,
        attempts: 10,
    };
    let operations = [service.short(0), service.short(2), upload];
    let end_us = WARM_UP_US + 30 * SECOND_US;
    let mut p99 = [[0.0; 2]; 2];
    let mut uploads = [0.0; 2];
    for (at, share) in [0.0, long_share].into_iter().enumerate() {
        let rate = |operation: usize, _: u64| match operation {
            2 => share * service.capacity() / 50.0,
            _ => 0.25 * service.capacity(),
        };
        let figures = both(&Scenario {
            slots: service.slots,
            operations: &operations,
            rate: &rate,
            capacity: &|_| 1.0,
            slowness: &|_| 1.0,
            has_advice: false,
            end_us,
            seed,
        });
        p99[at] = figures.each_ref().map(|f| f.latency_ms(0..1, 0.99, end_us));
        uploads = figures.each_ref().map(|f| f.in_time(Some(2), WARM_UP_US, end_us));
    }
    let ratio = [p99[1][0] / p99[0][0], p99[1][1] / p99[0][1]];
    print(service, &format!("{label}: short p99, relative"), "x", ratio, "<= 1.2");
    print(service, &format!("{label}: uploads in time"), "%", uploads, "");
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}, virtual time");
    println!("{:<10} {:<52} {:>10} {:>10}       target", "service", "measure", "naive", "adaptive");
    for service in &SERVICES {
        measure_overload(service, seed);
        measure_swing(service, seed);
        measure_slow_server(service, seed, false);
        measure_slow_server(service, seed, true);
        measure_long(service, seed, 0.25, "uploads at 25% of slots");
        measure_long(service, seed, 1.0, "uploads at 100% of slots");
    }
}
