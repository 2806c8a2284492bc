use crate::admission::AdmissionAdvice;

/// Time in which advice decays to "admit all", in µs. Stale advice must not keep work away from
/// an idle server.
const DECAY_US: u64 = 1_000_000;

/// Number of different shed hashes.
const HASHES: u64 = 1 << 16;

/// Applies the last advice of a gate at a calling node, so that doomed work is refused early.
///
/// The refused part of every rank shrinks linearly to nothing within a second of the advice. The
/// decay is by shed hash, so that all calling nodes let the same requests through first.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdvisoryFilter {
    advice: AdmissionAdvice,
    received_us: u64,
}

impl AdvisoryFilter {
    /// Replaces the advice by a newer one.
    pub fn update(&mut self, advice: AdmissionAdvice, now_us: u64) {
        self.advice = advice;
        self.received_us = now_us;
    }

    /// Whether a request of this rank and shed hash is worth sending.
    pub fn is_admitted(&self, rank: u8, hash: u16, now_us: u64) -> bool {
        if self.advice.is_admitted(rank, hash) {
            return true;
        }
        let age_us = now_us.saturating_sub(self.received_us).min(DECAY_US);
        let at_receipt =
            if rank == self.advice.cutoff_rank { u64::from(self.advice.cutoff_hash) } else { 0 };
        let admitted = at_receipt + (HASHES - at_receipt) * age_us / DECAY_US;
        u64::from(hash) < admitted
    }

    /// The last advice as it was received.
    pub fn advice(&self) -> &AdmissionAdvice {
        &self.advice
    }
}
