use crate::admission::AdmissionAdvice;

/// Time after which advice no longer refuses any request, in µs. Stale advice must not keep
/// requests away from an idle server.
const ADVICE_DECAY_US: u64 = 1_000_000;

/// Number of distinct shed hashes.
const HASH_COUNT: u64 = 1 << 16;

/// Applies the last advice of a gate at a calling node, which refuses requests early that the gate
/// would refuse.
///
/// The refused share of every rank decreases linearly to zero within a second of the receipt. The
/// decay follows the shed hash, so that all calling nodes admit the same requests first.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdvisoryFilter {
    advice: AdmissionAdvice,
    received_us: u64,
}

impl AdvisoryFilter {
    /// Replaces the advice with newer advice.
    pub fn update(&mut self, advice: AdmissionAdvice, now_us: u64) {
        self.advice = advice;
        self.received_us = now_us;
    }

    /// Whether a request with this rank and shed hash should be sent to the gate.
    pub fn is_admitted(&self, rank: u8, hash: u16, now_us: u64) -> bool {
        if self.advice.is_admitted(rank, hash) {
            return true;
        }
        let age_us = now_us.saturating_sub(self.received_us).min(ADVICE_DECAY_US);
        let admitted_at_receipt =
            if rank == self.advice.cutoff_rank { u64::from(self.advice.cutoff_hash) } else { 0 };
        let admitted =
            admitted_at_receipt + (HASH_COUNT - admitted_at_receipt) * age_us / ADVICE_DECAY_US;
        u64::from(hash) < admitted
    }

    /// The most recent advice, without decay.
    pub fn advice(&self) -> &AdmissionAdvice {
        &self.advice
    }
}
