use crate::routing::AdaptiveRouterSettings;

/// Position after the last one in the shedding order: no request spills over.
const NO_SPILLOVER: u32 = 1 << 24;

/// Position of a request in the shedding order: the higher it is, the earlier the request is shed.
pub(super) fn shed_position(rank: u8, hash: u16) -> u32 {
    u32::from(rank) << 16 | u32::from(hash)
}

/// Decides which requests to one service go to other data centres, with hysteresis.
///
/// While the local data centre cannot serve requests from some position in the shedding order on,
/// those requests go to other data centres. They return after it could serve all of them for
/// `return_after_ms`, and then in a growing share, so that the nodes do not all move their load
/// back at once.
#[derive(Debug)]
pub(super) struct Spillover {
    /// First position in the shedding order whose requests go to other data centres.
    spilled_from: u32,
    /// Time at which the requests start to return.
    return_start_us: u64,
}

impl Spillover {
    /// Creates the state in which all requests stay in the local data centre.
    pub fn new() -> Self {
        Self { spilled_from: NO_SPILLOVER, return_start_us: 0 }
    }

    /// Decides whether a request goes to another data centre. `draw` is uniformly distributed in
    /// 0..1.
    pub fn is_spilled(
        &mut self,
        position: u32,
        is_local_available: bool,
        settings: &AdaptiveRouterSettings,
        draw: f64,
        now_us: u64,
    ) -> bool {
        let ramp_us = (settings.return_ramp_ms * 1_000).max(1);
        if now_us >= self.return_start_us.saturating_add(ramp_us) {
            self.spilled_from = NO_SPILLOVER;
        }
        if !is_local_available {
            self.spilled_from = self.spilled_from.min(position);
            self.return_start_us = now_us + settings.return_after_ms * 1_000;
            return true;
        }
        if position < self.spilled_from {
            return false;
        }
        let elapsed_us = now_us.saturating_sub(self.return_start_us);
        draw * ramp_us as f64 >= elapsed_us as f64
    }
}
