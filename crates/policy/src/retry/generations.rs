use std::collections::HashMap;
use std::hash::Hash;
use std::mem;

/// Map that forgets what was not used for long, in two generations.
///
/// An entry that is used moves to the young generation. [`turn`](Self::turn) drops the old one and
/// makes the young one old, which costs constant time per entry and needs no order of use. The map
/// turns by itself when the young generation holds half of the limit, so that the limit is never
/// exceeded.
pub(super) struct Generations<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    max_entries: usize,
}

impl<K: Eq + Hash, V> Generations<K, V> {
    /// Creates an empty map for at most `max_entries`, at least two.
    pub fn new(max_entries: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), max_entries: max_entries.max(2) }
    }

    /// Drops the entries that were not used since the last turn.
    pub fn turn(&mut self) {
        self.old = mem::take(&mut self.young);
    }

    /// Finds an entry and marks it as used.
    pub fn find(&mut self, key: &K) -> Option<&mut V>
    where
        K: Clone,
    {
        if let Some(value) = self.old.remove(key) {
            self.insert(key.clone(), value);
        }
        self.young.get_mut(key)
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) {
        if self.young.len() >= self.max_entries / 2 {
            self.turn();
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
