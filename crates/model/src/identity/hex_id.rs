use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Text that is not the expected number of hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseIdError {
    /// Number of digits that the identifier has.
    pub expected_digits: usize,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {} hexadecimal digits", self.expected_digits)
    }
}

impl std::error::Error for ParseIdError {}

/// Parses exactly 16 lower or upper case hexadecimal digits.
pub(crate) fn parse_u64(text: &str) -> Option<u64> {
    let is_plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// One life of a node process: 64 random bits drawn at start.
///
/// A restarted node is another instance, so nothing that was addressed to its earlier life is
/// taken for its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for InstanceId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_u64(text).map(Self).ok_or(ParseIdError { expected_digits: 16 })
    }
}

/// One execution of a request at a gate, the owner of that hop's retry tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpanId(pub u64);

impl fmt::Display for SpanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SpanId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_u64(text).map(Self).ok_or(ParseIdError { expected_digits: 16 })
    }
}
