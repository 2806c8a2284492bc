use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use twox_hash::XxHash64;

/// Identifies requests with equal content, whichever callers send them at whichever nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Fingerprint of a request with these parts.
    pub fn of(parts: &[&[u8]]) -> Self {
        let hash = parts.iter().fold(0, |seed, part| {
            // The length separates the parts, so that bytes cannot move from one to the next.
            XxHash64::oneshot(seed ^ part.len() as u64, part)
        });
        Self(hash)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
