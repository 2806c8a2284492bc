use std::fmt;
use std::str::FromStr;

use tarragon_model::identity::RequestId;
use twox_hash::XxHash64;

/// Current admission cutoff and load of a gate, sent with responses and heartbeats.
///
/// A request is admitted if its rank is below `cutoff_rank`, or equal to it with a hash below
/// `cutoff_hash`. The default admits everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionAdvice {
    /// Most important rank that is not admitted completely.
    pub cutoff_rank: u8,
    /// Share of that rank that is admitted, in units of 1/65536.
    pub cutoff_hash: u16,
    /// Number of requests in progress at the gate.
    pub in_flight: u32,
    /// Current concurrency limit of the gate.
    pub limit: u32,
}

impl Default for AdmissionAdvice {
    fn default() -> Self {
        Self { cutoff_rank: u8::MAX, cutoff_hash: u16::MAX, in_flight: 0, limit: 0 }
    }
}

impl AdmissionAdvice {
    /// Whether a request with this rank and shed hash is admitted.
    pub fn is_admitted(&self, rank: u8, hash: u16) -> bool {
        let is_open = self.cutoff_rank == u8::MAX && self.cutoff_hash == u16::MAX;
        is_open || rank < self.cutoff_rank || (rank == self.cutoff_rank && hash < self.cutoff_hash)
    }
}

impl fmt::Display for AdmissionAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}:{}", self.cutoff_rank, self.cutoff_hash, self.in_flight, self.limit)
    }
}

impl FromStr for AdmissionAdvice {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(4, ':');
        let mut next = || parts.next().unwrap_or("");
        Ok(Self {
            cutoff_rank: next().parse()?,
            cutoff_hash: next().parse()?,
            in_flight: next().parse()?,
            limit: next().parse()?,
        })
    }
}

/// Hash that orders requests of the same rank for shedding. It is the same at every hop.
pub fn shed_hash(request_id: RequestId) -> u16 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&request_id.instance.0.to_be_bytes());
    bytes[8..].copy_from_slice(&request_id.counter.to_be_bytes());
    (XxHash64::oneshot(0, &bytes) >> 48) as u16
}
