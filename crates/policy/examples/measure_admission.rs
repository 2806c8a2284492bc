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
use crate::simulation::Record;
use crate::simulation::RefusedAttempts;
use crate::simulation::Scenario;
use crate::simulation::SimulationResult;

const SECOND_US: u64 = 1_000_000;

/// Initial time at normal load in which the policies adapt, excluded from all results, in µs.
const WARM_UP_US: u64 = 5 * SECOND_US;

/// A simulated service with one backend server.
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

/// Shares of the ranks 0 to 2 in the demand at normal load; they add up to 1.
const DEMAND_SHARES: [f64; 3] = [0.1, 0.2, 0.7];

impl Service {
    fn short(&self, rank: u8) -> Operation {
        Operation {
            rank,
            class: WorkClass::Short,
            mean_us: self.mean_us,
            time_limit_us: SECOND_US,
            attempt_limit_us: 300_000,
            max_attempts: 10,
        }
    }

    fn operations(&self) -> [Operation; 3] {
        [self.short(0), self.short(1), self.short(2)]
    }

    /// Capacity in requests per second, with all slots in use.
    fn capacity(&self) -> f64 {
        f64::from(self.slots) * 1e6 / self.mean_us as f64
    }
}

/// Results of one policy in one scenario.
struct PolicyResults {
    records: Vec<Record>,
    limits: Vec<(u64, u32)>,
    refused: RefusedAttempts,
}

impl PolicyResults {
    fn between(&self, from_us: u64, to_us: u64) -> impl Iterator<Item = &Record> + Clone {
        self.records
            .iter()
            .filter(move |record| record.arrived_us >= from_us && record.arrived_us < to_us)
    }

    /// Number of requests answered per second.
    fn goodput(&self, from_us: u64, to_us: u64) -> f64 {
        let answered =
            self.between(from_us, to_us).filter(|record| record.latency_us.is_some()).count();
        answered as f64 * 1e6 / (to_us - from_us) as f64
    }

    /// Percentage of the requests of an operation, or of all operations, answered in time.
    fn in_time_percent(&self, operation: Option<usize>, from_us: u64, to_us: u64) -> f64 {
        let all = self
            .between(from_us, to_us)
            .filter(|r| operation.is_none_or(|operation| r.operation == operation));
        let count = all.clone().count();
        let answered = all.filter(|record| record.latency_us.is_some()).count();
        100.0 * answered as f64 / count.max(1) as f64
    }

    /// Latency at a quantile, in ms. A request without an answer counts as one second.
    fn latency_ms(&self, operations: std::ops::Range<usize>, quantile: f64, to_us: u64) -> f64 {
        let chosen = self.between(WARM_UP_US, to_us).filter(|r| operations.contains(&r.operation));
        let mut latencies: Vec<u64> =
            chosen.map(|record| record.latency_us.unwrap_or(SECOND_US)).collect();
        latencies.sort_unstable();
        let index = (latencies.len() as f64 * quantile) as usize;
        latencies.get(index.min(latencies.len().saturating_sub(1))).map_or(0.0, |l| *l as f64 / 1e3)
    }

    /// Time from `from_us` until 99% of the requests of every later half second are answered, in s.
    fn recovery_s(&self, from_us: u64, end_us: u64) -> f64 {
        let step_us = 100_000;
        let mut at_us = end_us - 5 * step_us;
        while at_us >= from_us && self.in_time_percent(None, at_us, at_us + 5 * step_us) >= 99.0 {
            at_us -= step_us;
        }
        (at_us + step_us).saturating_sub(from_us) as f64 / 1e6
    }

    /// Time from `from_us` until the limit is at most (`is_fall`) or at least `bound`, in ms.
    fn limit_change_ms(&self, from_us: u64, bound: u32, is_fall: bool) -> f64 {
        let reached = self.limits.iter().find(|(at_us, limit)| {
            *at_us >= from_us && if is_fall { *limit <= bound } else { *limit >= bound }
        });
        reached.map_or(f64::INFINITY, |(at_us, _)| (at_us - from_us) as f64 / 1e3)
    }
}

