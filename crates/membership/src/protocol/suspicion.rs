use crate::settings::MembershipSettings;

/// An accusation that waits for a refutation.
///
/// Its timeout starts long and shrinks with each independent accusation (Lifeguard, "dynamic
/// suspicion timeouts"), so that a node with a bad network of its own accuses nobody for long.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started_ms: u64,
    accusers: Vec<u16>,
}

impl Suspicion {
    pub fn new(accuser: u16, now_ms: u64) -> Self {
        Self { started_ms: now_ms, accusers: vec![accuser] }
    }

    /// Notes an accusation; true if it is a new and still useful one.
    pub fn confirm(&mut self, accuser: u16, settings: &MembershipSettings) -> bool {
        let is_new = self.accusers.len() <= settings.suspicion_confirmations
            && !self.accusers.contains(&accuser);
        if is_new {
            self.accusers.push(accuser);
        }
        is_new
    }

    /// The newest accuser, who is named when the accusation is passed on.
    pub fn last_accuser(&self) -> u16 {
        self.accusers.last().copied().unwrap_or_default()
    }

    /// Moves the start after a pause of the own process, in which no refutation could be heard.
    pub fn postpone(&mut self, by_ms: u64) {
        self.started_ms += by_ms;
    }

    /// Whether the timeout has passed; `min_ms` is the one of `min_timeout_ms`.
    pub fn has_expired(
        &self,
        min_ms: f64,
        members: usize,
        settings: &MembershipSettings,
        now_ms: u64,
    ) -> bool {
        if now_ms < self.started_ms + min_ms as u64 {
            return false;
        }
        let max_ms = min_ms * settings.suspicion_max_factor;
        // With few members there are too few possible accusers to wait for.
        let expected = settings.suspicion_confirmations.min(members.saturating_sub(2));
        let confirmations = (self.accusers.len() - 1).min(expected);
        let share = if expected == 0 {
            1.0
        } else {
            ((confirmations + 1) as f64).ln() / ((expected + 1) as f64).ln()
        };
        let timeout_ms = (max_ms - (max_ms - min_ms) * share).max(min_ms);
        now_ms >= self.started_ms + timeout_ms as u64
    }
}

/// Shortest suspicion. It grows with the logarithm of the cluster size, as does the time that an
/// accusation and its refutation need to spread.
pub(crate) fn min_timeout_ms(members: usize, settings: &MembershipSettings) -> f64 {
    let decades = ((members + 1) as f64).log10().max(1.0);
    settings.suspicion_factor * decades * settings.probe_interval_ms as f64
}
