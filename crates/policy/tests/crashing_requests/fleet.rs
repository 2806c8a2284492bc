//! Simulated fleet whose nodes exchange crash records with the calls between them.

use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tarragon_policy::quarantine::CrashLedger;
use tarragon_policy::quarantine::QuarantineSettings;
use tarragon_policy::quarantine::RequestFingerprint;
use tarragon_policy::quarantine::Suspicion;
use tarragon_policy::quarantine::MAX_CRASHES;

/// Time that passes from one step of the simulation to the next.
const STEP_MS: u64 = 10;

/// Number of records in a message between nodes, as on the data path.
const MAX_NEWS_RECORDS: usize = 64;

/// Interval between heartbeats on the connections to each gate, as on the data path.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Time that a crashing request runs before its server crashes.
const TIME_TO_CRASH_MS: u64 = 40;

/// Time after which a crashed server is back.
const DOWNTIME_MS: u64 = 2_000;

/// Times that a request is sent after it lost its server, by nodes and callers together.
const MAX_REPEATS: u32 = 3;

/// Time after the third crash within which all nodes in touch have to know of it (the users'
/// `contactS`).
const SPREAD_MS: u64 = 3_000;

/// Load and faults of a play.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    /// Number of nodes, each of which is an entry.
    pub nodes: usize,
    /// Number of nodes with a server of the service.
    pub servers: usize,
    /// Requests of callers that crash nothing, per second.
    pub requests_per_s: f64,
    /// Run time of these requests.
    pub run_ms: u64,
    /// Number of requests that crash their servers.
    pub crashing: u64,
    /// Time between two arrivals of each crashing request, which may reach any node.
    pub crashing_interval_ms: u64,
    /// Share of the servers that end at random each second.
    pub random_crashes_per_s: f64,
    /// Length of the play.
    pub length_ms: u64,
}

/// What became of the requests of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    /// For the crashing request that was sent most often later than `SPREAD_MS` after its third
    /// crash, the number of these sendings.
    pub most_late_sendings: usize,
    /// Largest number of servers that one request crashed.
    pub most_crashes: usize,
    /// Refusals of requests that crash nothing.
    pub refused_harmless: usize,
    /// Number of requests that crash nothing.
    pub harmless: usize,
}

#[derive(Clone, Copy)]
struct Run {
    fingerprint: RequestFingerprint,
    entry: usize,
    ends_ms: u64,
    repeats: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<Run>,
    down_until_ms: u64,
}

pub struct Fleet {
    play: Play,
    rng: Pcg32,
    now_ms: u64,
    ledgers: Vec<CrashLedger>,
    servers: Vec<Server>,
    next_fingerprint: u64,
    crash_times_ms: HashMap<u64, Vec<u64>>,
    late_sendings: HashMap<u64, usize>,
    outcome: Outcome,
}

/// Plays the load and returns what became of it.
pub fn run(play: Play, seed: u64) -> Outcome {
    let ledger = || CrashLedger::new(QuarantineSettings::default());
    let mut fleet = Fleet {
        play,
        rng: Pcg32::seed_from_u64(seed),
        now_ms: 0,
        ledgers: (0..play.nodes).map(|_| ledger()).collect(),
        servers: (0..play.servers).map(|_| Server::default()).collect(),
        next_fingerprint: play.crashing,
        crash_times_ms: HashMap::new(),
        late_sendings: HashMap::new(),
        outcome: Outcome::default(),
    };
    while fleet.now_ms < play.length_ms {
        fleet.step();
        fleet.now_ms += STEP_MS;
    }
    let Fleet { crash_times_ms, late_sendings, mut outcome, .. } = fleet;
    outcome.most_late_sendings = late_sendings.into_values().max().unwrap_or(0);
    outcome.most_crashes = crash_times_ms.values().map(Vec::len).max().unwrap_or(0);
    outcome
}

impl Fleet {
    fn now_us(&self) -> u64 {
        self.now_ms * 1_000
    }

