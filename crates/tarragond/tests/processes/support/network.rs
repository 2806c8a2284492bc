use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::support::addresses::Addresses;
use crate::support::until;
use crate::support::Cluster;

/// Largest datagram that is relayed.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// By how much a piece of a delayed stream arrives late.
const LINK_DELAY: Duration = Duration::from_millis(100);

/// Resets that a connection may lag behind.
const MAX_RESETS: usize = 16;

/// Relays between nodes, which can silently cut some nodes off from the others.
///
/// While nodes are cut off, datagrams between the two sides are dropped. Connections stay open and
/// new ones seem to succeed, but carry nothing; what was sent on them arrives late, after healing,
/// as TCP's own repetitions would.
pub struct Network {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// What is wrong with the links of nodes.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    /// Nodes that are cut off from all others, but not from each other.
    pub cut_off: HashSet<String>,
    /// Nodes of which nothing arrives, though they hear the others.
    pub unheard: HashSet<String>,
    /// Nodes whose streams arrive late.
    pub delayed: HashSet<String>,
}

impl LinkFaults {
    fn is_open(&self, from: &str, to: &str) -> bool {
        self.cut_off.contains(from) == self.cut_off.contains(to) && !self.unheard.contains(from)
    }
}

struct Shared {
    faults: watch::Sender<LinkFaults>,
    /// Node whose connections are reset, each time that one is sent.
    resets: broadcast::Sender<String>,
    pids: Mutex<HashMap<String, u32>>,
    /// Relay socket of each node by the node's own address; a datagram leaves from the socket of
    /// its sender, so that an answer takes the way back through the relays.
    gossip: HashMap<SocketAddr, (String, UdpSocket)>,
}

impl Network {
    /// Starts relays from the first addresses of each node to the second ones.
    ///
    /// A process that another test starts meanwhile holds the reserved ports until its `exec`, so
    /// that binding may fail at first.
    pub async fn start(routes: Vec<(&str, Addresses, Addresses)>) -> Self {
        let mut gossip = HashMap::new();
        for (name, told, at) in &routes {
            let bound = async || UdpSocket::bind(told.gossip).await.ok();
            let socket = until("the relay of datagrams is bound", bound).await;
            gossip.insert(at.gossip, (name.to_string(), socket));
        }
        let (faults, pids) = (watch::Sender::default(), Mutex::default());
        let resets = broadcast::Sender::new(MAX_RESETS);
        let shared = Arc::new(Shared { faults, resets, pids, gossip });
        let mut tasks = JoinSet::new();
        for (name, told, at) in routes {
            tasks.spawn(relay_datagrams(Arc::clone(&shared), at.gossip));
            let streams =
                [(told.peer, at.peer), (told.control, at.control), (told.replica, at.replica)];
            for (from, to) in streams {
                let bound = async || TcpListener::bind(from).await.ok();
                let listener = until("the relay of streams is bound", bound).await;
                tasks.spawn(relay_streams(Arc::clone(&shared), listener, name.into(), to));
            }
        }
        Self { shared, _tasks: tasks }
    }

    /// Cuts nodes off from all others.
    pub fn cut_off(&self, names: &[&str]) {
        let cut_off = names.iter().map(ToString::to_string).collect();
        self.set_faults(LinkFaults { cut_off, ..LinkFaults::default() });
    }

    /// Replaces what is wrong with the links.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Lets everything through again.
    pub fn heal(&self) {
        self.set_faults(LinkFaults::default());
    }

    /// Resets the connections between a node and all others.
    pub fn reset(&self, name: &str) {
        // Without open connections nobody listens.
        let _ = self.shared.resets.send(name.into());
    }

    /// Learns the processes of the nodes, by which the senders of streams are told apart.
    pub fn learn(&self, cluster: &Cluster) {
        let pids = cluster.running().map(|node| (node.name.clone(), node.pid()));
        *self.shared.pids.lock().unwrap() = pids.collect();
    }
}

impl Shared {
    async fn until_open(&self, from: &str, to: &str) {
        let mut faults = self.faults.subscribe();
        let is_delayed = {
            let opened = faults.wait_for(|faults| faults.is_open(from, to)).await;
            let faults = opened.expect("the sender is kept");
            faults.delayed.contains(from) || faults.delayed.contains(to)
        };
        if is_delayed {
            tokio::time::sleep(LINK_DELAY).await;
        }
    }

    /// Node whose process opened the connection between two addresses. All connections come from
    /// the same IP address, so only the operating system knows it.
    fn sender(&self, from: SocketAddr, to: SocketAddr) -> Option<String> {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let (from, to) = (table_address(from), table_address(to));
        let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let inode = line
            .filter(|fields| fields.len() > 9)
            .find(|fields| fields[1] == from && fields[2] == to)
            .map(|fields| format!("socket:[{}]", fields[9]))?;
        let pids = self.pids.lock().unwrap();
        pids.iter().find(|(_, pid)| holds(**pid, &inode)).map(|(name, _)| name.clone())
    }
}

/// An address as the connection table of Linux writes it.
fn table_address(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { panic!("the relays use IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
}

fn holds(pid: u32, socket: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let mut targets = files.flatten().flat_map(|file| std::fs::read_link(file.path()));
    targets.any(|target| target.to_str() == Some(socket))
}

async fn relay_datagrams(shared: Arc<Shared>, to: SocketAddr) {
    let (name, socket) = &shared.gossip[&to];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Some((sender, out)) = shared.gossip.get(&from) else { continue };
        let is_open = shared.faults.borrow().is_open(sender, name);
        if is_open {
            let _ = out.send_to(&buffer[..length], to).await;
        }
    }
}

async fn relay_streams(shared: Arc<Shared>, listener: TcpListener, name: String, to: SocketAddr) {
    let mut streams = JoinSet::new();
    let own = listener.local_addr().unwrap();
    while let Ok((stream, from)) = listener.accept().await {
        // A process that is gone, or has closed the connection already, has no use for it.
        let Some(sender) = shared.sender(from, own) else { continue };
        streams.spawn(relay_stream(Arc::clone(&shared), stream, (sender, name.clone()), to));
    }
}

async fn relay_stream(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    (sender, receiver): (String, String),
    to: SocketAddr,
) {
    shared.until_open(&sender, &receiver).await;
    let Ok(mut target) = TcpStream::connect(to).await else { return };
    let mut resets = shared.resets.subscribe();
    let reset = async {
        loop {
            match resets.recv().await {
                Ok(name) if name != sender && name != receiver => {}
                _ => return,
            }
        }
    };
    let both = async {
        let (stream_in, stream_out) = stream.split();
        let (target_in, target_out) = target.split();
        tokio::join!(
            pump(&shared, (&sender, stream_in), (&receiver, target_out)),
            pump(&shared, (&receiver, target_in), (&sender, stream_out)),
        )
    };
    tokio::select! {
        _ = both => {}
        () = reset => {
            // Without lingering, closing a socket resets its connection.
            let _ = stream.set_zero_linger();
            let _ = target.set_zero_linger();
        }
    }
}

/// Carries one direction of a stream; it pauses while the two nodes are cut off from each other.
async fn pump(shared: &Shared, from: (&str, ReadHalf<'_>), to: (&str, WriteHalf<'_>)) {
    let ((sender, mut input), (receiver, mut output)) = (from, to);
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = input.read(&mut buffer).await {
        shared.until_open(sender, receiver).await;
        if length == 0 || output.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = output.shutdown().await;
}
