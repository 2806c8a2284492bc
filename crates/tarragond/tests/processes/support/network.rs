use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use socket2::SockFilter;
use socket2::SockRef;
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

use crate::support::addresses::NodeAddresses;
use crate::support::wait_until;
use crate::support::Cluster;

/// Size of the receive buffer for datagrams, in bytes; a longer datagram is truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Delay of each chunk of a delayed stream.
const STREAM_DELAY: Duration = Duration::from_millis(100);

/// Capacity of the channel of connection faults.
const FAULT_CHANNEL_CAPACITY: usize = 16;

/// Instruction of a packet filter that returns the number of bytes to keep.
const RETURN_CONSTANT: u16 = 0x06;

/// Relays between nodes, which can partition the network and inject other link faults.
///
/// In a partition, datagrams between the two sides are dropped. Connections stay open and new ones
/// are accepted, but transfer no data; what was sent on them is delivered after healing, as by TCP
/// retransmission.
pub struct RelayNetwork {
    shared: Arc<NetworkState>,
    _tasks: JoinSet<()>,
}

/// Faults of the links between nodes, by node name.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    /// Nodes that are partitioned from all others, but not from each other.
    pub isolated: HashSet<String>,
    /// Nodes whose messages are not delivered, although they receive those of others.
    pub muted: HashSet<String>,
    /// Nodes from and to which streams are delayed.
    pub delayed: HashSet<String>,
}

impl LinkFaults {
    fn is_open(&self, from: &str, to: &str) -> bool {
        self.isolated.contains(from) == self.isolated.contains(to) && !self.muted.contains(from)
    }
}

/// Fault of the open connections of a node; new ones work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionFault {
    Reset,
    /// Nothing is delivered or acknowledged any more, as if a middlebox had forgotten the connection.
    Silence,
}

struct NetworkState {
    faults: watch::Sender<LinkFaults>,
    /// Nodes whose connections get a fault.
    connection_faults: broadcast::Sender<(String, ConnectionFault)>,
    pids: Mutex<HashMap<String, u32>>,
    /// Name and relay socket of each node by its listen address. A datagram is forwarded from the
    /// relay socket of its sender, so that responses also pass through the relays.
    gossip_relays: HashMap<SocketAddr, (String, UdpSocket)>,
}

impl RelayNetwork {
    /// Starts relays from the advertised addresses of each node to its listen addresses; a route is
    /// a node name with both.
    ///
    /// Binding is retried: a process that another test forks meanwhile inherits the sockets of the
    /// reserved ports until its `exec`.
    pub async fn start(routes: Vec<(&str, NodeAddresses, NodeAddresses)>) -> Self {
        let mut gossip_relays = HashMap::new();
        for (name, advertised, listen) in &routes {
            let bind_socket = async || UdpSocket::bind(advertised.gossip).await.ok();
            let socket = wait_until("the datagram relay is bound", bind_socket).await;
            gossip_relays.insert(listen.gossip, (name.to_string(), socket));
        }
        let (faults, pids) = (watch::Sender::default(), Mutex::default());
        let connection_faults = broadcast::Sender::new(FAULT_CHANNEL_CAPACITY);
        let shared = Arc::new(NetworkState { faults, connection_faults, pids, gossip_relays });
        let mut tasks = JoinSet::new();
        for (name, advertised, listen) in routes {
            tasks.spawn(relay_datagrams(Arc::clone(&shared), listen.gossip));
            let streams = [
                (advertised.peer, listen.peer),
                (advertised.control, listen.control),
                (advertised.replica, listen.replica),
            ];
            for (from, to) in streams {
                let bind_listener = async || TcpListener::bind(from).await.ok();
                let listener = wait_until("the stream relay is bound", bind_listener).await;
                tasks.spawn(relay_streams(Arc::clone(&shared), listener, name.into(), to));
            }
        }
        Self { shared, _tasks: tasks }
    }

    /// Partitions nodes from all others.
    pub fn isolate(&self, names: &[&str]) {
        let isolated = names.iter().map(ToString::to_string).collect();
        self.set_faults(LinkFaults { isolated, ..LinkFaults::default() });
    }

    /// Replaces the faults of all links.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.set_faults(LinkFaults::default());
    }

    /// Resets the connections between a node and all others.
    pub fn reset_connections(&self, name: &str) {
        // Sending fails if no connection is open.
        let _ = self.shared.connection_faults.send((name.into(), ConnectionFault::Reset));
    }

    /// Silences the connections between a node and all others for good.
    pub fn silence_connections(&self, name: &str) {
        // Sending fails if no connection is open.
        let _ = self.shared.connection_faults.send((name.into(), ConnectionFault::Silence));
    }

    /// Updates the process ids of the running nodes, by which the opener of a connection is found.
    pub fn update_process_ids(&self, cluster: &Cluster) {
        let pids = cluster.running_nodes().map(|node| (node.name.clone(), node.pid()));
        *self.shared.pids.lock().unwrap() = pids.collect();
    }
}

