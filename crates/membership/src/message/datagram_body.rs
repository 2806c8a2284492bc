use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::identity::InstanceId;

/// Message type of a datagram and its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Probe; the receiver answers with an `Ack`.
    Ping {
        /// Sequence number, repeated in the answer.
        sequence: u32,
        /// Instance that the sender probes. A restarted node also answers probes of its earlier
        /// instance.
        target: InstanceId,
    },
    /// Requests a ping of another member from the receiver.
    PingRequest {
        /// Sequence number, repeated in the answer.
        sequence: u32,
        /// Member to ping.
        target: InstanceId,
        /// Gossip address of the target.
        address: SocketAddr,
    },
    /// Answers a `Ping` or a `PingRequest`.
    Ack {
        /// Sequence number of the request.
        sequence: u32,
        /// Instance that answered the ping; not the sender if the answer was relayed.
        responder: InstanceId,
    },
    /// Answers a `PingRequest` whose target has not answered yet (Lifeguard). It shows the
    /// requester that its path to the relaying node works.
    Nack {
        /// Sequence number of the request.
        sequence: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Requests a page of member records.
    Pull {
        /// Sequence number, repeated in the page.
        sequence: u32,
        /// The page starts with the first instance above this value; zero for the first page.
        after: u64,
    },
    /// Answers a `Pull` with a page of member records, in order of instance.
    Page {
        /// Sequence number of the request.
        sequence: u32,
        /// Value of `after` for the next page; none on the last page.
        next: Option<u64>,
    },
}
