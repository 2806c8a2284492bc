use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The text does not consist of the expected number of hexadecimal digits.
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
    let is_hexadecimal = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hexadecimal.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Identifies one run of a node process by 64 random bits, drawn at its start.
///
/// A restarted node is another instance, so it does not accept messages for the previous run.
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

/// Identifies one execution of a request at a gate. The execution owns the retry tokens of that
/// hop.
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
