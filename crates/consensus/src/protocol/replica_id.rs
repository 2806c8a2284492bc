use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Random identity of a data directory, written when the directory is created. A replica that lost
/// its disk gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for DiskId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Identity of a replica.
///
/// Votes and acknowledgements count only if both fields match: a replica that lost its disk has
/// also lost its vote and its log, so it must not count as the member that it was before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Configured name, which is used to address the replica.
    pub name: String,
    /// Identity of its data directory.
    pub disk: DiskId,
}

impl ReplicaId {
    /// Creates the identity of a replica from its name and its disk id.
    pub fn new(name: impl Into<String>, disk: DiskId) -> Self {
        Self { name: name.into(), disk }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.disk)
    }
}
