/// Health score of this node (Lifeguard, "local health multiplier"); zero is healthy.
///
/// Missed answers, pauses and refutations raise the score, answered probes lower it. A node with a
/// high score probes less often and with longer timeouts, because the missing answers are probably
/// caused by the node itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalHealth {
    score: u32,
    max_score: u32,
    is_enabled: bool,
}

impl LocalHealth {
    pub fn new(max_score: u32, is_enabled: bool) -> Self {
        Self { score: 0, max_score, is_enabled }
    }

    pub fn worsen(&mut self, points: u32) {
        if self.is_enabled {
            self.score = (self.score + points).min(self.max_score);
        }
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a base time by the score plus one.
    pub fn scale_ms(&self, base_ms: u64) -> u64 {
        base_ms * u64::from(1 + self.score)
    }

    pub fn score(&self) -> u32 {
        self.score
    }
}
