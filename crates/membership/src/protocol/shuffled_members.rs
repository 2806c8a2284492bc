use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;

/// Members in a random order for round-robin selection.
///
/// SWIM selects probe targets round-robin because that bounds the time between two probes of a
/// member; an independent random choice does not (section 4.3 of the SWIM paper).
#[derive(Debug, Clone, Default)]
pub(crate) struct ShuffledMembers {
    ids: Vec<InstanceId>,
    cursor: usize,
}

impl ShuffledMembers {
    /// Adds a member at a random position.
    pub fn insert(&mut self, id: InstanceId, rng: &mut Pcg64Mcg) {
        let index = rng.random_range(0..=self.ids.len());
        self.ids.push(id);
        let last = self.ids.len() - 1;
        self.ids.swap(index, last);
    }

    pub fn remove(&mut self, id: InstanceId) {
        let Some(mut index) = self.ids.iter().position(|other| *other == id) else { return };
        if index < self.cursor {
            // Fills the gap with the last member already returned in this round, so that no member
            // is skipped.
            self.cursor -= 1;
            self.ids.swap(index, self.cursor);
            index = self.cursor;
        }
        self.ids.swap_remove(index);
    }

    /// Returns the next member in round-robin order; reshuffles the members after each round.
    pub fn next(&mut self, rng: &mut Pcg64Mcg) -> Option<InstanceId> {
        if self.cursor >= self.ids.len() {
            self.ids.shuffle(rng);
            self.cursor = 0;
        }
        let id = self.ids.get(self.cursor).copied();
        self.cursor += 1;
        id
    }

    /// Returns a random member, independent of the round-robin order.
    pub fn choose(&self, rng: &mut Pcg64Mcg) -> Option<InstanceId> {
        if self.ids.is_empty() {
            return None;
        }
        Some(self.ids[rng.random_range(0..self.ids.len())])
    }

    pub fn len(&self) -> usize {
        self.ids.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
