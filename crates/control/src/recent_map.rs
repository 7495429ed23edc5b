//! A bounded map that evicts the oldest entries without tracking their order.

use std::collections::HashMap;

/// A map of two generations. When the current generation is full, it becomes the previous one, and the entries of the
/// former previous generation are evicted.
pub(crate) struct RecentMap<V> {
    current: HashMap<String, V>,
    previous: HashMap<String, V>,
    /// Maximum number of entries of the current generation.
    generation_capacity: usize,
}

impl<V> RecentMap<V> {
    /// Creates a map of at most `max_entries`. At least half that number of the latest entries are kept.
    pub fn new(max_entries: usize) -> Self {
        RecentMap {
            current: HashMap::new(),
            previous: HashMap::new(),
            generation_capacity: max_entries / 2,
        }
    }

    /// The value of a key, unless it has been evicted.
    pub fn get(&self, key: &str) -> Option<&V> {
        self.current.get(key).or_else(|| self.previous.get(key))
    }

    /// Whether the map has a value for a key.
    pub fn contains(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of a key and makes it the latest entry.
    pub fn insert(&mut self, key: String, value: V) {
        if self.current.len() >= self.generation_capacity {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, value);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.current.remove(key);
        self.previous.remove(key);
    }

    /// All keys. A key whose value was replaced may appear twice.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.previous.keys().chain(self.current.keys())
    }
}
