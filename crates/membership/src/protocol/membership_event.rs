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
    /// The service, state or catalogue revision of the own node changed.
    LocalChange {
        /// Service of the own backend server.
        service: String,
        /// State of the own backend server.
        state: BackendState,
        /// Catalogue revision that the own node has reached; lower values are ignored.
        revision: u64,
    },
    /// Records of the members that are reachable from another node, the result of a full exchange.
    FullState(Vec<MemberRecord>),
    /// The own node leaves the cluster and does not return as this instance.
    Leave,
}
