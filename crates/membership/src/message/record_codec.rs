//! Hand-written Serde format of a membership record. Its postcard encoding equals the derived one.
//!
//! Records are most of the data that membership decodes. The length of each text is checked before
//! the text is copied, so a record that is too long to be passed on is rejected as malformed.

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

const FIELD_COUNT: usize = 12;

#[allow(clippy::borrowed_box, reason = "the signature is given by serde's `with` attribute")]
pub(super) fn serialize<S: Serializer>(
    record: &Box<MemberRecord>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
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
    deserializer.deserialize_tuple(FIELD_COUNT, RecordVisitor)
}

/// Text of at most `MAX_TEXT_BYTES` bytes.
struct BoundedText(String);

impl<'de> Deserialize<'de> for BoundedText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(BoundedTextVisitor)
    }
}

struct BoundedTextVisitor;

impl Visitor<'_> for BoundedTextVisitor {
    type Value = BoundedText;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a text of at most {MAX_TEXT_BYTES} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<BoundedText, E> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(E::invalid_length(text.len(), &self));
        }
        Ok(BoundedText(text.to_string()))
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
            node: next_field::<BoundedText, A>(&mut fields)?.0,
            instance: InstanceId(next_field(&mut fields)?),
            data_centre: next_field::<BoundedText, A>(&mut fields)?.0,
            region: next_field::<BoundedText, A>(&mut fields)?.0,
            gossip_address: next_field(&mut fields)?,
            peer_address: next_field(&mut fields)?,
            control_address: next_field(&mut fields)?,
            replica_address: next_field(&mut fields)?,
            service: next_field::<BoundedText, A>(&mut fields)?.0,
            state: next_field(&mut fields)?,
            version: next_field(&mut fields)?,
            revision: next_field(&mut fields)?,
        }))
    }
}

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(fields: &mut A) -> Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| A::Error::custom("a membership record is too short"))
}
