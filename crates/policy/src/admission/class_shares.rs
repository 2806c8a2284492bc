/// Spare slots for short work, in standard deviations of its concurrency. According to square-root
/// staffing (Halfin and Whitt, 1981), short requests then rarely wait for slots of long work.
const SPARE_STD_DEVIATIONS: f64 = 2.5;

/// Spare slots for short work while an urgent long request waits that would otherwise be refused,
/// in standard deviations.
const URGENT_SPARE_STD_DEVIATIONS: f64 = 1.0;

/// Division of the concurrency limit between short and long work.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassShares {
    /// Share of the limit that is always available to long work.
    pub(super) long_share: f64,
}

impl ClassShares {
    /// Maximum number of concurrent long requests, given the mean number of slots that short work
    /// uses.
    ///
    /// Long work may exceed its share as far as short work leaves slots unused. Short work may use
    /// every slot, since its runs are soon over.
    pub(super) fn long_limit(&self, limit: u32, short_slots: f64, is_urgent: bool) -> u32 {
        let deviations = if is_urgent { URGENT_SPARE_STD_DEVIATIONS } else { SPARE_STD_DEVIATIONS };
        // One slot stays free for the next short request even if there was none recently.
        let reserved = short_slots + deviations * short_slots.sqrt() + 1.0;
        let unused = (f64::from(limit) - reserved).floor().max(0.0) as u32;
        let long_share_slots = (f64::from(limit) * self.long_share).floor() as u32;
        unused.max(long_share_slots).clamp(1, limit.max(1))
    }
}
