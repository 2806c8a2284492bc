use serde::Deserialize;
use serde::Serialize;

use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;

/// Bytes left for updates in a datagram of 1,200 bytes: 18 bytes are the envelope, at most 35 the
/// header, 36 the body and 3 the number of updates.
pub(crate) const UPDATES_BUDGET_BYTES: usize = 1_100;

/// One membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender and the revisions it knows.
    pub header: DatagramHeader,
    /// Purpose of the datagram.
    pub body: DatagramBody,
    /// Piggybacked news about members.
    pub updates: Vec<MemberUpdate>,
}
