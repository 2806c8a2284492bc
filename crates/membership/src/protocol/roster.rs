use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;

/// Members in a random order that is walked round-robin.
///
/// SWIM probes in this order, because it bounds the time until a member is probed again, which a
/// random choice does not.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    ids: Vec<InstanceId>,
    cursor: usize,
}

impl Roster {
    /// Adds a member at a random place.
    pub fn insert(&mut self, id: InstanceId, rng: &mut Pcg64Mcg) {
        let at = rng.random_range(0..=self.ids.len());
        self.ids.push(id);
        let last = self.ids.len() - 1;
        self.ids.swap(at, last);
    }

    pub fn remove(&mut self, id: InstanceId) {
        let Some(mut at) = self.ids.iter().position(|other| *other == id) else { return };
        if at < self.cursor {
            // The last walked member takes the free place, so that none is passed over.
            self.cursor -= 1;
            self.ids.swap(at, self.cursor);
            at = self.cursor;
        }
        self.ids.swap_remove(at);
    }

    /// The next member of the walk. The order is drawn anew after each round.
    pub fn next(&mut self, rng: &mut Pcg64Mcg) -> Option<InstanceId> {
        if self.cursor >= self.ids.len() {
            self.ids.shuffle(rng);
            self.cursor = 0;
        }
        let id = self.ids.get(self.cursor).copied();
        self.cursor += 1;
        id
    }

    /// A random member.
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
