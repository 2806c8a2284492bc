use std::net::SocketAddr;

use crate::message::Datagram;
use crate::protocol::Member;

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram to a gossip address.
    Send(SocketAddr, Datagram),
    /// Fetch the records of all members from a peer address; the answer is `MembershipEvent::FullState`.
    RequestFullState(SocketAddr),
    /// These members changed.
    Changed(Vec<Member>),
}
