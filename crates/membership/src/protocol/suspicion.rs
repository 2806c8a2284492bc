use crate::settings::MembershipSettings;

/// Suspicion of a member that has not been refuted yet.
///
/// The timeout shrinks with each independent confirmation (Lifeguard, "dynamic suspicion
/// timeouts"). A suspicion without confirmations has the longest timeout, because the fault may be
/// in the network of the accusing node.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    started_ms: u64,
    accusers: Vec<u16>,
}

impl Suspicion {
    pub fn new(accuser: u16, now_ms: u64) -> Self {
        Self { started_ms: now_ms, accusers: vec![accuser] }
    }

    /// Adds an accuser. Returns true if the accuser is new and further confirmations still shorten
    /// the timeout.
    pub fn confirm(&mut self, accuser: u16, settings: &MembershipSettings) -> bool {
        let is_new = self.accusers.len() <= settings.suspicion_confirmations
            && !self.accusers.contains(&accuser);
        if is_new {
            self.accusers.push(accuser);
        }
        is_new
    }

    /// The most recent accuser, which is sent when the suspicion is passed on.
    pub fn last_accuser(&self) -> u16 {
        self.accusers.last().copied().unwrap_or_default()
    }

    /// Postpones the timeout by the length of a pause of this process, during which it could not
    /// receive a refutation.
    pub fn postpone(&mut self, by_ms: u64) {
        self.started_ms += by_ms;
    }

    /// Whether the timeout has passed; `min_ms` is the result of [`min_timeout_ms`].
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
        // In a small cluster, the number of possible accusers limits the expected confirmations.
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

/// Minimum suspicion timeout in milliseconds. It grows with the logarithm of the cluster size, as
/// does the time to disseminate a suspicion and its refutation.
pub(crate) fn min_timeout_ms(members: usize, settings: &MembershipSettings) -> f64 {
    let decades = ((members + 1) as f64).log10().max(1.0);
    settings.suspicion_factor * decades * settings.probe_interval_ms as f64
}
