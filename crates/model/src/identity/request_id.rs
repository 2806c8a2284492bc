use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::identity::hex_id::parse_u64;
use crate::identity::InstanceId;
use crate::identity::ParseIdError;

/// Identifies a request at every hop: the instance of the node at which it entered, and a counter.
///
/// An identifier does not repeat after a restart, so a late response cannot match a newer request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Instance of the node that received the request from the caller.
    pub instance: InstanceId,
    /// Number of the request within that instance.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{:016x}", self.instance, self.counter)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = ParseIdError { expected_digits: 32 };
        let (instance, counter) = text.split_at_checked(16).ok_or(error)?;
        let instance = InstanceId(parse_u64(instance).ok_or(error)?);
        Ok(Self { instance, counter: parse_u64(counter).ok_or(error)? })
    }
}
