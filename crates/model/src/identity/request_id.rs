use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::identity::hex_id::parse_u64;
use crate::identity::InstanceId;
use crate::identity::ParseIdError;

/// Identifies a request at every hop: the instance of its entry and a counter.
///
/// Neither part repeats after a restart, so a late answer cannot match a newer request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Instance of the node that the caller reached.
    pub instance: InstanceId,
    /// Counter within that instance.
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
