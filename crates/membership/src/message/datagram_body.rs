use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::identity::InstanceId;

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Asks for an `Ack`.
    Ping {
        /// Number that the answer repeats.
        sequence: u32,
        /// Instance that the sender means. A restarted node answers for its earlier instance.
        target: InstanceId,
    },
    /// Asks the receiver to ping another member.
    PingRequest {
        /// Number that the answer repeats.
        sequence: u32,
        /// Member to ping.
        target: InstanceId,
        /// Its gossip address.
        address: SocketAddr,
    },
    /// Answers a `Ping` or a `PingRequest`.
    Ack {
        /// Number of the question.
        sequence: u32,
        /// Instance that answered the ping; it differs from the sender in a relayed answer.
        responder: InstanceId,
    },
    /// Answers a `PingRequest` whose target has not answered yet (Lifeguard): the path between the
    /// two nodes works.
    Nack {
        /// Number of the question.
        sequence: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Asks for a page of member records.
    Pull {
        /// Number that the page repeats.
        sequence: u32,
        /// Records of instances above this value; zero for the first page.
        after: u64,
    },
    /// A page of member records, in order of instance.
    Page {
        /// Number of the question.
        sequence: u32,
        /// Value of `after` for the next page; none if this is the last one.
        next: Option<u64>,
    },
}