impl NetworkState {
    async fn wait_until_open(&self, from: &str, to: &str) {
        let mut faults = self.faults.subscribe();
        let is_delayed = {
            let open_link = faults.wait_for(|faults| faults.is_open(from, to)).await;
            let faults = open_link.expect("the sender exists as long as the shared state");
            faults.delayed.contains(from) || faults.delayed.contains(to)
        };
        if is_delayed {
            tokio::time::sleep(STREAM_DELAY).await;
        }
    }

    /// Returns the node whose process opened the connection between two addresses. All connections
    /// have the same source IP address, so the process is looked up in `/proc`.
    fn find_sender(&self, from: SocketAddr, to: SocketAddr) -> Option<String> {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let addresses = format!(" {} {} ", format_table_address(from), format_table_address(to));
        let row = table.lines().find(|line| line.contains(&addresses))?;
        let socket = format!("socket:[{}]", row.split_whitespace().nth(9)?);
        let pids = self.pids.lock().unwrap();
        pids.iter().find(|(_, pid)| has_open_file(**pid, &socket)).map(|(name, _)| name.clone())
    }
}

/// Formats an address as in `/proc/net/tcp`.
fn format_table_address(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { panic!("the relays use IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port())
}

fn has_open_file(pid: u32, target: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let mut link_targets = files.flatten().flat_map(|file| std::fs::read_link(file.path()));
    link_targets.any(|link_target| link_target.to_str() == Some(target))
}

async fn relay_datagrams(shared: Arc<NetworkState>, to: SocketAddr) {
    let (name, socket) = &shared.gossip_relays[&to];
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Some((sender, sender_socket)) = shared.gossip_relays.get(&from) else { continue };
        let is_open = shared.faults.borrow().is_open(sender, name);
        if is_open {
            let _ = sender_socket.send_to(&buffer[..length], to).await;
        }
    }
}

async fn relay_streams(
    shared: Arc<NetworkState>,
    listener: TcpListener,
    name: String,
    to: SocketAddr,
) {
    let mut streams = JoinSet::new();
    let relay_address = listener.local_addr().unwrap();
    while let Ok((stream, from)) = listener.accept().await {
        let (shared, name) = (Arc::clone(&shared), name.clone());
        streams.spawn(async move {
            // The table has a row for each connection of the machine. Reading it here would delay all
            // links, as they share this thread.
            let network = Arc::clone(&shared);
            let find_sender = move || network.find_sender(from, relay_address);
            let found = tokio::task::spawn_blocking(find_sender).await;
            // If the process has exited or closed the connection, the connection is dropped.
            let Some(sender) = found.expect("the lookup does not panic") else { return };
            relay_stream(shared, stream, (sender, name), to).await;
        });
    }
}

async fn relay_stream(
    shared: Arc<NetworkState>,
    mut stream: TcpStream,
    (sender, receiver): (String, String),
    to: SocketAddr,
) {
    shared.wait_until_open(&sender, &receiver).await;
    let Ok(mut target) = TcpStream::connect(to).await else { return };
    let mut connection_faults = shared.connection_faults.subscribe();
    let next_fault = async {
        loop {
            match connection_faults.recv().await {
                Ok((name, _)) if name != sender && name != receiver => {}
                Ok((_, fault)) => return fault,
                Err(_) => return ConnectionFault::Reset,
            }
        }
    };
    let relay_both_directions = async {
        let (stream_in, stream_out) = stream.split();
        let (target_in, target_out) = target.split();
        tokio::join!(
            relay_direction(&shared, (&sender, stream_in), (&receiver, target_out)),
            relay_direction(&shared, (&receiver, target_in), (&sender, stream_out)),
        )
    };
    tokio::select! {
        _ = relay_both_directions => {}
        fault = next_fault => match fault {
            ConnectionFault::Reset => {
                // With a linger time of zero, closing the socket resets the connection.
                let _ = stream.set_zero_linger();
                let _ = target.set_zero_linger();
            }
            ConnectionFault::Silence => {
                drop_arrivals(&stream);
                drop_arrivals(&target);
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Drops all packets that arrive on a connection, so that their sender gets no acknowledgement.
fn drop_arrivals(stream: &TcpStream) {
    let drop_all = [SockFilter::new(RETURN_CONSTANT, 0, 0, 0)];
    SockRef::from(stream).attach_filter(&drop_all).expect("the kernel takes the filter");
}

/// Copies one direction of a stream. It pauses while the link between the two nodes is interrupted.
async fn relay_direction(
    shared: &NetworkState,
    from: (&str, ReadHalf<'_>),
    to: (&str, WriteHalf<'_>),
) {
    let ((sender, mut input), (receiver, mut output)) = (from, to);
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = input.read(&mut buffer).await {
        shared.wait_until_open(sender, receiver).await;
        if length == 0 || output.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = output.shutdown().await;
}
