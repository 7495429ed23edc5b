//! Compact sets of task numbers.

use std::collections::BTreeMap;
use std::fmt;

/// A set of task numbers kept as ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    runs: BTreeMap<u32, u32>,
    len: u64,
}

impl RangeSet {
    /// Number of members.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `x` is a member.
    pub fn contains(&self, x: u32) -> bool {
        self.runs
            .range(..=x)
            .next_back()
            .is_some_and(|(_, end)| *end >= x)
    }

    /// Adds `x`; true if it is new.
    pub fn insert(&mut self, x: u32) -> bool {
        if self.contains(x) {
            return false;
        }
        let (mut start, mut end) = (x, x);
        if let Some((&s, &e)) = self.runs.range(..x).next_back() {
            if e + 1 == x {
                start = s;
            }
        }
        if let Some(next) = x.checked_add(1) {
            if let Some(e) = self.runs.remove(&next) {
                end = e;
            }
        }
        self.runs.insert(start, end);
        self.len += 1;
        true
    }

    /// Removes `x`; true if it was there.
    pub fn remove(&mut self, x: u32) -> bool {
        let Some((&start, &end)) = self.runs.range(..=x).next_back() else {
            return false;
        };
        if end < x {
            return false;
        }
        self.runs.remove(&start);
        if start < x {
            self.runs.insert(start, x - 1);
        }
        if x < end {
            self.runs.insert(x + 1, end);
        }
        self.len -= 1;
        true
    }

    /// The smallest number from `from` on that is no member.
    pub fn next_missing(&self, from: u32) -> u32 {
        match self.runs.range(..=from).next_back() {
            Some((_, &end)) if end >= from => end.saturating_add(1),
            _ => from,
        }
    }

    /// Reads the text form, `0-3,7`. Nonsense yields `None`.
    pub fn parse(text: &str) -> Option<RangeSet> {
        let mut set = RangeSet::default();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            let (a, b) = (a.parse::<u32>().ok()?, b.parse::<u32>().ok()?);
            if a > b {
                return None;
            }
            set.runs.insert(a, b);
            set.len += u64::from(b - a) + 1;
        }
        Some(set)
    }

    /// All members in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.runs.iter().flat_map(|(&a, &b)| a..=b)
    }
}

impl fmt::Display for RangeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (a, b)) in self.runs.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            if a == b {
                write!(f, "{comma}{a}")?;
            } else {
                write!(f, "{comma}{a}-{b}")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    #[test]
    fn it_agrees_with_a_plain_set_and_survives_its_text_form() {
        let (mut ranges, mut plain) = (RangeSet::default(), BTreeSet::new());
        let mut x: u32 = 7;
        for _ in 0..2000 {
            x = x.wrapping_mul(1_103_515_245).wrapping_add(12345);
            let n = (x >> 16) % 64;
            if x & 1 == 0 {
                assert_eq!(ranges.insert(n), plain.insert(n));
            } else {
                assert_eq!(ranges.remove(n), plain.remove(&n));
            }
            assert_eq!(ranges.len(), plain.len() as u64);
            let gap = (n..).find(|i| !plain.contains(i));
            assert_eq!(Some(ranges.next_missing(n)), gap);
        }
        assert!(ranges.iter().eq(plain.iter().copied()));
        assert_eq!(RangeSet::parse(&ranges.to_string()), Some(ranges));
        assert_eq!(RangeSet::parse("5-2"), None);
    }
}
