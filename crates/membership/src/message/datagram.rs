use serde::Deserialize;
use serde::Serialize;

use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;

/// Bytes available for updates in a datagram of 1,200 bytes. The envelope takes 18 bytes, the
/// header at most 35, the body at most 36 and the number of updates 3.
pub(crate) const UPDATES_BUDGET_BYTES: usize = 1_100;

/// One membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender, its catalogue revisions and its digest.
    pub header: DatagramHeader,
    /// Message type with its fields.
    pub body: DatagramBody,
    /// Piggybacked updates about members.
    pub updates: Vec<MemberUpdate>,
}
