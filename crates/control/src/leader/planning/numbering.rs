//! Numbers for names, as the scheduler uses them.

use std::collections::HashMap;

/// Numbers names from 0 on, in the order in which they are first asked for.
#[derive(Default)]
pub(in crate::leader) struct Numbering(HashMap<String, usize>);

impl Numbering {
    /// The number of a name, a new one if it has none.
    pub fn number(&mut self, name: &str) -> usize {
        let next = self.0.len();
        match self.0.get(name) {
            Some(number) => *number,
            None => {
                self.0.insert(name.to_string(), next);
                next
            }
        }
    }
}
