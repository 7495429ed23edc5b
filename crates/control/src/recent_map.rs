//! A bounded map that drops the oldest entries, without keeping an order.

use std::collections::HashMap;

/// Two generations of entries. Once the new generation is full it replaces the old one, whose entries are dropped.
pub(crate) struct RecentMap<V> {
    new: HashMap<String, V>,
    old: HashMap<String, V>,
    /// Entries that the new generation may have.
    generation_size: usize,
}

impl<V> RecentMap<V> {
    /// A map of at most so many entries. At least half as many of the latest are kept.
    pub fn new(max_entries: usize) -> Self {
        RecentMap {
            new: HashMap::new(),
            old: HashMap::new(),
            generation_size: max_entries / 2,
        }
    }

    /// The value of a key, if it has not been dropped.
    pub fn get(&self, key: &str) -> Option<&V> {
        self.new.get(key).or_else(|| self.old.get(key))
    }

    /// Whether there is a value for a key.
    pub fn contains(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of a key, as the latest entry.
    pub fn insert(&mut self, key: String, value: V) {
        if self.new.len() >= self.generation_size {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(key, value);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.new.remove(key);
        self.old.remove(key);
    }

    /// All keys. One that was set again may come twice.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.old.keys().chain(self.new.keys())
    }
}
