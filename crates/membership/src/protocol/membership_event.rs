use std::net::SocketAddr;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::Datagram;

/// Input of the membership state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// Timer tick; expected every `tick_ms`.
    Tick,
    /// An authenticated datagram arrived.
    Receive(SocketAddr, Datagram),
    /// The service, state or catalogue revision of this node changed.
    LocalChange {
        /// Service of the local backend server.
        service: String,
        /// State of the local backend server.
        state: BackendState,
        /// Catalogue revision that this node has reached; lower values are ignored.
        revision: u64,
    },
    /// Gossip addresses of nodes that this node is to stay in contact with, as it knows them from
    /// earlier. They replace the ones of the last such event.
    SetKnownPeers(Vec<SocketAddr>),
    /// Records of the members that are reachable from another node, the result of a full exchange.
    FullState(Vec<MemberRecord>),
    /// This node leaves the cluster and does not return as this instance.
    Leave,
}
