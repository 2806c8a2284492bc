use crate::routing::AdaptiveRouterSettings;

/// One past the last position in the shedding order.
const NONE_AWAY: u32 = 1 << 24;

/// Position of a request in the order in which requests are shed, most important first.
pub(super) fn shed_position(rank: u8, hash: u16) -> u32 {
    u32::from(rank) << 16 | u32::from(hash)
}

/// Hysteresis of the use of other data centres by one service.
///
/// While the own data centre cannot serve requests from some position in the shedding order on,
/// those requests go elsewhere. They return once it could serve every such request for a while,
/// and then in a growing share, so that the work of all nodes does not swing back at once.
#[derive(Debug)]
pub(super) struct Spill {
    away_from: u32,
    held_until_us: u64,
}

impl Spill {
    /// Creates the state in which everything stays in the own data centre.
    pub fn new() -> Self {
        Self { away_from: NONE_AWAY, held_until_us: 0 }
    }

    /// Decides whether a request goes to another data centre. `draw` is uniform in 0..1.
    pub fn is_away(
        &mut self,
        position: u32,
        is_local_able: bool,
        settings: &AdaptiveRouterSettings,
        draw: f64,
        now_us: u64,
    ) -> bool {
        let ramp_us = (settings.return_ramp_ms * 1_000).max(1);
        if now_us >= self.held_until_us.saturating_add(ramp_us) {
            self.away_from = NONE_AWAY;
        }
        if !is_local_able {
            self.away_from = self.away_from.min(position);
            self.held_until_us = now_us + settings.return_after_ms * 1_000;
            return true;
        }
        if position < self.away_from {
            return false;
        }
        let returned_us = now_us.saturating_sub(self.held_until_us);
        draw * ramp_us as f64 >= returned_us as f64
    }
}
