use std::collections::BTreeMap;

use crate::day::Day;
use crate::day::Kind;
use crate::day::Service;

/// Bound for one second: worth asked and the most that can be earned, by kind.
pub struct SecondBound {
    pub asked: BTreeMap<String, f64>,
    pub earned: BTreeMap<String, f64>,
}

/// Share of a kind that may succeed, and what it takes.
struct Prospect<'a> {
    kind: &'a Kind,
    rate: f64,
    worth: f64,
    /// Slot time that a request takes at each service, in s.
    slot_s: BTreeMap<&'a str, f64>,
}

impl Day {
    fn kind(&self, name: &str) -> &Kind {
        self.kinds.iter().find(|kind| kind.name == name).expect("calls name a kind of the file")
    }

    fn service(&self, name: &str) -> &Service {
        self.services.iter().find(|s| s.name == name).expect("kinds name a service of the file")
    }

    /// Shortest time of the calls of a kind, which are made one after the other, in ms.
    fn calls_ms(&self, kind: &Kind) -> f64 {
        let call_ms = |name: &str| {
            let called = self.kind(name);
            called.work_ms / fastest(self.service(&called.service)) + self.calls_ms(called)
        };
        kind.calls.iter().map(|call| f64::from(call.times) * call_ms(&call.kind)).sum()
    }

    /// Mean worth of a request on the fastest server, with its tail.
    fn worth_on_time(&self, kind: &Kind) -> f64 {
        let worth_of = |factor: f64| {
            let speed = fastest(self.service(&kind.service));
            match kind.work_ms * factor / speed + self.calls_ms(kind) {
                ms if ms <= kind.objective_ms => kind.worth,
                ms if ms <= kind.time_limit_ms => kind.late_worth,
                _ => 0.0,
            }
        };
        (1.0 - kind.tail_share) * worth_of(1.0) + kind.tail_share * worth_of(kind.tail_factor)
    }

