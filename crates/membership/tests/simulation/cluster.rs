//! Simulated cluster with virtual time. Its network can drop, duplicate, delay and block datagrams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tarragon_membership::Datagram;
use tarragon_membership::MemberStatus;
use tarragon_membership::Membership;
use tarragon_membership::MembershipAction;
use tarragon_membership::MembershipEvent;
use tarragon_membership::MembershipSettings;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

/// Datagrams that the socket of a paused node buffers; further ones are dropped.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// Faults and delay of the simulated network.
#[derive(Debug, Clone)]
pub struct Network {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is sent twice.
    pub duplication: f64,
    /// Smallest and largest delay of a datagram, in ms.
    pub delay_ms: (u64, u64),
    /// Data centres whose nodes reach only each other.
    pub isolated_data_centres: Vec<usize>,
    /// Pairs of nodes that cannot reach each other.
    pub blocked_pairs: Vec<(usize, usize)>,
}

pub struct Node {
    pub membership: Membership,
    pub instance: InstanceId,
    pub data_centre: usize,
    pub is_up: bool,
    pub paused_until_ms: u64,
    /// Extra delay of each datagram that the node sends or receives.
    pub processing_delay_ms: u64,
    socket_buffer: Vec<(SocketAddr, Datagram)>,
    /// Number of restarts; events scheduled for an earlier instance are ignored.
    generation: u32,
    last_known_revision: u64,
}

enum ScheduledEvent {
    Tick { node: usize, generation: u32 },
    Deliver { from: SocketAddr, to: usize, datagram: Datagram },
    FullState { node: usize, generation: u32, records: Vec<MemberRecord> },
}

/// Callback with the time in milliseconds, the index of the sender and the datagram.
pub type OnSend = Box<dyn FnMut(u64, usize, &Datagram)>;

/// The nodes, the network between them and the violations of invariants.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub network: Network,
    pub now_ms: u64,
    pub settings: MembershipSettings,
    pub violations: Vec<String>,
    pub has_invariant_checks: bool,
    rng: Pcg64Mcg,
    /// Times of the scheduled events, each with a sequence number, which keeps the order of events
    /// of the same time, and with its index in `events`.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<ScheduledEvent>>,
    free_indices: Vec<usize>,
    push_count: u64,
    /// Called for every datagram sent, before the network drops or delays it.
    pub on_send: Option<OnSend>,
    /// Real time spent in the state machines.
    pub state_machine_time: Duration,
    /// Number of records sent in full exchanges.
    pub exchanged_records: u64,
    /// Last version and revision of each record, by the instances of the observer and the member.
    last_versions: HashMap<(InstanceId, InstanceId), (u32, u64)>,
    /// Members that left, by the instances of the observer and the member.
    left_members: HashMap<(InstanceId, InstanceId), MemberStatus>,
}

pub fn address_of(node: usize) -> SocketAddr {
    let [_, _, high, low] = (node as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_000)
}

fn node_index(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => u32::from_be_bytes(ip.octets()) as usize - (10 << 24) - 1,
        IpAddr::V6(_) => unreachable!("the cluster uses IPv4 only"),
    }
}

