//! Measures the latency under routing while one of four backend servers is slowed down 10x.
//!
//! Runs a seeded simulation in virtual time. Entries, each with one router, send an open-loop
//! load of 60% of the capacity to four fake backend servers with 75 slots each. Latencies include
//! the wait in the queue of a full server and 0.25 ms in each direction. The first argument is the
//! seed (default 1).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::member::BackendState;
use tarragon_policy::routing::AdaptiveRouter;
use tarragon_policy::routing::AdaptiveRouterSettings;
use tarragon_policy::routing::CallOutcome;
use tarragon_policy::routing::CallResult;
use tarragon_policy::routing::Candidate;
use tarragon_policy::routing::Distance;
use tarragon_policy::routing::RoundRobinRouter;
use tarragon_policy::routing::RouteDecision;
use tarragon_policy::routing::RoutePolicy;
use tarragon_policy::routing::RouteQuery;

const SERVERS: usize = 4;
const SLOTS: usize = 75;
const LOAD_SHARE: f64 = 0.6;
const MEAN_WORK_US: f64 = 10_000.0;
/// Delay between an entry and a server in one direction, in µs.
const ONE_WAY_DELAY_US: u64 = 250;
const SLOWDOWN_FACTOR: u64 = 10;
/// Arrival times of the measured requests. The slowdown starts at the same time.
const MEASUREMENT_US: std::ops::Range<u64> = 2_000_000..10_000_000;
/// Requests without an answer by this time count as answered at this time.
const END_US: u64 = 20_000_000;
const SERVICE: &str = "measured";

#[derive(Debug, Clone, Copy, PartialEq)]
enum WorkDistribution {
    Uniform,
    Exponential,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum SlowdownPattern {
    None,
    /// One server is slow during the whole measurement.
    Steady,
    /// Every 2 s, the next server is slow for 500 ms.
    Episodes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    ReachServer {
        request: usize,
    },
    /// End of a run; ignored if the end was rescheduled since.
    Finish {
        request: usize,
        reschedule_count: u32,
    },
    Answer {
        request: usize,
    },
    Slow {
        server: usize,
    },
    Recover {
        server: usize,
    },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    entry: usize,
    server: usize,
    sent_us: u64,
    work_us: u64,
    finish_us: u64,
    reschedule_count: u32,
    is_answered: bool,
}

#[derive(Debug, Default)]
struct FakeServer {
    is_slow: bool,
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

struct Simulation {
    entries: Vec<Box<dyn RoutePolicy>>,
    servers: Vec<FakeServer>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    rng: Pcg32,
    work: WorkDistribution,
    now_us: u64,
}

struct Measurement {
    p50_ms: f64,
    p99_ms: f64,
    /// Percentage of the requests that reached a server while it was slow.
    slow_percent: f64,
}

impl Simulation {
    fn new(is_adaptive: bool, entries: usize, work: WorkDistribution, seed: u64) -> Self {
        let candidates: Vec<Candidate> = (0..SERVERS as u64)
            .map(|n| Candidate {
                instance: InstanceId(n),
                distance: Distance::Local,
                state: BackendState::Ready,
            })
            .collect();
        let entry = |n: u64| -> Box<dyn RoutePolicy> {
            let mut router: Box<dyn RoutePolicy> = match is_adaptive {
                true => Box::new(AdaptiveRouter::new(AdaptiveRouterSettings::default(), seed + n)),
                false => Box::new(RoundRobinRouter::default()),
            };
            router.set_candidates(SERVICE, &candidates, 0);
            router
        };
        Self {
            entries: (0..entries as u64).map(entry).collect(),
            servers: (0..SERVERS).map(|_| FakeServer::default()).collect(),
            requests: vec![],
            events: BinaryHeap::new(),
            event_count: 0,
            rng: Pcg32::seed_from_u64(seed ^ 0x9e37_79b9),
            work,
            now_us: 0,
        }
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time_us, self.event_count, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn run(mut self, slowed: SlowdownPattern) -> Measurement {
        self.schedule(0, Event::Arrive);
        match slowed {
            SlowdownPattern::None => {}
            SlowdownPattern::Steady => {
                self.schedule(MEASUREMENT_US.start, Event::Slow { server: 0 })
            }
            SlowdownPattern::Episodes => {
                for (n, start_us) in MEASUREMENT_US.step_by(2_000_000).enumerate() {
                    self.schedule(start_us, Event::Slow { server: n % SERVERS });
                    self.schedule(start_us + 500_000, Event::Recover { server: n % SERVERS });
                }
            }
        }
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, END_US, 3).expect("the bounds are valid");
        let (mut sent, mut sent_slow) = (0_u64, 0_u64);
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            if time_us > END_US {
                break;
            }
            self.now_us = time_us;
            match event {
                Event::Arrive => self.handle_arrival(),
                Event::ReachServer { request } => {
                    let server = self.requests[request].server;
                    let is_measured = MEASUREMENT_US.contains(&self.requests[request].sent_us);
                    sent += u64::from(is_measured);
                    sent_slow += u64::from(is_measured && self.servers[server].is_slow);
                    self.servers[server].queue.push_back(request);
                    self.start_next(server);
                }
                Event::Finish { request, reschedule_count } => {
                    self.finish_run(request, reschedule_count)
                }
                Event::Answer { request } => {
                    let latency_us = self.record_answer(request);
                    if MEASUREMENT_US.contains(&self.requests[request].sent_us) {
                        latencies.saturating_record(latency_us);
                    }
                }
                Event::Slow { server } => self.change_speed(server, true),
                Event::Recover { server } => self.change_speed(server, false),
            }
        }
        for request in self.requests.iter().filter(|request| !request.is_answered) {
            if MEASUREMENT_US.contains(&request.sent_us) {
                latencies.saturating_record(END_US - request.sent_us);
            }
        }
        Measurement {
            p50_ms: latencies.value_at_quantile(0.5) as f64 / 1_000.0,
            p99_ms: latencies.value_at_quantile(0.99) as f64 / 1_000.0,
            slow_percent: 100.0 * sent_slow as f64 / sent as f64,
        }
    }

