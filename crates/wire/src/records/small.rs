//! The dense form of a part of a job: a small state service takes small values, and few of them.

use super::ChunkRecord;
use serde::{Deserialize, Serialize};

/// A part of a job in the dense form. Its tasks are `constants::SMALL_TASKS`, where a [`super::PageEntry`] has
/// `constants::CHUNK_TASKS`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SmallEntry {
    /// Job.
    #[serde(rename = "j")]
    pub job: String,
    /// Number of the part.
    #[serde(rename = "p")]
    pub part: u32,
    /// Number of the part's last change, counted on from the part that it was once split from.
    #[serde(rename = "n")]
    pub seq: u64,
    /// What it holds.
    #[serde(rename = "c")]
    pub chunk: SmallPart,
}

/// What a part holds, in the dense form.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SmallPart {
    /// Done tasks as ranges.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    /// What the names of all its machines begin with.
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machines: String,
    /// Places, `task:rest of the machine's name`, with the attempt in between where it is not the highest.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    at: Vec<String>,
    /// Highest attempt given out.
    #[serde(rename = "h", default)]
    hi: u64,
    /// Run seconds of the done tasks that were timed, in tenths.
    #[serde(rename = "s", default, skip_serializing_if = "is_none")]
    tenths: u64,
    /// How many of them were timed.
    #[serde(rename = "t", default, skip_serializing_if = "is_none")]
    timed: u64,
}

fn is_none(n: &u64) -> bool {
    *n == 0
}

fn common<'a>(a: &'a str, b: &str) -> &'a str {
    let same = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let end = (0..=same).rev().find(|&n| a.is_char_boundary(n));
    &a[..end.unwrap_or(0)]
}

impl From<&ChunkRecord> for SmallPart {
    fn from(chunk: &ChunkRecord) -> Self {
        let names = chunk.at.iter().map(|(_, _, m)| m.as_str());
        let machines = names.reduce(|a, b| common(a, b)).unwrap_or_default();
        let place = |(task, attempt, machine): &(u32, u64, String)| {
            let rest = &machine[machines.len()..];
            match *attempt == chunk.hi && !rest.contains(':') {
                true => format!("{task}:{rest}"),
                false => format!("{task}:{attempt}:{rest}"),
            }
        };
        SmallPart {
            done: chunk.done.clone(),
            machines: machines.to_string(),
            at: chunk.at.iter().map(place).collect(),
            hi: chunk.hi,
            tenths: (chunk.secs.max(0.0) * 10.0) as u64,
            timed: u64::from(chunk.timed),
        }
    }
}

impl SmallPart {
    /// What it says; `None` if it is nonsense, and then nothing is known of these places.
    pub fn read(&self) -> Option<ChunkRecord> {
        let mut at = Vec::with_capacity(self.at.len());
        for place in &self.at {
            let (task, rest) = place.split_once(':')?;
            let (attempt, rest) = match rest.split_once(':') {
                Some((attempt, rest)) => (attempt.parse().ok()?, rest),
                None => (self.hi, rest),
            };
            let machine = format!("{}{rest}", self.machines);
            at.push((task.parse().ok()?, attempt, machine));
        }
        Some(ChunkRecord {
            done: self.done.clone(),
            at,
            hi: self.hi,
            secs: self.tenths as f64 / 10.0,
            timed: u32::try_from(self.timed).ok()?,
        })
    }
}

#[cfg(test)]
mod tests;
