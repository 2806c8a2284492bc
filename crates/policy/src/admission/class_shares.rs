/// Spare slots for short work, in standard deviations of its concurrency. By square-root staffing
/// (Halfin and Whitt, 1981) a short request then rarely waits for a slot that long work holds.
const SPARE_DEVIATIONS: f64 = 2.5;

/// Spare slots, in standard deviations, when the long request would otherwise be refused.
const URGENT_SPARE_DEVIATIONS: f64 = 1.0;

/// How many long requests may run at once.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassShares {
    /// Share of the limit that long work may use at any time.
    pub(super) long_share: f64,
}

impl ClassShares {
    /// Most long requests that may run, given the slots that short work keeps busy on average.
    ///
    /// Slots beyond the cap of long work are lent to it as far as short work leaves them unused. Short
    /// work in turn may use every slot, since its runs soon end.
    pub(super) fn long_limit(&self, limit: u32, short_slots: f64, is_urgent: bool) -> u32 {
        let deviations = if is_urgent { URGENT_SPARE_DEVIATIONS } else { SPARE_DEVIATIONS };
        // One slot stays free even if no short work was seen lately, for the first to come.
        let kept = short_slots + deviations * short_slots.sqrt() + 1.0;
        let lent = (f64::from(limit) - kept).floor().max(0.0) as u32;
        let cap = (f64::from(limit) * self.long_share).floor() as u32;
        lent.max(cap).clamp(1, limit.max(1))
    }
}
