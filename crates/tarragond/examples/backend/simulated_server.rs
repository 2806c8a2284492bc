use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::args::Args;

/// Factor on the service time during a cold start.
const COLD_START_FACTOR: f64 = 5.0;

/// Injected fault, which applies until the next one is set.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor on the service time; 0 stands for 1.
    pub slow_factor: f64,
    /// Accepts requests without ever responding.
    pub is_silent: bool,
}

/// Simulation of a server with slots, random service times, faults and delayed load reports.
pub struct SimulatedServer {
    slots: Semaphore,
    slot_count: usize,
    service_ms: f64,
    cold_start_end: Instant,
    report_age: Duration,
    random: Mutex<Pcg64Mcg>,
    fault: Mutex<Fault>,
    reports: Mutex<VecDeque<(Instant, usize)>>,
}

impl SimulatedServer {
    pub fn new(args: &Args) -> Self {
        let slot_count = args.slots as usize;
        Self {
            slots: Semaphore::new(slot_count),
            slot_count,
            service_ms: args.service_ms as f64,
            cold_start_end: Instant::now() + Duration::from_millis(args.cold_start_ms),
            report_age: Duration::from_millis(args.report_age_ms),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(args.seed)),
            fault: Mutex::default(),
            reports: Mutex::default(),
        }
    }

    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("no thread panics while it holds the lock") = fault;
    }

    /// Waits for a free slot and then for the service time.
    pub async fn serve_request(&self) {
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        self.record_load();
        let fault = *self.fault.lock().expect("no thread panics while it holds the lock");
        if fault.is_silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.service_time(fault)).await;
    }

    /// Exponentially distributed service time, at most ten times the mean.
    fn service_time(&self, fault: Fault) -> Duration {
        let uniform: f64 =
            self.random.lock().expect("no thread panics while it holds the lock").random();
        let mut service_ms = self.service_ms * (-(1.0 - uniform).ln()).min(10.0);
        if fault.slow_factor > 0.0 {
            service_ms *= fault.slow_factor;
        }
        if Instant::now() < self.cold_start_end {
            service_ms *= COLD_START_FACTOR;
        }
        Duration::from_secs_f64(service_ms / 1000.0)
    }

    fn record_load(&self) {
        let busy_slots = self.slot_count - self.slots.available_permits();
        let mut reports = self.reports.lock().expect("no thread panics while it holds the lock");
        reports.push_back((Instant::now(), busy_slots));
        if reports.len() > 10_000 {
            reports.pop_front();
        }
    }

    /// Load report as JSON, with the number of busy slots `report_age` ago.
    pub fn delayed_load_report(&self) -> String {
        let reported_at = Instant::now() - self.report_age;
        let mut reports = self.reports.lock().expect("no thread panics while it holds the lock");
        while reports.len() > 1 && reports[1].0 <= reported_at {
            reports.pop_front();
        }
        let busy_slots = reports
            .front()
            .filter(|(at, _)| *at <= reported_at)
            .map_or(0, |(_, busy_slots)| *busy_slots);
        format!("{{\"busy_slots\": {busy_slots}, \"slots\": {}}}\n", self.slot_count)
    }
}
