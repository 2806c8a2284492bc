/// Divides the requests of a route among targets exactly by their weights.
///
/// Smooth weighted round robin: each target gains its weight, the one with the most is chosen and
/// pays the sum of the weights. After any number of requests each target is within one request of
/// its share. The start is the same for all nodes, so the shares also hold summed over them.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the target of the next request. The split starts anew if the weights changed; 0 if
    /// no target has a weight.
    pub fn next(&mut self, weights: impl Iterator<Item = u32> + Clone) -> usize {
        if !weights.clone().eq(self.weights.iter().copied()) {
            self.weights = weights.collect();
            self.credits = vec![0; self.weights.len()];
        }
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        let mut best: Option<usize> = None;
        for (at, weight) in self.weights.iter().enumerate().filter(|(_, weight)| **weight > 0) {
            self.credits[at] += i64::from(*weight);
            if best.is_none_or(|best| self.credits[at] > self.credits[best]) {
                best = Some(at);
            }
        }
        let Some(best) = best else { return 0 };
        self.credits[best] -= total;
        best
    }
}

#[cfg(test)]
mod tests;
