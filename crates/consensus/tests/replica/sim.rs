use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::RaftMessage;
use tarragon_consensus::protocol::ReplicaId;
use tarragon_consensus::raft::MemberChange;
use tarragon_consensus::raft::RaftSettings;
use tarragon_consensus::raft::ReplicaAction;
use tarragon_consensus::raft::ReplicaEvent;
use tarragon_consensus::raft::ReplicaRole;
use tarragon_consensus::raft::ReplicaStatus;
use tarragon_consensus::raft::RequestNumber;
use tarragon_consensus::raft::RequestOutcome;
use tarragon_consensus::storage::LogStore;

use crate::checker::Checker;
use crate::machine::MachineFactory;
use crate::node::Node;

/// Shortest election timeout in the simulation, in ms.
pub const ELECTION_MS: u64 = 100;

/// What a client waits for.
enum Request {
    Command,
    /// A read that must see everything up to this index.
    Read(u64),
    Change,
}

/// Replicas with simulated hosts and network. All randomness comes from one seed.
pub struct Sim {
    pub nodes: Vec<Node>,
    pub checker: Checker,
    pub rng: Pcg64Mcg,
    pub now_ms: u64,
    /// Links that lose everything, by sender and receiver.
    pub blocked: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,
    pub settings: RaftSettings,
    /// Disk ids that are lost.
    pub lost: BTreeSet<DiskId>,
    /// Whether a repeated command must get its first answer.
    pub is_repeatable: bool,
    /// Answers to membership changes, in order.
    pub change_outcomes: Vec<RequestOutcome>,
    /// Results that clients have, by command.
    pub results: Vec<(Vec<u8>, Vec<u8>)>,
    network: Vec<(u64, RaftMessage)>,
    requests: BTreeMap<RequestNumber, (usize, Request)>,
    next_request: RequestNumber,
    next_disk: u64,
}

/// Small limits, so that short runs reach compaction, batches and chunks.
pub fn settings() -> RaftSettings {
    RaftSettings {
        heartbeat_interval_ms: 20,
        election_timeout_ms: ELECTION_MS,
        // In the proportions of the defaults.
        start_election_timeout_ms: ELECTION_MS * 15 / 100,
        start_ms: ELECTION_MS * 3,
        max_batch_bytes: 120,
        max_in_flight_entries: 6,
        snapshot_chunk_bytes: 150,
        snapshot_interval_entries: 12,
        max_retained_entries: 4,
        ..RaftSettings::default()
    }
}

impl Sim {
    /// Starts `voters` replicas as voters and `spares` without state.
    pub fn new(
        seed: u64,
        voters: usize,
        spares: usize,
        settings: RaftSettings,
        factory: MachineFactory,
    ) -> Self {
        let name = |at: usize| ["a", "b", "c", "d", "e", "f"][at];
        let id = |at: usize| ReplicaId::new(name(at), DiskId(at as u64));
        let nodes = (0..voters + spares).map(|at| Node::new(id(at), factory)).collect();
        let mut sim = Self {
            nodes,
            checker: Checker::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            blocked: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 5,
            settings,
            lost: BTreeSet::new(),
            is_repeatable: true,
            change_outcomes: Vec::new(),
            results: Vec::new(),
            network: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 1,
            next_disk: 100,
        };
        for at in 0..voters + spares {
            sim.start(at);
        }
        let list = (0..voters).map(id).collect();
        sim.step(0, ReplicaEvent::Bootstrap(list)).expect("nothing has happened yet");
        sim
    }

