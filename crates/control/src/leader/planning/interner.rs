//! Mapping from names to the indices that the scheduler uses.

use std::collections::HashMap;

/// Assigns indices to names, from 0 on, in the order in which the names are first passed to [`Interner::intern`].
#[derive(Default)]
pub(in crate::leader) struct Interner(HashMap<String, usize>);

impl Interner {
    /// The index of a name, which is assigned on first use.
    pub fn intern(&mut self, name: &str) -> usize {
        let next = self.0.len();
        match self.0.get(name) {
            Some(index) => *index,
            None => {
                self.0.insert(name.to_string(), next);
                next
            }
        }
    }
}
