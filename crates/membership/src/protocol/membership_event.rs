use std::net::SocketAddr;

use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::Datagram;

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; expected every `tick_ms`.
    Tick,
    /// An authenticated datagram arrived.
    Receive(SocketAddr, Datagram),
    /// The own node changed.
    LocalChange {
        /// Service of the own backend server.
        service: String,
        /// State of the own backend server.
        state: BackendState,
        /// Catalogue revision that the own node has reached; it never goes down.
        revision: u64,
    },
    /// Records of the reachable members as another node sees them.
    FullState(Vec<MemberRecord>),
    /// The own node stops for good.
    Leave,
}
