use crate::admission::AdmissionAdvice;

/// Number of values of the shed hash.
const SHED_HASH_COUNT: f64 = 65_536.0;

/// Admission advice of a gate whose effect decays linearly with its age.
///
/// A growing part of the refused requests of every rank is admitted again, in the order of the shed
/// hash. Decay along the rank scale instead would readmit the few ranks in use within milliseconds,
/// since the scale has 256 ranks.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingAdvice {
    advice: AdmissionAdvice,
    received_us: u64,
}

impl DecayingAdvice {
    /// Creates the state of advice that was received at `now_us`.
    pub fn new(advice: AdmissionAdvice, now_us: u64) -> Self {
        Self { advice, received_us: now_us }
    }

    /// Whether the advice, decayed until `now_us`, admits a request.
    pub fn is_admitted(&self, rank: u8, hash: u16, decay_us: u64, now_us: u64) -> bool {
        self.wait_us(rank, hash, decay_us, now_us) == 0
    }

    /// Time until the decayed advice admits the request, in µs, if no newer advice arrives.
    pub fn wait_us(&self, rank: u8, hash: u16, decay_us: u64, now_us: u64) -> u64 {
        if self.advice.is_admitted(rank, hash) || !self.is_limiting() {
            return 0;
        }
        let is_cutoff_rank = rank == self.advice.cutoff_rank;
        let admitted_share =
            if is_cutoff_rank { f64::from(self.advice.cutoff_hash) / SHED_HASH_COUNT } else { 0.0 };
        let position = (f64::from(hash) + 1.0) / SHED_HASH_COUNT;
        let required_decay = (position - admitted_share) / (1.0 - admitted_share);
        let due_us = self.received_us.saturating_add((required_decay * decay_us as f64) as u64);
        due_us.saturating_sub(now_us)
    }

    /// Whether the advice is younger than the decay time and refuses some requests.
    pub fn is_shedding(&self, decay_us: u64, now_us: u64) -> bool {
        let is_fresh = now_us.saturating_sub(self.received_us) < decay_us;
        is_fresh && self.is_limiting()
    }

    /// Whether the cutoff is below the end of the scale, which means "admit all".
    fn is_limiting(&self) -> bool {
        (self.advice.cutoff_rank, self.advice.cutoff_hash) != (u8::MAX, u16::MAX)
    }
}