/// Runs a scenario with the naive and the adaptive policy.
fn run_both_policies(scenario: &Scenario<'_>) -> [PolicyResults; 2] {
    let settings = AdmissionSettings::default();
    let mut naive = NaiveAdmission::new(&settings);
    let mut adaptive = AdaptiveAdmission::new(&settings);
    let gates: [&mut dyn AdmissionPolicy; 2] = [&mut naive, &mut adaptive];
    gates.map(|gate| {
        let SimulationResult { records, limits, refused } = run(scenario, gate);
        PolicyResults { records, limits, refused }
    })
}

fn print_row(service: &Service, measure: &str, unit: &str, values: [f64; 2], target: &str) {
    let [naive, adaptive] = values;
    let name = service.name;
    println!("{name:<10} {measure:<52} {naive:>10.2} {adaptive:>10.2} {unit:<5} {target}");
}

/// Measures demand at 1x, 2x and 10x the capacity. The most important demand is not multiplied,
/// since it could not all be served if it exceeded the capacity.
fn measure_overload(service: &Service, seed: u64) {
    let operations = service.operations();
    let end_us = WARM_UP_US + 10 * SECOND_US;
    let mut at_capacity = [0.0; 2];
    for (multiple, has_advice) in [(1.0, false), (2.0, false), (10.0, false), (10.0, true)] {
        let rate = |operation: usize, now_us: u64| {
            let total = if now_us < WARM_UP_US { 0.7 } else { multiple };
            let share = match operation {
                0 => DEMAND_SHARES[0],
                _ => {
                    DEMAND_SHARES[operation] * (total - DEMAND_SHARES[0]) / (1.0 - DEMAND_SHARES[0])
                }
            };
            share * service.capacity()
        };
        let results = run_both_policies(&Scenario {
            slots: service.slots,
            operations: &operations,
            rate: &rate,
            usable_share: &|_| 1.0,
            run_time_factor: &|_| 1.0,
            has_advice,
            end_us,
            seed,
        });
        let goodput = results.each_ref().map(|result| result.goodput(WARM_UP_US, end_us));
        let important =
            results.each_ref().map(|result| result.in_time_percent(Some(0), WARM_UP_US, end_us));
        let advised = if has_advice { ", advice at entry" } else { "" };
        let label = format!("{multiple}x{advised}: goodput");
        if multiple == 1.0 {
            at_capacity = goodput;
            print_row(service, &label, "1/s", goodput, "");
        } else {
            let best = at_capacity[0].max(at_capacity[1]);
            let target = if multiple == 2.0 { ">= 95" } else { ">= 90" };
            let share = goodput.map(|goodput| 100.0 * goodput / best);
            print_row(service, &format!("{label} of best at 1x"), "%", share, target);
        }
        print_row(
            service,
            &format!("{multiple}x{advised}: most important in time"),
            "%",
            important,
            ">= 99.9",
        );
        let p99 = results.each_ref().map(|result| result.latency_ms(0..1, 0.99, end_us));
        print_row(service, &format!("{multiple}x{advised}: most important p99"), "ms", p99, "");
        if has_advice {
            let share = |refused: RefusedAttempts| {
                100.0 * refused.at_entry as f64 / (refused.at_entry + refused.at_gate).max(1) as f64
            };
            let at_entry = results.each_ref().map(|result| share(result.refused));
            print_row(
                service,
                &format!("{multiple}x{advised}: refusals at the entry"),
                "%",
                at_entry,
                "",
            );
        }
    }
}

/// Measures demand that grows fourfold within a second and returns to normal after 10 s.
fn measure_swing(service: &Service, seed: u64) {
    let operations = service.operations();
    let from_us = WARM_UP_US + SECOND_US;
    let recovery_us = from_us + 10 * SECOND_US;
    let end_us = recovery_us + 8 * SECOND_US;
    let rate = |operation: usize, now_us: u64| {
        let rise = now_us.saturating_sub(from_us).min(SECOND_US) as f64 / SECOND_US as f64;
        let factor = if now_us < recovery_us { 1.0 + 3.0 * rise } else { 1.0 };
        0.7 * DEMAND_SHARES[operation] * service.capacity() * factor
    };
    let results = run_both_policies(&Scenario {
        slots: service.slots,
        operations: &operations,
        rate: &rate,
        usable_share: &|_| 1.0,
        run_time_factor: &|_| 1.0,
        has_advice: false,
        end_us,
        seed,
    });
    let important =
        results.each_ref().map(|result| result.in_time_percent(Some(0), from_us, recovery_us));
    print_row(service, "swing x4: most important in time", "%", important, ">= 99");
    let recovery = results.each_ref().map(|result| result.recovery_s(recovery_us, end_us));
    print_row(service, "swing x4: recovery after it", "s", recovery, "<= 2");
}