    fn step(&mut self) {
        for server in 0..self.servers.len() {
            self.end_runs(server);
            let crash_probability = self.play.random_crashes_per_s * STEP_MS as f64 / 1_000.0;
            if self.rng.random_bool(crash_probability) {
                self.crash(server, None);
            }
        }
        if self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.exchange_heartbeats();
        }
        for request in 0..self.play.crashing {
            if self.rng.random_bool(STEP_MS as f64 / self.play.crashing_interval_ms as f64) {
                self.arrive(RequestFingerprint(request));
            }
        }
        let mut arrivals = self.play.requests_per_s * STEP_MS as f64 / 1_000.0;
        while arrivals > 0.0 && self.rng.random_bool(arrivals.min(1.0)) {
            self.next_fingerprint += 1;
            self.outcome.harmless += 1;
            self.arrive(RequestFingerprint(self.next_fingerprint));
            arrivals -= 1.0;
        }
    }

    fn is_crashing(&self, fingerprint: RequestFingerprint) -> bool {
        fingerprint.0 < self.play.crashing
    }

    fn arrive(&mut self, fingerprint: RequestFingerprint) {
        let entry = self.rng.random_range(0..self.play.nodes);
        self.send(fingerprint, entry, 0);
    }

    /// Sends a request from an entry to a random gate whose server is up.
    fn send(&mut self, fingerprint: RequestFingerprint, entry: usize, repeats: u32) {
        if self.ledgers[entry].suspicion(fingerprint) == Suspicion::Quarantined {
            self.record_refusal(fingerprint);
            return;
        }
        let target = self.rng.random_range(0..self.servers.len());
        if self.servers[target].down_until_ms > self.now_ms {
            return;
        }
        self.tell(entry, target, Some(fingerprint));
        let ledger = &self.ledgers[target];
        let is_suspect = |fingerprint| -> bool { ledger.suspicion(fingerprint) >= Suspicion::High };
        let runs_suspect =
            self.servers[target].running.iter().any(|run| is_suspect(run.fingerprint));
        let is_quarantined = ledger.suspicion(fingerprint) == Suspicion::Quarantined;
        if is_quarantined || (is_suspect(fingerprint) && runs_suspect) {
            self.record_refusal(fingerprint);
            self.tell(target, entry, Some(fingerprint));
            return;
        }
        let is_crashing = self.is_crashing(fingerprint);
        let duration_ms = if is_crashing { TIME_TO_CRASH_MS } else { self.play.run_ms };
        if is_crashing {
            self.record_sending(fingerprint);
        }
        let ends_ms = self.now_ms + duration_ms;
        self.servers[target].running.push(Run { fingerprint, entry, ends_ms, repeats });
    }

    fn record_refusal(&mut self, fingerprint: RequestFingerprint) {
        self.outcome.refused_harmless += usize::from(!self.is_crashing(fingerprint));
    }

    fn record_sending(&mut self, fingerprint: RequestFingerprint) {
        let crashes_ms = self.crash_times_ms.get(&fingerprint.0).map_or(&[][..], Vec::as_slice);
        let third_ms = crashes_ms.get(MAX_CRASHES - 1);
        if third_ms.is_some_and(|third_ms| self.now_ms > third_ms + SPREAD_MS) {
            *self.late_sendings.entry(fingerprint.0).or_default() += 1;
        }
    }

    /// Ends the runs that are over: with an answer, or with a crash of their server.
    fn end_runs(&mut self, server: usize) {
        let now_ms = self.now_ms;
        let runs = std::mem::take(&mut self.servers[server].running);
        let (ended, running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.ends_ms <= now_ms);
        let crashing = ended.iter().find(|run| self.is_crashing(run.fingerprint)).copied();
        if let Some(crashing) = crashing {
            self.servers[server].running = ended.into_iter().chain(running).collect();
            self.crash(server, Some(crashing.fingerprint));
            return;
        }
        self.servers[server].running = running;
        for run in ended {
            let now_us = self.now_us();
            self.ledgers[server].record_answer(run.fingerprint, now_us);
            self.tell(server, run.entry, Some(run.fingerprint));
        }
    }

    fn crash(&mut self, server: usize, cause: Option<RequestFingerprint>) {
        let lost = std::mem::take(&mut self.servers[server].running);
        self.servers[server].down_until_ms = self.now_ms + DOWNTIME_MS;
        if let Some(cause) = cause {
            self.crash_times_ms.entry(cause.0).or_default().push(self.now_ms);
        }
        let running: Vec<_> = lost.iter().map(|run| run.fingerprint).collect();
        let now_us = self.now_us();
        self.ledgers[server].record_crash(self.rng.random(), &running, now_us);
        for run in lost {
            self.tell(server, run.entry, Some(run.fingerprint));
            let may_repeat = self.ledgers[run.entry].suspicion(run.fingerprint) < Suspicion::High;
            if may_repeat && run.repeats < MAX_REPEATS {
                self.send(run.fingerprint, run.entry, run.repeats + 1);
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        for entry in 0..self.play.nodes {
            for gate in (0..self.servers.len()).filter(|gate| *gate != entry) {
                self.tell(entry, gate, None);
                self.tell(gate, entry, None);
            }
        }
    }

    /// Tells one node what another knows, with a message that may be about a request.
    fn tell(&mut self, from: usize, to: usize, about: Option<RequestFingerprint>) {
        let now_us = self.now_us();
        let news = self.ledgers[from].news(about, MAX_NEWS_RECORDS, now_us);
        for told in news {
            self.ledgers[to].merge_told(&told, now_us);
        }
    }
}
