use std::fmt;

use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use tarragon_model::identity::InstanceId;

const FIELD_COUNT: usize = 4;

/// Header of every membership datagram.
///
/// The Serde visitor is written by hand because every datagram contains a header: it reads a tuple,
/// without the field names and the map form that the derived visitor supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatagramHeader {
    /// Instance of the sender.
    pub instance: InstanceId,
    /// Catalogue revision that the sender has reached.
    pub revision: u64,
    /// Highest catalogue revision that any member is known to have reached.
    pub highest_revision: u64,
    /// Hash over the instances and versions of the members that are reachable for the sender,
    /// itself included. Nodes whose hashes differ for longer than `repair_after_ms` start a full
    /// exchange, because they have probably missed updates.
    pub digest: u32,
}

impl Serialize for DatagramHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.instance.0)?;
        tuple.serialize_element(&self.revision)?;
        tuple.serialize_element(&self.highest_revision)?;
        tuple.serialize_element(&self.digest)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for DatagramHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, HeaderVisitor)
    }
}

struct HeaderVisitor;

impl<'de> Visitor<'de> for HeaderVisitor {
    type Value = DatagramHeader;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a datagram header")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<DatagramHeader, A::Error> {
        let missing_field = |index| A::Error::invalid_length(index, &"a datagram header");
        Ok(DatagramHeader {
            instance: InstanceId(fields.next_element()?.ok_or_else(|| missing_field(0))?),
            revision: fields.next_element()?.ok_or_else(|| missing_field(1))?,
            highest_revision: fields.next_element()?.ok_or_else(|| missing_field(2))?,
            digest: fields.next_element()?.ok_or_else(|| missing_field(3))?,
        })
    }
}