    pub fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let settings = self.settings.clone();
        self.nodes[at].start(&settings, seed);
    }

    pub fn crash(&mut self, at: usize) {
        let unsynced = self.nodes[at].store.disk().unsynced_count();
        let kept = self.rng.random_range(0..=unsynced);
        let torn_entries = self.pick(4);
        self.nodes[at].crash(kept, torn_entries);
        self.requests.retain(|_, (node, _)| *node != at);
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.lost.insert(self.nodes[at].id.disk);
        self.requests.retain(|_, (node, _)| *node != at);
        self.nodes[at].lose_disk(self.next_disk);
        self.next_disk += 1;
    }

    pub fn status(&self, at: usize) -> Option<ReplicaStatus> {
        self.nodes[at].replica.as_ref().map(|r| r.status())
    }

    /// The running leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let statuses = (0..self.nodes.len()).filter_map(|at| Some((at, self.status(at)?)));
        let leaders = statuses.filter(|(_, s)| s.role == ReplicaRole::Leader);
        leaders.max_by_key(|(_, s)| s.term).map(|(at, _)| at)
    }

    fn request(&mut self, at: usize, request: Request) -> RequestNumber {
        let number = self.next_request;
        self.next_request += 1;
        self.requests.insert(number, (at, request));
        number
    }

    pub fn propose(&mut self, at: usize, command: &[u8]) -> Result<(), String> {
        let request = self.request(at, Request::Command);
        self.step(at, ReplicaEvent::Propose { request, command: command.to_vec() })
    }

    pub fn read(&mut self, at: usize) -> Result<(), String> {
        let floor = self.checker.last_acknowledged();
        let request = self.request(at, Request::Read(floor));
        self.step(at, ReplicaEvent::Read { request })
    }

    pub fn change(&mut self, at: usize, change: MemberChange) -> Result<(), String> {
        let request = self.request(at, Request::Change);
        self.step(at, ReplicaEvent::ChangeMembers { request, change })
    }

    /// Gives a running replica an event, carries out its actions and checks the invariants.
    pub fn step(&mut self, at: usize, event: ReplicaEvent) -> Result<(), String> {
        let now_ms = self.nodes[at].clock_ms();
        if self.nodes[at].is_paused {
            return Ok(());
        }
        let Some(replica) = &mut self.nodes[at].replica else { return Ok(()) };
        let before = replica.status();
        let actions = replica.step(event, now_ms);
        for action in actions {
            self.carry_out(at, action)?;
        }
        let node = &mut self.nodes[at];
        let Some(replica) = &node.replica else { return Ok(()) };
        node.configuration = replica.status().configuration;
        self.checker.on_step(&before, replica)?;
        if replica.is_snapshot_due() {
            let data = node.machine.snapshot();
            return self.step(at, ReplicaEvent::SnapshotTaken { data });
        }
        Ok(())
    }

    fn carry_out(&mut self, at: usize, action: ReplicaAction) -> Result<(), String> {
        match action {
            ReplicaAction::Send(message) => self.send(at, message),
            ReplicaAction::Persist(request) => {
                let node = &mut self.nodes[at];
                if node.store.write(&request).is_err() {
                    return self.step(at, ReplicaEvent::StorageFailed);
                }
                node.sequence = request.sequence;
                let delay_ms = self.rng.random_range(1..12);
                self.nodes[at].sync_at_ms.get_or_insert(self.now_ms + delay_ms);
            }
            ReplicaAction::Apply { index, command, request } => {
                let node = &mut self.nodes[at];
                let answer = node.machine.apply(index, &command);
                self.checker.on_apply(&node.id, index, &answer, &node.machine)?;
                if let Some(request) = request {
                    self.requests.remove(&request);
                    let term = node.replica.as_ref().map_or(0, |r| r.status().term);
                    let is_repeatable = self.is_repeatable;
                    self.checker.on_result(term, index, &command, &answer, is_repeatable)?;
                    self.results.push((command, answer));
                }
            }
            ReplicaAction::CompleteRequest { request, outcome } => {
                self.on_outcome(at, request, outcome)?
            }
            ReplicaAction::InstallSnapshot(snapshot) => {
                let node = &mut self.nodes[at];
                node.machine.restore(&snapshot.data);
                self.checker.check_prefix(&node.id, snapshot.index, &node.machine)?;
            }
        }
        Ok(())
    }

    fn on_outcome(
        &mut self,
        at: usize,
        request: RequestNumber,
        outcome: RequestOutcome,
    ) -> Result<(), String> {
        let Some((_, request)) = self.requests.remove(&request) else {
            return Err("a request was answered twice".into());
        };
        match (request, outcome) {
            (Request::Read(floor), RequestOutcome::ReadReady { index }) if index < floor => {
                Err(format!("{} reads at {index}, but {floor} was answered", self.nodes[at].id))
            }
            (Request::Change, outcome) => {
                self.change_outcomes.push(outcome);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn send(&mut self, at: usize, message: RaftMessage) {
        self.checker.on_send(&message);
        let Some(to) = self.nodes.iter().position(|n| n.id.name == message.to.name) else {
            return;
        };
        if self.blocked.contains(&(at, to)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            if self.rng.random_range(0..100) >= self.loss_percent {
                let delay_ms = self.rng.random_range(1..=self.max_delay_ms);
                self.network.push((self.now_ms + delay_ms, message.clone()));
            }
        }
    }

    /// Lets time pass: messages arrive, syncs end, clocks tick.
    pub fn run(&mut self, ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            let passed_ms = self.rng.random_range(1..6);
            self.now_ms += passed_ms;
            self.deliver()?;
            for at in 0..self.nodes.len() {
                self.nodes[at].advance_clock(passed_ms);
                if !self.nodes[at].is_running() {
                    continue;
                }
                if self.nodes[at].sync_at_ms.is_some_and(|due| due <= self.now_ms) {
                    self.nodes[at].sync_at_ms = None;
                    let sequence = self.nodes[at].sequence;
                    let event = match self.nodes[at].store.sync() {
                        Ok(()) => ReplicaEvent::Stored(sequence),
                        Err(_) => ReplicaEvent::StorageFailed,
                    };
                    self.step(at, event)?;
                }
                self.step(at, ReplicaEvent::Tick)?;
            }
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now_ms = self.now_ms;
        let due: Vec<RaftMessage> =
            self.network.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, m)| m).collect();
        for message in due {
            let to = self.nodes.iter().position(|n| n.id.name == message.to.name);
            match to {
                // What arrives during a pause is still there when it ends.
                Some(to) if self.nodes[to].is_paused => self.network.push((now_ms + 1, message)),
                Some(to) => self.step(to, ReplicaEvent::Receive(message))?,
                None => {}
            }
        }
        Ok(())
    }

    /// Loses what is on its way to a host.
    pub fn drop_messages_to(&mut self, at: usize) {
        let name = &self.nodes[at].id.name;
        self.network.retain(|(_, message)| message.to.name != *name);
    }

    /// Ends all faults: hosts start, links heal, clocks run at one speed.
    pub fn calm(&mut self) {
        self.blocked.clear();
        (self.loss_percent, self.duplicate_percent, self.max_delay_ms) = (0, 0, 5);
        for at in 0..self.nodes.len() {
            self.nodes[at].is_paused = false;
            self.nodes[at].clock_percent = 100;
            // A disk that fails is repaired, which takes a restart.
            if self.nodes[at].store.disk().is_failing() {
                self.crash(at);
            }
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
    }

    /// Proposes until a new command is answered, for at most `limit_ms`.
    pub fn await_progress(&mut self, limit_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + limit_ms;
        let known = self.results.len();
        while self.now_ms < end_ms {
            if let Some(leader) = self.leader() {
                let command = format!("probe {}", self.now_ms);
                self.propose(leader, command.as_bytes())?;
            }
            self.run(ELECTION_MS / 2)?;
            if self.results.len() > known {
                return Ok(());
            }
        }
        let statuses: Vec<_> = (0..self.nodes.len()).map(|at| self.status(at)).collect();
        Err(format!("no progress within {limit_ms} ms after the faults: {statuses:#?}"))
    }

    /// Waits until every member that still has its disk holds all that the leader has committed.
    pub fn await_agreement(&mut self, limit_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms {
            self.run(ELECTION_MS / 2)?;
            let Some(leader) = self.leader().and_then(|at| self.status(at)) else { continue };
            let is_behind = |node: &Node| {
                let status = node.replica.as_ref().map(|r| r.status());
                leader.configuration.has_member(&node.id)
                    && status.is_none_or(|s| s.commit_index < leader.commit_index)
            };
            if !self.nodes.iter().any(is_behind) {
                return Ok(());
            }
        }
        Err(format!("a member is behind {limit_ms} ms after the faults"))
    }
}