    fn handle_arrival(&mut self) {
        let capacity_per_us = (SERVERS * SLOTS) as f64 / MEAN_WORK_US;
        let gap_us = self.exponential(1.0 / (capacity_per_us * LOAD_SHARE));
        let next_us = self.now_us + gap_us.round() as u64;
        if next_us < MEASUREMENT_US.end {
            self.schedule(next_us, Event::Arrive);
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let work_us = match self.work {
            WorkDistribution::Uniform => MEAN_WORK_US * (0.5 + self.rng.random::<f64>()),
            WorkDistribution::Exponential => self.exponential(MEAN_WORK_US),
        };
        let counter = self.requests.len() as u64;
        let query = RouteQuery {
            service: SERVICE,
            request_id: RequestId { instance: InstanceId(99), counter },
            rank: 1,
            excluded: &[],
            kind: 0,
            needs_proven_connection: false,
        };
        let RouteDecision::Use(target) = self.entries[entry].choose(&query, self.now_us) else {
            unreachable!("all servers are ready and have sent no advice");
        };
        self.entries[entry].record_call_start(SERVICE, target, self.now_us);
        self.requests.push(Request {
            entry,
            server: target.0 as usize,
            sent_us: self.now_us,
            work_us: work_us as u64,
            finish_us: 0,
            reschedule_count: 0,
            is_answered: false,
        });
        self.schedule(
            self.now_us + ONE_WAY_DELAY_US,
            Event::ReachServer { request: counter as usize },
        );
    }

    fn start_next(&mut self, server: usize) {
        if self.servers[server].running.len() >= SLOTS {
            return;
        }
        let Some(request) = self.servers[server].queue.pop_front() else { return };
        let factor = if self.servers[server].is_slow { SLOWDOWN_FACTOR } else { 1 };
        self.servers[server].running.push(request);
        let finish_us = self.now_us + self.requests[request].work_us * factor;
        self.requests[request].finish_us = finish_us;
        self.schedule(finish_us, Event::Finish { request, reschedule_count: 0 });
    }

    fn finish_run(&mut self, request: usize, reschedule_count: u32) {
        if self.requests[request].reschedule_count != reschedule_count {
            return;
        }
        let server = self.requests[request].server;
        self.servers[server].running.retain(|&other| other != request);
        self.schedule(self.now_us + ONE_WAY_DELAY_US, Event::Answer { request });
        self.start_next(server);
    }

    fn record_answer(&mut self, request: usize) -> u64 {
        self.requests[request].is_answered = true;
        let Request { entry, server, sent_us, .. } = self.requests[request];
        let result = CallResult {
            latency_us: self.now_us - sent_us,
            outcome: CallOutcome::Answered,
            kind: 0,
        };
        self.entries[entry].record_call_end(
            SERVICE,
            InstanceId(server as u64),
            &result,
            self.now_us,
        );
        result.latency_us
    }

    /// Changes the speed of a server and reschedules the ends of its running requests.
    fn change_speed(&mut self, server: usize, is_slow: bool) {
        self.servers[server].is_slow = is_slow;
        for request in self.servers[server].running.clone() {
            let remaining_us = self.requests[request].finish_us - self.now_us;
            let remaining_us = if is_slow {
                remaining_us * SLOWDOWN_FACTOR
            } else {
                remaining_us / SLOWDOWN_FACTOR
            };
            self.requests[request].finish_us = self.now_us + remaining_us;
            self.requests[request].reschedule_count += 1;
            let reschedule_count = self.requests[request].reschedule_count;
            self.schedule(self.now_us + remaining_us, Event::Finish { request, reschedule_count });
        }
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}; load {LOAD_SHARE} of capacity; {SERVERS} servers of {SLOTS} slots");
    println!(
        "{:<12} {:<11} {:>7} {:<9} {:>8} {:>9} {:>11} {:>12}",
        "router", "work", "entries", "slowed", "p50 ms", "p99 ms", "p99 ratio", "to slow %"
    );
    for work in [WorkDistribution::Uniform, WorkDistribution::Exponential] {
        for entries in [1, 8, 64, 512] {
            for is_adaptive in [true, false] {
                let mut baseline_p99_ms = 0.0;
                for slowed in
                    [SlowdownPattern::None, SlowdownPattern::Steady, SlowdownPattern::Episodes]
                {
                    let measured = Simulation::new(is_adaptive, entries, work, seed).run(slowed);
                    if slowed == SlowdownPattern::None {
                        baseline_p99_ms = measured.p99_ms;
                    }
                    println!(
                        "{:<12} {:<11} {:>7} {:<9} {:>8.1} {:>9.1} {:>11.2} {:>12.2}",
                        if is_adaptive { "adaptive" } else { "round-robin" },
                        format!("{work:?}").to_lowercase(),
                        entries,
                        format!("{slowed:?}").to_lowercase(),
                        measured.p50_ms,
                        measured.p99_ms,
                        measured.p99_ms / baseline_p99_ms,
                        measured.slow_percent
                    );
                }
            }
        }
    }
}
