//! A bounded map that forgets what was put in longest ago, without keeping an order.

use std::collections::HashMap;

/// Two generations of entries: once the young one is full it becomes the old one, and what was old is forgotten.
pub(crate) struct RecentMap<V> {
    young: HashMap<String, V>,
    old: HashMap<String, V>,
    half: usize,
}

impl<V> RecentMap<V> {
    /// At most that many entries, at least half as many of the latest.
    pub fn new(most: usize) -> Self {
        RecentMap {
            young: HashMap::new(),
            old: HashMap::new(),
            half: most / 2,
        }
    }

    pub fn get(&self, key: &str) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    pub fn contains(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    pub fn insert(&mut self, key: String, value: V) {
        if self.young.len() >= self.half {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, value);
    }

    pub fn remove(&mut self, key: &str) {
        self.young.remove(key);
        self.old.remove(key);
    }

    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.old.keys().chain(self.young.keys())
    }
}
