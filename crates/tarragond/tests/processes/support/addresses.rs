use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub exit: SocketAddr,
    pub peer: SocketAddr,
    pub gossip: SocketAddr,
    pub control: SocketAddr,
    pub replica: SocketAddr,
}

/// A loopback address that no other node of this test process has.
///
/// Outgoing connections use 127.0.0.1, so that none of them can take a port that a restarted node
/// needs again.
fn own_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let test_process = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(127, test_process, high, low))
}

impl Addresses {
    /// Finds free ports, all held until the last one is found.
    pub fn reserve() -> Self {
        let ip = own_ip();
        let streams = [(); 5].map(|()| TcpListener::bind((ip, 0)).unwrap());
        let gossip = UdpSocket::bind((ip, 0)).unwrap();
        let [caller, exit, peer, control, replica] =
            streams.each_ref().map(|listener| listener.local_addr().unwrap());
        Self { caller, exit, peer, gossip: gossip.local_addr().unwrap(), control, replica }
    }
}
