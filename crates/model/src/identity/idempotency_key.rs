use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::identity::hex_id::parse_u64;
use crate::identity::InstanceId;

const ISSUED_PREFIX: &str = "tl1-";

/// Key of a non-idempotent request, from the header `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum IdempotencyKey {
    /// Key issued by a node. Only the gate of the instance in it may run the request.
    Issued {
        /// Instance whose gate may run the request.
        owner: InstanceId,
        /// Random bits that make the key unique.
        nonce: u64,
    },
    /// Any other text. The key has to be claimed in the replicated log before the request may run.
    Foreign(String),
}

impl IdempotencyKey {
    /// Maximum length of a key, in bytes.
    pub const MAX_LENGTH_BYTES: usize = 255;

    /// Parses the header value of a key. Returns `None` if it is empty or too long.
    pub fn parse(text: &str) -> Option<Self> {
        if text.is_empty() || text.len() > Self::MAX_LENGTH_BYTES {
            return None;
        }
        Some(Self::parse_issued(text).unwrap_or_else(|| Self::Foreign(text.to_string())))
    }

    fn parse_issued(text: &str) -> Option<Self> {
        let (owner, nonce) = text.strip_prefix(ISSUED_PREFIX)?.split_once('-')?;
        Some(Self::Issued { owner: InstanceId(parse_u64(owner)?), nonce: parse_u64(nonce)? })
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Issued { owner, nonce } => write!(f, "{ISSUED_PREFIX}{owner}-{nonce:016x}"),
            Self::Foreign(text) => f.write_str(text),
        }
    }
}
