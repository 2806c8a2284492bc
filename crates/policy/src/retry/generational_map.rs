use std::collections::HashMap;
use std::hash::Hash;
use std::mem;

/// Bounded map that evicts the entries that were not used recently, with two generations.
///
/// A used entry moves to the young generation. [`rotate`](Self::rotate) drops the old generation
/// and turns the young one into the old one, which takes constant time per entry and needs no order
/// of use. A move or an insertion rotates the generations when the young one holds half of the
/// limit, so that the limit is never exceeded.
pub(super) struct GenerationalMap<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    max_entries: usize,
}

impl<K: Eq + Hash, V> GenerationalMap<K, V> {
    /// Creates an empty map with a limit of `max_entries`, at least two.
    pub fn new(max_entries: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), max_entries: max_entries.max(2) }
    }

    /// Drops the entries that were not used since the last rotation.
    pub fn rotate(&mut self) {
        self.old = mem::take(&mut self.young);
    }

    /// Returns the value of an entry and marks the entry as used.
    pub fn find(&mut self, key: &K) -> Option<&mut V>
    where
        K: Clone,
    {
        if let Some(value) = self.old.remove(key) {
            self.insert(key.clone(), value);
        }
        self.young.get_mut(key)
    }

    /// Adds or replaces an entry. May drop the old generation.
    pub fn insert(&mut self, key: K, value: V) {
        if self.young.len() >= self.max_entries / 2 {
            self.rotate();
        }
        self.old.remove(&key);
        self.young.insert(key, value);
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.young.remove(key).or_else(|| self.old.remove(key))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
