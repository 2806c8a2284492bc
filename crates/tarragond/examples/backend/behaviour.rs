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

/// Factor by which requests are slower during a cold start.
const COLD_START_FACTOR: f64 = 5.0;

/// A fault that is in effect until the next one is set.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor on the service time; 0 means 1.
    pub slow_factor: f64,
    /// Take requests and never answer them.
    pub is_silent: bool,
}

/// How the stand-in behaves: slots, service times, faults, and load reports that come late.
pub struct Behaviour {
    slots: Semaphore,
    slot_count: usize,
    service_ms: f64,
    cold_until: Instant,
    report_age: Duration,
    random: Mutex<Pcg64Mcg>,
    fault: Mutex<Fault>,
    reports: Mutex<VecDeque<(Instant, usize)>>,
}

impl Behaviour {
    pub fn new(args: &Args) -> Self {
        let slot_count = args.slots as usize;
        Self {
            slots: Semaphore::new(slot_count),
            slot_count,
            service_ms: args.service_ms as f64,
            cold_until: Instant::now() + Duration::from_millis(args.cold_start_ms),
            report_age: Duration::from_millis(args.report_age_ms),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(args.seed)),
            fault: Mutex::default(),
            reports: Mutex::default(),
        }
    }

    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("no holder of the lock panics") = fault;
    }

    /// Waits for a slot and then for the service time.
    pub async fn run(&self) {
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        self.record_load();
        let fault = *self.fault.lock().expect("no holder of the lock panics");
        if fault.is_silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.service_time(fault)).await;
    }

    /// Exponentially distributed service time, at most ten times the mean.
    fn service_time(&self, fault: Fault) -> Duration {
        let draw: f64 = self.random.lock().expect("no holder of the lock panics").random();
        let mut ms = self.service_ms * (-(1.0 - draw).ln()).min(10.0);
        if fault.slow_factor > 0.0 {
            ms *= fault.slow_factor;
        }
        if Instant::now() < self.cold_until {
            ms *= COLD_START_FACTOR;
        }
        Duration::from_secs_f64(ms / 1000.0)
    }

    fn record_load(&self) {
        let busy = self.slot_count - self.slots.available_permits();
        let mut reports = self.reports.lock().expect("no holder of the lock panics");
        reports.push_back((Instant::now(), busy));
        if reports.len() > 10_000 {
            reports.pop_front();
        }
    }

    /// Busy slots as they were some time ago.
    pub fn late_load_report(&self) -> String {
        let until = Instant::now() - self.report_age;
        let mut reports = self.reports.lock().expect("no holder of the lock panics");
        while reports.len() > 1 && reports[1].0 <= until {
            reports.pop_front();
        }
        let busy = reports.front().filter(|(at, _)| *at <= until).map_or(0, |(_, busy)| *busy);
        format!("{{\"busy_slots\": {busy}, \"slots\": {}}}\n", self.slot_count)
    }
}
