use crate::admission::AdmissionAdvice;

/// Values of the shed hash.
const HASHES: f64 = 65_536.0;

/// Advice of a gate that loses its force linearly over time.
///
/// The refused part of every rank is admitted again in proportion to the age of the advice, in the
/// order of the shed hash. Decay along the rank scale instead would readmit the few ranks in use
/// within milliseconds, since the scale has 256.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingAdvice {
    advice: AdmissionAdvice,
    received_us: u64,
}

impl DecayingAdvice {
    /// Wraps advice that was received now.
    pub fn new(advice: AdmissionAdvice, now_us: u64) -> Self {
        Self { advice, received_us: now_us }
    }

    /// Whether a request would be admitted by now.
    pub fn is_admitted(&self, rank: u8, hash: u16, decay_us: u64, now_us: u64) -> bool {
        self.wait_us(rank, hash, decay_us, now_us) == 0
    }

    /// Time after which the request would be admitted without newer advice, in µs.
    pub fn wait_us(&self, rank: u8, hash: u16, decay_us: u64, now_us: u64) -> u64 {
        if self.advice.is_admitted(rank, hash) || !self.is_limiting() {
            return 0;
        }
        let is_cutoff_rank = rank == self.advice.cutoff_rank;
        let admitted =
            if is_cutoff_rank { f64::from(self.advice.cutoff_hash) / HASHES } else { 0.0 };
        let position = (f64::from(hash) + 1.0) / HASHES;
        let needed = (position - admitted) / (1.0 - admitted);
        let due_us = self.received_us.saturating_add((needed * decay_us as f64) as u64);
        due_us.saturating_sub(now_us)
    }

    /// Whether the gate said within the decay time that it refuses some requests.
    pub fn is_shedding(&self, decay_us: u64, now_us: u64) -> bool {
        let is_fresh = now_us.saturating_sub(self.received_us) < decay_us;
        is_fresh && self.is_limiting()
    }

    /// Whether the cutoff is below the end of the scale, which stands for "admit all".
    fn is_limiting(&self) -> bool {
        (self.advice.cutoff_rank, self.advice.cutoff_hash) != (u8::MAX, u16::MAX)
    }
}
