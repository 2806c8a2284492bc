use std::net::SocketAddr;

use crate::message::Datagram;
use crate::protocol::Member;

/// Output of the membership state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram to a gossip address.
    Send(SocketAddr, Datagram),
    /// Fetch the records of all members from a peer address and pass them to the state machine as
    /// `MembershipEvent::FullState`.
    RequestFullState(SocketAddr),
    /// The records or statuses of these members changed.
    Changed(Vec<Member>),
}
