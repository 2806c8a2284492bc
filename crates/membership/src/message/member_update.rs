use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::record_codec;

/// Version of a `Dead` update that cannot be refuted, because a newer instance uses the address.
pub const FINAL_VERSION: u32 = u32::MAX;

/// Maximum length of a text in a record, in bytes; with longer texts, a datagram could not hold a
/// second record.
pub(super) const MAX_TEXT_BYTES: usize = 64;

/// Maximum length of a 64-bit integer in postcard, in bytes.
const MAX_VARINT_BYTES: usize = 10;

/// Update about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// The member is alive; full record.
    Full(#[serde(with = "record_codec")] Box<MemberRecord>),
    /// The member is alive; only the fields that change often. This is a quarter of the size of a
    /// full record, which bounds the traffic after a partition has healed.
    Brief {
        /// The member.
        instance: InstanceId,
        /// Version of its record.
        version: u32,
        /// State of its backend server.
        state: BackendState,
        /// Catalogue revision that it has reached.
        revision: u64,
        /// Hash of its service name. A receiver whose record has another name ignores the update
        /// and waits for the full record.
        service_tag: u16,
    },
    /// The member is suspected because it did not answer a probe.
    Suspect {
        /// The member.
        instance: InstanceId,
        /// Version of the member to which the suspicion applies.
        version: u32,
        /// Low bits of the instance of the suspecting member, to count independent confirmations.
        accuser: u16,
    },
    /// The member did not refute a suspicion while most members of its data centre were suspected
    /// or failed.
    Unreachable {
        /// The member.
        instance: InstanceId,
        /// Version of the member to which the status applies.
        version: u32,
    },
    /// The member did not refute a suspicion, or was replaced (`FINAL_VERSION`).
    Dead {
        /// The member.
        instance: InstanceId,
        /// Version of the member to which the status applies.
        version: u32,
    },
    /// The member left the cluster voluntarily.
    Left {
        /// The member.
        instance: InstanceId,
    },
    /// The member has reached a catalogue revision; the rest of its record is unchanged.
    Revision {
        /// The member.
        instance: InstanceId,
        /// The revision.
        revision: u64,
    },
    /// The sender has no record of the receiver and requests it.
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

fn max_address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() {
        8
    } else {
        20
    }
}

impl MemberUpdate {
    /// Creates the brief update for a record of a member that is alive.
    pub fn brief(record: &MemberRecord) -> Self {
        Self::Brief {
            instance: record.instance,
            version: record.version,
            state: record.state,
            revision: record.revision,
            service_tag: service_tag(&record.service),
        }
    }

    /// Instance of the member that the update describes.
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

    /// Upper bound of the encoded size in bytes.
    pub fn max_size_bytes(&self) -> usize {
        match self {
            Self::Full(record) => {
                let texts = [&record.node, &record.data_centre, &record.region, &record.service];
                let text_bytes: usize = texts.iter().map(|text| text.len() + 1).sum();
                let addresses = max_address_bytes(&record.gossip_address)
                    + max_address_bytes(&record.peer_address)
                    + max_address_bytes(&record.control_address)
                    + 1
                    + record.replica_address.as_ref().map_or(0, max_address_bytes);
                text_bytes + addresses + 2 * MAX_VARINT_BYTES + 7
            }
            Self::Brief { .. } => 2 * MAX_VARINT_BYTES + 10,
            Self::Suspect { .. } => MAX_VARINT_BYTES + 9,
            Self::Unreachable { .. } | Self::Dead { .. } => MAX_VARINT_BYTES + 6,
            Self::Revision { .. } => 2 * MAX_VARINT_BYTES + 1,
            Self::Left { .. } | Self::Unknown { .. } => MAX_VARINT_BYTES + 1,
        }
    }
}

/// Whether all texts of a record are within `MAX_TEXT_BYTES`.
pub(crate) fn has_bounded_texts(record: &MemberRecord) -> bool {
    [&record.node, &record.data_centre, &record.region, &record.service]
        .iter()
        .all(|text| text.len() <= MAX_TEXT_BYTES)
}