impl Cluster {
    /// Creates nodes that have only the addresses of the seeds, which are the first two nodes of
    /// each data centre. `sizes` holds the number of nodes per data centre.
    pub fn new(sizes: &[usize], settings: MembershipSettings, seed: u64) -> Self {
        let (mut seeds, mut first) = (Vec::new(), 0);
        for size in sizes {
            seeds.extend((first..first + size.min(&2)).map(address_of));
            first += size;
        }
        let mut cluster = Self {
            nodes: Vec::new(),
            network: Network {
                loss: 0.0,
                duplication: 0.0,
                delay_ms: (1, 6),
                isolated_data_centres: Vec::new(),
                blocked_pairs: Vec::new(),
            },
            now_ms: 0,
            settings: MembershipSettings { seeds, ..settings },
            violations: Vec::new(),
            has_invariant_checks: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_indices: Vec::new(),
            push_count: 0,
            on_send: None,
            state_machine_time: Duration::ZERO,
            exchanged_records: 0,
            last_versions: HashMap::new(),
            left_members: HashMap::new(),
        };
        for (data_centre, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                let index = cluster.nodes.len();
                let node = cluster.new_node(index, data_centre, 0);
                cluster.nodes.push(node);
                cluster.start_ticks(index);
            }
        }
        cluster
    }

    fn new_node(&mut self, index: usize, data_centre: usize, generation: u32) -> Node {
        let instance = InstanceId(self.rng.random());
        let own_record = MemberRecord {
            node: format!("host-{index:04}"),
            instance,
            data_centre: format!("dc-{data_centre}"),
            region: format!("region-{}", data_centre / 2),
            gossip_address: address_of(index),
            peer_address: address_of(index),
            control_address: address_of(index),
            replica_address: None,
            service: format!("service-{:03}", index % 310),
            state: BackendState::Ready,
            version: 1,
            revision: 0,
        };
        let membership =
            Membership::new(self.settings.clone(), own_record, self.rng.random(), self.now_ms);
        let (is_up, socket_buffer) = (true, Vec::new());
        let (paused_until_ms, processing_delay_ms, last_known_revision) = (0, 0, 0);
        Node {
            membership,
            instance,
            data_centre,
            is_up,
            paused_until_ms,
            processing_delay_ms,
            socket_buffer,
            generation,
            last_known_revision,
        }
    }

    fn start_ticks(&mut self, node: usize) {
        let at_ms = self.now_ms + self.rng.random_range(0..self.settings.tick_ms);
        let generation = self.nodes[node].generation;
        self.push(at_ms, ScheduledEvent::Tick { node, generation });
    }

    fn push(&mut self, at_ms: u64, event: ScheduledEvent) {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[index] = Some(event);
        self.push_count += 1;
        self.queue.push(Reverse((at_ms, self.push_count, index)));
    }

    /// Passes the records of all nodes to every node, as after a long time without changes.
    pub fn introduce_all(&mut self) {
        let records: Vec<MemberRecord> =
            self.nodes.iter().map(|n| n.membership.own_record().clone()).collect();
        for index in 0..self.nodes.len() {
            self.step(index, MembershipEvent::FullState(records.clone()));
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        self.nodes[node].socket_buffer.clear();
    }

    /// Replaces a node by a new instance at the same address.
    pub fn restart(&mut self, node: usize) {
        let (data_centre, generation) =
            (self.nodes[node].data_centre, self.nodes[node].generation + 1);
        self.nodes[node] = self.new_node(node, data_centre, generation);
        self.start_ticks(node);
    }

    pub fn pause(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + for_ms;
    }

    pub fn set_state(&mut self, node: usize, state: BackendState, revision: u64) {
        if self.nodes[node].is_up {
            let service = self.nodes[node].membership.own_record().service.clone();
            self.step(node, MembershipEvent::LocalChange { service, state, revision });
        }
    }

    pub fn leave(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.step(node, MembershipEvent::Leave);
        }
    }

    /// Runs the cluster for a period of virtual time.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse((at_ms, _, index))) = self.queue.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.free_indices.push(index);
            self.now_ms = at_ms;
            match self.events[index].take().expect("a queued index refers to an event") {
                ScheduledEvent::Tick { node, generation } => self.tick(node, generation),
                ScheduledEvent::Deliver { from, to, datagram } => self.deliver(from, to, datagram),
                ScheduledEvent::FullState { node, generation, records } => {
                    if self.nodes[node].is_up && self.nodes[node].generation == generation {
                        self.step(node, MembershipEvent::FullState(records));
                    }
                }
            }
        }
        self.now_ms = end_ms;
    }

    fn tick(&mut self, node: usize, generation: u32) {
        if !self.nodes[node].is_up || self.nodes[node].generation != generation {
            return;
        }
        let until_ms = self.nodes[node].paused_until_ms;
        if until_ms > self.now_ms {
            self.push(until_ms, ScheduledEvent::Tick { node, generation });
            return;
        }
        self.push(self.now_ms + self.settings.tick_ms, ScheduledEvent::Tick { node, generation });
        // After a pause, either the timer or the socket is handled first.
        let socket_buffer = std::mem::take(&mut self.nodes[node].socket_buffer);
        let is_tick_first = !socket_buffer.is_empty() && self.rng.random();
        if is_tick_first {
            self.step(node, MembershipEvent::Tick);
        }
        for (from, datagram) in socket_buffer {
            self.step(node, MembershipEvent::Receive(from, datagram));
        }
        if !is_tick_first {
            self.step(node, MembershipEvent::Tick);
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: usize, datagram: Datagram) {
        let node = &mut self.nodes[to];
        if node.is_up && node.paused_until_ms <= self.now_ms {
            self.step(to, MembershipEvent::Receive(from, datagram));
        } else if node.is_up && node.socket_buffer.len() < SOCKET_BUFFER_DATAGRAMS {
            node.socket_buffer.push((from, datagram));
        }
    }

    fn is_blocked(&self, a: usize, b: usize) -> bool {
        let is_isolated = |node: usize| {
            self.network.isolated_data_centres.contains(&self.nodes[node].data_centre)
        };
        let blocked_pairs = &self.network.blocked_pairs;
        is_isolated(a) != is_isolated(b)
            || blocked_pairs.contains(&(a, b))
            || blocked_pairs.contains(&(b, a))
    }

    /// Passes an event to one node and carries out the resulting actions.
    pub fn step(&mut self, index: usize, event: MembershipEvent) {
        let now_ms = self.now_ms;
        let started = Instant::now();
        let actions = self.nodes[index].membership.step(event, now_ms);
        self.state_machine_time += started.elapsed();
        for action in &actions {
            match action {
                MembershipAction::Send(to, datagram) => {
                    if let Some(on_send) = &mut self.on_send {
                        on_send(now_ms, index, datagram);
                    }
                    self.transmit(index, *to, datagram);
                }
                MembershipAction::RequestFullState(peer) => {
                    let peer = node_index(*peer);
                    if self.nodes[peer].is_up && !self.is_blocked(index, peer) {
                        let records = self.nodes[peer].membership.reachable_members();
                        let generation = self.nodes[index].generation;
                        self.exchanged_records += records.len() as u64;
                        self.push(
                            now_ms + 20,
                            ScheduledEvent::FullState { node: index, generation, records },
                        );
                    }
                }
                MembershipAction::Changed(members) => {
                    if self.has_invariant_checks {
                        self.check_changes(index, members);
                    }
                }
            }
        }
        let revision = self.nodes[index].membership.highest_known_revision();
        if revision < self.nodes[index].last_known_revision {
            self.violations.push(format!("{now_ms}: the known revision of node {index} decreased"));
        }
        self.nodes[index].last_known_revision = revision;
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: &Datagram) {
        let to = node_index(to);
        if to >= self.nodes.len() || self.is_blocked(from, to) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let (min_ms, max_ms) = self.network.delay_ms;
            let delay_ms = self.rng.random_range(min_ms..=max_ms);
            let processing_delay_ms =
                self.nodes[from].processing_delay_ms + self.nodes[to].processing_delay_ms;
            let datagram = datagram.clone();
            let event = ScheduledEvent::Deliver { from: address_of(from), to, datagram };
            self.push(self.now_ms + delay_ms + processing_delay_ms, event);
        }
    }

    /// Checks that the version and revision of a record never decrease, and that a member that left
    /// is never added again.
    fn check_changes(&mut self, index: usize, members: &[tarragon_membership::Member]) {
        let observer = self.nodes[index].instance;
        for member in members {
            let record = &member.record;
            let key = (observer, record.instance);
            let versions = (record.version, record.revision);
            let previous = self.last_versions.insert(key, versions).unwrap_or_default();
            if versions.0 < previous.0 || versions.1 < previous.1 {
                self.violations
                    .push(format!("{}: node {index} reverted a record: {record:?}", self.now_ms));
            }
            if member.status == MemberStatus::Left {
                self.left_members.insert(key, member.status);
            } else if self.left_members.contains_key(&key) {
                self.violations.push(format!(
                    "{}: node {index} added a member again after it left: {record:?}",
                    self.now_ms
                ));
            }
        }
    }

    /// Nodes that are running, with their indices.
    pub fn running_nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_up)
    }

    /// Differences between the running nodes, which should agree on the members, their state, their
    /// version and the highest revision.
    pub fn disagreements(&self) -> Vec<String> {
        let own_records: Vec<&MemberRecord> =
            self.running_nodes().map(|(_, n)| n.membership.own_record()).collect();
        let highest = own_records.iter().map(|r| r.revision).max().unwrap_or_default();
        let mut found = Vec::new();
        for (index, node) in self.running_nodes() {
            let members = node.membership.reachable_members();
            for record in &own_records {
                let known = members.iter().find(|m| m.instance == record.instance);
                let is_current = known.is_some_and(|known| {
                    known.state == record.state && known.version == record.version
                });
                if !is_current {
                    let status = node.membership.status_of(record.instance);
                    found.push(format!(
                        "node {index}: record of {} is missing or differs: {:?} {:?}",
                        record.node, status, known
                    ));
                }
            }
            for member in &members {
                if own_records.iter().all(|record| record.instance != member.instance) {
                    found.push(format!("node {index} still lists {}", member.node));
                }
            }
            if node.membership.highest_known_revision() < highest {
                found.push(format!("node {index} has a known revision below {highest}"));
            }
        }
        found
    }
}