    /// Adds the slot time of a request and its calls at each service, in s.
    fn add_slot_time<'a>(&'a self, kind: &'a Kind, times: f64, to: &mut BTreeMap<&'a str, f64>) {
        let mean_factor = 1.0 + kind.tail_share * (kind.tail_factor - 1.0).max(0.0);
        let slot_ms = kind.work_ms * mean_factor + self.calls_ms(kind);
        *to.entry(&kind.service).or_default() += times * slot_ms / 1_000.0;
        for call in &kind.calls {
            self.add_slot_time(self.kind(&call.kind), times * f64::from(call.times), to);
        }
    }

    /// Number of arrivals of a request and its calls at a service.
    fn arrivals_at(&self, kind: &Kind, service: &str) -> u32 {
        let calls = kind.calls.iter();
        let called: u32 =
            calls.map(|c| c.times * self.arrivals_at(self.kind(&c.kind), service)).sum();
        called + u32::from(kind.service == service)
    }

    fn rate_at(&self, kind: &Kind, at_s: f64) -> f64 {
        let applies = |of: &Option<String>| of.as_ref().is_none_or(|name| *name == kind.name);
        let demand = self.demand.iter();
        let now = demand.filter(|d| d.from_s <= at_s && at_s < d.to_s && applies(&d.kind));
        now.fold(kind.per_s, |rate, demand| rate * demand.factor)
    }

    /// The most that any system could earn in the second that starts at `at_s`: every request runs
    /// on the fastest server, repeats are known to be needed, and nothing waits.
    pub fn bound(&self, at_s: f64) -> SecondBound {
        let clients = self.kinds.iter().filter(|kind| kind.per_s > 0.0);
        let mut prospects: Vec<Prospect<'_>> = clients
            .map(|kind| {
                let mut slot_s = BTreeMap::new();
                self.add_slot_time(kind, 1.0, &mut slot_s);
                let (rate, worth) = (self.rate_at(kind, at_s), self.worth_on_time(kind));
                Prospect { kind, rate, worth, slot_s }
            })
            .collect();
        let asked = prospects
            .iter()
            .map(|prospect| (prospect.kind.name.clone(), prospect.rate * prospect.kind.worth))
            .collect();
        let faults = self.faults.iter().filter(|f| f.from_s <= at_s && at_s < f.to_s);
        for fault in faults.clone().filter(|fault| fault.rejected_share > 0.0) {
            self.apply_rejections(&mut prospects, &fault.service, fault.rejected_share);
        }
        for service in &self.services {
            let lost = faults.clone().filter(|fault| fault.service == service.name);
            let left: f64 = lost.map(|fault| 1.0 - fault.lost_share).product();
            let speed = service.speeds.iter().sum::<f64>() / service.speeds.len() as f64;
            let capacity = f64::from(service.servers * service.slots) * speed * left;
            apply_capacity(&mut prospects, &service.name, capacity);
        }
        let earned = prospects
            .iter()
            .map(|prospect| (prospect.kind.name.clone(), prospect.rate * prospect.worth))
            .collect();
        SecondBound { asked, earned }
    }

    /// Reduces the worth of chains whose calls a service rejects at random. The allowed repeats go
    /// to the kinds that earn most for each.
    fn apply_rejections(&self, prospects: &mut [Prospect<'_>], service: &str, rejected: f64) {
        let arrivals = |p: &Prospect<'_>| self.arrivals_at(p.kind, service);
        let first_arrivals: f64 = prospects.iter().map(|p| p.rate * f64::from(arrivals(p))).sum();
        let mut repeats_left = self.retry_ratio * first_arrivals;
        let (once, twice) = (1.0 - rejected, 1.0 - rejected * rejected);
        let gain = |p: &Prospect<'_>| {
            let calls = arrivals(p);
            // A chain ends at its first call that fails.
            let repeats: f64 = (0..calls).map(|n| twice.powi(n as i32) * rejected).sum();
            let share = twice.powi(calls as i32) - once.powi(calls as i32);
            (repeats, share)
        };
        let mut order: Vec<usize> = (0..prospects.len()).collect();
        let density = |p: &Prospect<'_>| {
            let (repeats, share) = gain(p);
            if repeats > 0.0 {
                p.worth * share / repeats
            } else {
                0.0
            }
        };
        order.sort_by(|a, b| density(&prospects[*b]).total_cmp(&density(&prospects[*a])));
        for at in order {
            let prospect = &mut prospects[at];
            let calls = self.arrivals_at(prospect.kind, service);
            if calls == 0 {
                continue;
            }
            let (repeats, share) = gain(prospect);
            let repeated = (repeats_left / (prospect.rate * repeats)).min(1.0);
            repeats_left -= repeated * prospect.rate * repeats;
            prospect.worth *= once.powi(calls as i32) + repeated * share;
        }
    }
}

/// Admits the kinds that earn most for their slot time until the service is full.
fn apply_capacity(prospects: &mut [Prospect<'_>], service: &str, capacity_s: f64) {
    let slot_s = |p: &Prospect<'_>| p.slot_s.get(service).copied().unwrap_or(0.0);
    let mut order: Vec<usize> =
        (0..prospects.len()).filter(|at| slot_s(&prospects[*at]) > 0.0).collect();
    let density = |p: &Prospect<'_>| p.worth / slot_s(p);
    order.sort_by(|a, b| density(&prospects[*b]).total_cmp(&density(&prospects[*a])));
    let mut left_s = capacity_s;
    for at in order {
        let prospect = &mut prospects[at];
        let admitted = (left_s / slot_s(prospect)).min(prospect.rate).max(0.0);
        left_s -= admitted * slot_s(prospect);
        prospect.rate = admitted;
    }
}

fn fastest(service: &Service) -> f64 {
    service.speeds.iter().copied().fold(f64::MIN_POSITIVE, f64::max)
}