/// Measures a server that loses capacity, or becomes slower at any concurrency (`is_uniform`),
/// while demand increases.
fn measure_slow_server(service: &Service, seed: u64, is_uniform: bool) {
    let operations = service.operations();
    let from_us = WARM_UP_US + SECOND_US;
    let recovery_us = from_us + 8 * SECOND_US;
    let end_us = recovery_us + 8 * SECOND_US;
    let is_slow = |now_us: u64| now_us >= from_us && now_us < recovery_us;
    let rate = |operation: usize, now_us: u64| {
        let factor = if is_slow(now_us) { 2.0 } else { 0.8 };
        DEMAND_SHARES[operation] * service.capacity() * factor
    };
    let usable_share = |now_us: u64| if is_slow(now_us) && !is_uniform { 0.25 } else { 1.0 };
    let run_time_factor = |now_us: u64| if is_slow(now_us) && is_uniform { 4.0 } else { 1.0 };
    let results = run_both_policies(&Scenario {
        slots: service.slots,
        operations: &operations,
        rate: &rate,
        usable_share: &usable_share,
        run_time_factor: &run_time_factor,
        has_advice: false,
        end_us,
        seed,
    });
    let fault = if is_uniform { "all runs x4 slower" } else { "1/4 of the slots" };
    let remaining_per_s = service.capacity() / 4.0;
    let goodput = results
        .each_ref()
        .map(|result| 100.0 * result.goodput(from_us, recovery_us) / remaining_per_s);
    print_row(service, &format!("{fault}, 2x load: goodput of what is left"), "%", goodput, "");
    let important =
        results.each_ref().map(|result| result.in_time_percent(Some(0), from_us, recovery_us));
    print_row(service, &format!("{fault}, 2x load: most important in time"), "%", important, "");
    let recovery = results.each_ref().map(|result| result.recovery_s(recovery_us, end_us));
    print_row(service, &format!("{fault}, 2x load: recovery after it"), "s", recovery, "<= 2");
    if !is_uniform {
        let bound = service.slots / 2;
        let fall = results.each_ref().map(|result| result.limit_change_ms(from_us, bound, true));
        print_row(service, &format!("{fault}: limit falls to half after"), "ms", fall, "< 1000");
    }
    let rise = results
        .each_ref()
        .map(|result| result.limit_change_ms(recovery_us, service.slots * 9 / 10, false));
    print_row(service, &format!("{fault}: limit is back at 90% after"), "ms", rise, "");
}

/// Measures long uploads that take fifty times as long as the short work, which uses half of the
/// slots.
fn measure_long(service: &Service, seed: u64, long_share: f64, label: &str) {
    let upload = Operation {
        rank: 1,
        class: WorkClass::Long,
        mean_us: 50 * service.mean_us,
        time_limit_us: 30 * SECOND_US,
        attempt_limit_us: 20 * SECOND_US,
        max_attempts: 10,
    };
    let operations = [service.short(0), service.short(2), upload];
    let end_us = WARM_UP_US + 30 * SECOND_US;
    let mut p99 = [[0.0; 2]; 2];
    let mut uploads = [0.0; 2];
    for (at, upload_share) in [0.0, long_share].into_iter().enumerate() {
        let rate = |operation: usize, _: u64| match operation {
            2 => upload_share * service.capacity() / 50.0,
            _ => 0.25 * service.capacity(),
        };
        let results = run_both_policies(&Scenario {
            slots: service.slots,
            operations: &operations,
            rate: &rate,
            usable_share: &|_| 1.0,
            run_time_factor: &|_| 1.0,
            has_advice: false,
            end_us,
            seed,
        });
        p99[at] = results.each_ref().map(|result| result.latency_ms(0..1, 0.99, end_us));
        uploads =
            results.each_ref().map(|result| result.in_time_percent(Some(2), WARM_UP_US, end_us));
    }
    let ratio = [p99[1][0] / p99[0][0], p99[1][1] / p99[0][1]];
    print_row(service, &format!("{label}: short p99, relative"), "x", ratio, "<= 1.2");
    print_row(service, &format!("{label}: uploads in time"), "%", uploads, "");
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
