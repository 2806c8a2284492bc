/// Divides the requests of a route among its targets in proportion to their weights.
///
/// Smooth weighted round robin: with each request, the credit of every target grows by its weight;
/// the target with the highest credit is chosen and its credit falls by the sum of the weights.
/// The number of requests of a target stays close to its share index any time, not only on average.
/// All nodes start from the same state, so the shares also hold for the sum over the nodes.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the target for the next request, or 0 if no target has a weight.
    /// A change of the weights resets the credits.
    pub fn next(&mut self, weights: impl Iterator<Item = u32> + Clone) -> usize {
        if !weights.clone().eq(self.weights.iter().copied()) {
            self.weights = weights.collect();
            self.credits = vec![0; self.weights.len()];
        }
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        let mut best: Option<usize> = None;
        for (index, weight) in self.weights.iter().enumerate().filter(|(_, weight)| **weight > 0) {
            self.credits[index] += i64::from(*weight);
            if best.is_none_or(|best| self.credits[index] > self.credits[best]) {
                best = Some(index);
            }
        }
        let Some(best) = best else { return 0 };
        self.credits[best] -= total;
        best
    }
}

#[cfg(test)]
mod tests;
