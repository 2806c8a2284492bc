use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Addresses of the listeners of a node.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    pub caller: SocketAddr,
    pub exit: SocketAddr,
    pub peer: SocketAddr,
    pub gossip: SocketAddr,
    pub control: SocketAddr,
    pub replica: SocketAddr,
}

/// Returns a loopback address that no other node of this test process uses.
///
/// Outgoing connections use 127.0.0.1, so that none of them can occupy a port that a restarted node
/// needs again.
fn next_loopback_ip() -> IpAddr {
    static NEXT_NODE: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT_NODE.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process_octet = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(127, process_octet, high, low))
}

impl NodeAddresses {
    /// Picks free ports. All of them stay bound until the last one is found, so that they differ.
    pub fn reserve() -> Self {
        let ip = next_loopback_ip();
        let listeners = [(); 5].map(|()| TcpListener::bind((ip, 0)).unwrap());
        let gossip_socket = UdpSocket::bind((ip, 0)).unwrap();
        let [caller, exit, peer, control, replica] =
            listeners.each_ref().map(|listener| listener.local_addr().unwrap());
        Self { caller, exit, peer, gossip: gossip_socket.local_addr().unwrap(), control, replica }
    }
}
