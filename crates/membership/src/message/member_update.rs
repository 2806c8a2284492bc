use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::record_codec;

/// Version of a death that its instance cannot refute, because a newer instance has its address.
pub const FINAL_VERSION: u32 = u32::MAX;

/// Longest text in a record; longer ones would not leave room for a second record in a datagram.
pub(super) const MAX_TEXT_BYTES: usize = 64;

/// Bytes of a 64-bit integer in postcard.
const INTEGER_BYTES: usize = 10;

/// News about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// The member is alive; the whole record.
    Full(#[serde(with = "record_codec")] Box<MemberRecord>),
    /// The member is alive; only what changes often. It is a quarter of the size of a whole record,
    /// which bounds the traffic when a partition heals.
    Brief {
        /// The member.
        instance: InstanceId,
        /// Version of its record.
        version: u32,
        /// State of its backend server.
        state: BackendState,
        /// Catalogue revision that it has reached.
        revision: u64,
        /// Hash of its service name. A receiver that knows another name ignores the update and
        /// waits for the whole record.
        service_tag: u16,
    },
    /// The member did not answer a probe.
    Suspect {
        /// The member.
        instance: InstanceId,
        /// Version that is suspected.
        version: u32,
        /// Low bits of the accuser's instance, to count independent accusations.
        accuser: u16,
    },
    /// The member did not refute a suspicion and most of its data centre did not either.
    Unreachable {
        /// The member.
        instance: InstanceId,
        /// Version that is unreachable.
        version: u32,
    },
    /// The member did not refute a suspicion, or was replaced (`FINAL_VERSION`).
    Dead {
        /// The member.
        instance: InstanceId,
        /// Version that is dead.
        version: u32,
    },
    /// The member left by itself.
    Left {
        /// The member.
        instance: InstanceId,
    },
    /// The member has reached a catalogue revision; its record is unchanged otherwise.
    Revision {
        /// The member.
        instance: InstanceId,
        /// The revision.
        revision: u64,
    },
    /// The sender has no record of the receiver.
    Unknown {
        /// Instance of the receiver.
        instance: InstanceId,
    },
}

/// Hash of a service name (FNV-1a folded to 16 bits).
pub(crate) fn service_tag(service: &str) -> u16 {
    let hash = service
        .bytes()
        .fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
    (hash >> 16) as u16 ^ hash as u16
}

fn address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() {
        8
    } else {
        20
    }
}

impl MemberUpdate {
    /// Short form of an alive record.
    pub fn brief(record: &MemberRecord) -> Self {
        Self::Brief {
            instance: record.instance,
            version: record.version,
            state: record.state,
            revision: record.revision,
            service_tag: service_tag(&record.service),
        }
    }

    /// The member that the update is about.
    pub fn instance(&self) -> InstanceId {
        match self {
            Self::Full(record) => record.instance,
            Self::Brief { instance, .. }
            | Self::Suspect { instance, .. }
            | Self::Unreachable { instance, .. }
            | Self::Dead { instance, .. }
            | Self::Revision { instance, .. }
            | Self::Left { instance }
            | Self::Unknown { instance } => *instance,
        }
    }

    /// Upper bound of the encoded size.
    pub fn max_size_bytes(&self) -> usize {
        match self {
            Self::Full(record) => {
                let texts = [&record.node, &record.data_centre, &record.region, &record.service];
                let text_bytes: usize = texts.iter().map(|text| text.len() + 1).sum();
                let addresses = address_bytes(&record.gossip_address)
                    + address_bytes(&record.peer_address)
                    + address_bytes(&record.control_address)
                    + 1
                    + record.replica_address.as_ref().map_or(0, address_bytes);
                text_bytes + addresses + 2 * INTEGER_BYTES + 7
            }
            Self::Brief { .. } => 2 * INTEGER_BYTES + 10,
            Self::Suspect { .. } => INTEGER_BYTES + 9,
            Self::Unreachable { .. } | Self::Dead { .. } => INTEGER_BYTES + 6,
            Self::Revision { .. } => 2 * INTEGER_BYTES + 1,
            Self::Left { .. } | Self::Unknown { .. } => INTEGER_BYTES + 1,
        }
    }
}

/// Whether the texts of a record are short enough to be passed on in a datagram.
pub(crate) fn is_bounded(record: &MemberRecord) -> bool {
    [&record.node, &record.data_centre, &record.region, &record.service]
        .iter()
        .all(|text| text.len() <= MAX_TEXT_BYTES)
}
