use serde::Deserialize;
use serde::Serialize;
use tarragon_model::identity::InstanceId;

/// Start of every datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Instance of the sender.
    pub instance: InstanceId,
    /// Catalogue revision that the sender has reached.
    pub revision: u64,
    /// Highest catalogue revision that the sender knows of.
    pub highest_revision: u64,
    /// Hash over the instances and versions of all members that the sender can reach. Nodes whose
    /// hashes differ for long have missed updates and make a full exchange.
    pub digest: u32,
}
