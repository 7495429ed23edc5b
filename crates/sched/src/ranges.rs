//! Compact sets of task numbers, with a text form.

use std::collections::BTreeMap;
use std::fmt;

/// A set of task numbers, stored as ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    /// Last member of each range, keyed by its first member. Ranges neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
    /// Number of members.
    len: u64,
}

impl RangeSet {
    /// Number of members.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `number` is a member.
    pub fn contains(&self, number: u32) -> bool {
        self.ranges
            .range(..=number)
            .next_back()
            .is_some_and(|(_, end)| *end >= number)
    }

    /// Adds `number`; true if it was not a member.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.contains(number) {
            return false;
        }
        let (mut start, mut end) = (number, number);
        if let Some((&before_start, &before_end)) = self.ranges.range(..number).next_back() {
            if before_end + 1 == number {
                start = before_start;
            }
        }
        if let Some(next) = number.checked_add(1) {
            if let Some(after_end) = self.ranges.remove(&next) {
                end = after_end;
            }
        }
        self.ranges.insert(start, end);
        self.len += 1;
        true
    }

    /// Removes `number`; true if it was a member.
    pub fn remove(&mut self, number: u32) -> bool {
        let Some((&start, &end)) = self.ranges.range(..=number).next_back() else {
            return false;
        };
        if end < number {
            return false;
        }
        self.ranges.remove(&start);
        if start < number {
            self.ranges.insert(start, number - 1);
        }
        if number < end {
            self.ranges.insert(number + 1, end);
        }
        self.len -= 1;
        true
    }

    /// The smallest number not below `from` that is not a member.
    pub fn next_missing(&self, from: u32) -> u32 {
        match self.ranges.range(..=from).next_back() {
            Some((_, &end)) if end >= from => end.saturating_add(1),
            _ => from,
        }
    }

    /// Parses the text form, such as `0-3,7`. Returns `None` for malformed text.
    pub fn parse(text: &str) -> Option<RangeSet> {
        let mut set = RangeSet::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (start, end) = part.split_once('-').unwrap_or((part, part));
            let start = start.parse::<u32>().ok()?;
            let end = end.parse::<u32>().ok()?;
            if start > end {
                return None;
            }
            set.ranges.insert(start, end);
            set.len += u64::from(end - start) + 1;
        }
        Some(set)
    }

    /// All members in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(|(&start, &end)| start..=end)
    }
}

impl fmt::Display for RangeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (start, end)) in self.ranges.iter().enumerate() {
            let comma = if number > 0 { "," } else { "" };
            if start == end {
                write!(f, "{comma}{start}")?;
            } else {
                write!(f, "{comma}{start}-{end}")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
