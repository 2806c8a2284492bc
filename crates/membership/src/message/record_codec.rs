//! Hand-written Serde form of a membership record, equal to the derived one in postcard.
//!
//! Records are most of what membership decodes. Texts are checked against their limit before they
//! are copied, so a record that could not be passed on is refused as malformed.

use std::fmt;

use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;

use crate::message::member_update::MAX_TEXT_BYTES;

const FIELDS: usize = 12;

#[allow(clippy::borrowed_box, reason = "the signature is given by serde's `with` attribute")]
pub(super) fn serialize<S: Serializer>(
    record: &Box<MemberRecord>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut tuple = serializer.serialize_tuple(FIELDS)?;
    tuple.serialize_element(&record.node)?;
    tuple.serialize_element(&record.instance.0)?;
    tuple.serialize_element(&record.data_centre)?;
    tuple.serialize_element(&record.region)?;
    tuple.serialize_element(&record.gossip_address)?;
    tuple.serialize_element(&record.peer_address)?;
    tuple.serialize_element(&record.control_address)?;
    tuple.serialize_element(&record.replica_address)?;
    tuple.serialize_element(&record.service)?;
    tuple.serialize_element(&record.state)?;
    tuple.serialize_element(&record.version)?;
    tuple.serialize_element(&record.revision)?;
    tuple.end()
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Box<MemberRecord>, D::Error> {
    deserializer.deserialize_tuple(FIELDS, RecordVisitor)
}

/// Text of a bounded length.
struct Text(String);

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl Visitor<'_> for TextVisitor {
    type Value = Text;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a text of at most {MAX_TEXT_BYTES} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Text, E> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(E::invalid_length(text.len(), &self));
        }
        Ok(Text(text.to_string()))
    }
}

struct RecordVisitor;

impl<'de> Visitor<'de> for RecordVisitor {
    type Value = Box<MemberRecord>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a membership record")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Self::Value, A::Error> {
        Ok(Box::new(MemberRecord {
            node: next::<Text, A>(&mut fields)?.0,
            instance: InstanceId(next(&mut fields)?),
            data_centre: next::<Text, A>(&mut fields)?.0,
            region: next::<Text, A>(&mut fields)?.0,
            gossip_address: next(&mut fields)?,
            peer_address: next(&mut fields)?,
            control_address: next(&mut fields)?,
            replica_address: next(&mut fields)?,
            service: next::<Text, A>(&mut fields)?.0,
            state: next(&mut fields)?,
            version: next(&mut fields)?,
            revision: next(&mut fields)?,
        }))
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(fields: &mut A) -> Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| A::Error::custom("a membership record is too short"))
}
