//! In-memory cluster with virtual time: a queue of messages that loses, repeats, delays and cuts.

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

/// Datagrams that a paused node's socket keeps.
const SOCKET_BUFFER: usize = 200;

/// What the network does to datagrams.
#[derive(Debug, Clone)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: (u64, u64),
    /// Data centres that reach only each other.
    pub cut: Vec<usize>,
    /// Pairs of nodes that do not reach each other.
    pub blocked: Vec<(usize, usize)>,
}

pub struct Node {
    pub core: Membership,
    pub instance: InstanceId,
    pub data_centre: usize,
    pub is_up: bool,
    pub paused_until_ms: u64,
    /// Delay of everything that the node handles.
    pub slow_ms: u64,
    backlog: Vec<(SocketAddr, Datagram)>,
    life: u32,
    last_revision: u64,
}

enum Item {
    Tick { node: usize, life: u32 },
    Deliver { from: SocketAddr, to: usize, datagram: Datagram },
    FullState { node: usize, life: u32, records: Vec<MemberRecord> },
}

/// Receives the time, the sender and a datagram.
pub type OnSend = Box<dyn FnMut(u64, usize, &Datagram)>;

/// The nodes, the network between them and the invariants that they broke.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub network: Network,
    pub now_ms: u64,
    pub settings: MembershipSettings,
    pub faults: Vec<String>,
    pub is_checked: bool,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    items: Vec<Option<Item>>,
    free: Vec<usize>,
    counter: u64,
    /// Sees the time, the sender and every datagram sent, before the network.
    pub on_send: Option<OnSend>,
    /// Real time spent in the state machines.
    pub core_time: Duration,
    /// Records sent in full exchanges.
    pub exchanged_records: u64,
    seen: HashMap<(InstanceId, InstanceId), (u32, u64)>,
    gone: HashMap<(InstanceId, InstanceId), MemberStatus>,
}

pub fn address_of(node: usize) -> SocketAddr {
    let [_, _, high, low] = (node as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_000)
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => u32::from_be_bytes(ip.octets()) as usize - (10 << 24) - 1,
        IpAddr::V6(_) => unreachable!("the cluster uses IPv4 only"),
    }
}

impl Cluster {
    /// Nodes that know only their seeds, the first nodes of each data centre.
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
                cut: Vec::new(),
                blocked: Vec::new(),
            },
            now_ms: 0,
            settings: MembershipSettings { seeds, ..settings },
            faults: Vec::new(),
            is_checked: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            items: Vec::new(),
            free: Vec::new(),
            counter: 0,
            on_send: None,
            core_time: Duration::ZERO,
            exchanged_records: 0,
            seen: HashMap::new(),
            gone: HashMap::new(),
        };
        for (data_centre, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                let at = cluster.nodes.len();
                let node = cluster.new_node(at, data_centre, 0);
                cluster.nodes.push(node);
                cluster.start_ticks(at);
            }
        }
        cluster
    }

    fn new_node(&mut self, at: usize, data_centre: usize, life: u32) -> Node {
        let instance = InstanceId(self.rng.random());
        let own = MemberRecord {
            node: format!("host-{at:04}"),
            instance,
            data_centre: format!("dc-{data_centre}"),
            region: format!("region-{}", data_centre / 2),
            gossip_address: address_of(at),
            peer_address: address_of(at),
            control_address: address_of(at),
            replica_address: None,
            service: format!("service-{:03}", at % 310),
            state: BackendState::Ready,
            version: 1,
            revision: 0,
        };
        let core = Membership::new(self.settings.clone(), own, self.rng.random(), self.now_ms);
        let (is_up, backlog) = (true, Vec::new());
        let (paused_until_ms, slow_ms, last_revision) = (0, 0, 0);
        Node {
            core,
            instance,
            data_centre,
            is_up,
            paused_until_ms,
            slow_ms,
            backlog,
            life,
            last_revision,
        }
    }

    fn start_ticks(&mut self, node: usize) {
        let at_ms = self.now_ms + self.rng.random_range(0..self.settings.tick_ms);
        let life = self.nodes[node].life;
        self.push(at_ms, Item::Tick { node, life });
    }

    fn push(&mut self, at_ms: u64, item: Item) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.items.push(None);
            self.items.len() - 1
        });
        self.items[slot] = Some(item);
        self.counter += 1;
        self.queue.push(Reverse((at_ms, self.counter, slot)));
    }

    /// Gives every node the records of all others, as after a long quiet time.
    pub fn introduce_all(&mut self) {
        let records: Vec<MemberRecord> =
            self.nodes.iter().map(|n| n.core.own_record().clone()).collect();
        for at in 0..self.nodes.len() {
            self.step(at, MembershipEvent::FullState(records.clone()));
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        self.nodes[node].backlog.clear();
    }

    /// Starts a new instance at the address of an old one.
    pub fn restart(&mut self, node: usize) {
        let (data_centre, life) = (self.nodes[node].data_centre, self.nodes[node].life + 1);
        self.nodes[node] = self.new_node(node, data_centre, life);
        self.start_ticks(node);
    }

    pub fn pause(&mut self, node: usize, for_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + for_ms;
    }

    pub fn set_state(&mut self, node: usize, state: BackendState, revision: u64) {
        if self.nodes[node].is_up {
            let service = self.nodes[node].core.own_record().service.clone();
            self.step(node, MembershipEvent::LocalChange { service, state, revision });
        }
    }

    pub fn leave(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.step(node, MembershipEvent::Leave);
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse((at_ms, _, slot))) = self.queue.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.free.push(slot);
            self.now_ms = at_ms;
            match self.items[slot].take().expect("a queued slot is filled") {
                Item::Tick { node, life } => self.tick(node, life),
                Item::Deliver { from, to, datagram } => self.deliver(from, to, datagram),
                Item::FullState { node, life, records } => {
                    if self.nodes[node].is_up && self.nodes[node].life == life {
                        self.step(node, MembershipEvent::FullState(records));
                    }
                }
            }
        }
        self.now_ms = end_ms;
    }

    fn tick(&mut self, node: usize, life: u32) {
        if !self.nodes[node].is_up || self.nodes[node].life != life {
            return;
        }
        let until_ms = self.nodes[node].paused_until_ms;
        if until_ms > self.now_ms {
            self.push(until_ms, Item::Tick { node, life });
            return;
        }
        self.push(self.now_ms + self.settings.tick_ms, Item::Tick { node, life });
        // After a pause, either the timer or the socket is served first.
        let backlog = std::mem::take(&mut self.nodes[node].backlog);
        let is_tick_first = !backlog.is_empty() && self.rng.random();
        if is_tick_first {
            self.step(node, MembershipEvent::Tick);
        }
        for (from, datagram) in backlog {
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
        } else if node.is_up && node.backlog.len() < SOCKET_BUFFER {
            node.backlog.push((from, datagram));
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let side = |node: usize| self.network.cut.contains(&self.nodes[node].data_centre);
        let blocked = &self.network.blocked;
        side(a) != side(b) || blocked.contains(&(a, b)) || blocked.contains(&(b, a))
    }

    /// Steps one node and sends its messages.
    pub fn step(&mut self, at: usize, event: MembershipEvent) {
        let now_ms = self.now_ms;
        let started = Instant::now();
        let actions = self.nodes[at].core.step(event, now_ms);
        self.core_time += started.elapsed();
        for action in &actions {
            match action {
                MembershipAction::Send(to, datagram) => {
                    if let Some(on_send) = &mut self.on_send {
                        on_send(now_ms, at, datagram);
                    }
                    self.transmit(at, *to, datagram);
                }
                MembershipAction::RequestFullState(peer) => {
                    let peer = node_at(*peer);
                    if self.nodes[peer].is_up && !self.is_cut(at, peer) {
                        let records = self.nodes[peer].core.reachable_members();
                        let life = self.nodes[at].life;
                        self.exchanged_records += records.len() as u64;
                        self.push(now_ms + 20, Item::FullState { node: at, life, records });
                    }
                }
                MembershipAction::Changed(members) => {
                    if self.is_checked {
                        self.check_changes(at, members);
                    }
                }
            }
        }
        let revision = self.nodes[at].core.highest_known_revision();
        if revision < self.nodes[at].last_revision {
            self.faults.push(format!("{now_ms}: the known revision of node {at} went down"));
        }
        self.nodes[at].last_revision = revision;
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: &Datagram) {
        let to = node_at(to);
        if to >= self.nodes.len() || self.is_cut(from, to) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let (min_ms, max_ms) = self.network.delay_ms;
            let delay_ms = self.rng.random_range(min_ms..=max_ms);
            let slow_ms = self.nodes[from].slow_ms + self.nodes[to].slow_ms;
            let datagram = datagram.clone();
            let item = Item::Deliver { from: address_of(from), to, datagram };
            self.push(self.now_ms + delay_ms + slow_ms, item);
        }
    }

    /// A record never goes back, and an instance that is gone for good never returns.
    fn check_changes(&mut self, at: usize, members: &[tarragon_membership::Member]) {
        let observer = self.nodes[at].instance;
        for member in members {
            let record = &member.record;
            let key = (observer, record.instance);
            let news = (record.version, record.revision);
            let old = self.seen.insert(key, news).unwrap_or_default();
            if news.0 < old.0 || news.1 < old.1 {
                self.faults.push(format!("{}: node {at} went back: {record:?}", self.now_ms));
            }
            if member.status == MemberStatus::Left {
                self.gone.insert(key, member.status);
            } else if self.gone.contains_key(&key) {
                self.faults.push(format!("{}: node {at} revived {record:?}", self.now_ms));
            }
        }
    }

    /// Live nodes.
    pub fn live(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_up)
    }

    /// What is wrong if all live nodes must agree on the members, their state and the revision.
    pub fn disagreements(&self) -> Vec<String> {
        let present: Vec<&MemberRecord> = self.live().map(|(_, n)| n.core.own_record()).collect();
        let highest = present.iter().map(|r| r.revision).max().unwrap_or_default();
        let mut found = Vec::new();
        for (at, node) in self.live() {
            let members = node.core.reachable_members();
            for record in &present {
                let known = members.iter().find(|m| m.instance == record.instance);
                let is_right = known.is_some_and(|known| {
                    known.state == record.state && known.version == record.version
                });
                if !is_right {
                    let status = node.core.status_of(record.instance);
                    found.push(format!("{at} sees {} {:?} {:?}", record.node, status, known));
                }
            }
            for member in &members {
                if present.iter().all(|record| record.instance != member.instance) {
                    found.push(format!("{at} still lists {}", member.node));
                }
            }
            if node.core.highest_known_revision() < highest {
                found.push(format!("{at} does not know revision {highest}"));
            }
        }
        found
    }
}
