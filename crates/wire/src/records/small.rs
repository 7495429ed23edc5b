//! The dense form of a part of a job, since a small state service accepts only small values, and few of them.

use super::ChunkRecord;
use serde::{Deserialize, Serialize};

/// Separates task, attempt and machine of an assignment.
const SEPARATOR: char = ':';
/// Unit of stored run times, per second.
const TENTHS_A_SECOND: f64 = 10.0;

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
    /// Number of the part's last change. A part that was split off continues the numbers of the original part.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Content of the part.
    #[serde(rename = "c")]
    pub chunk: SmallPart,
}

/// Content of a part in the dense form.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SmallPart {
    /// Done tasks as ranges.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    /// Common prefix of the names of all its machines.
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machine_prefix: String,
    /// Assignments, `task:suffix of the machine's name`, or `task:attempt:suffix` if the attempt is not the highest.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    assignments: Vec<String>,
    /// Highest attempt assigned so far.
    #[serde(rename = "h", default)]
    highest_attempt: u64,
    /// Run time of the done tasks that were timed, in tenths of a second.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    run_tenths: u64,
    /// Number of done tasks that were timed.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    timed: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The longest common prefix of two texts.
fn common_prefix<'a>(first: &'a str, second: &str) -> &'a str {
    let equal_bytes = first
        .bytes()
        .zip(second.bytes())
        .take_while(|(one, other)| one == other)
        .count();
    let end = (0..=equal_bytes)
        .rev()
        .find(|&index| first.is_char_boundary(index));
    &first[..end.unwrap_or(0)]
}

impl From<&ChunkRecord> for SmallPart {
    fn from(chunk: &ChunkRecord) -> Self {
        let names = chunk.at.iter().map(|(_, _, machine)| machine.as_str());
        let machine_prefix = names.reduce(common_prefix).unwrap_or_default();
        let assignments = chunk.at.iter().map(|(task, attempt, machine)| {
            let suffix = &machine[machine_prefix.len()..];
            encode_assignment(*task, *attempt, suffix, chunk.hi)
        });
        SmallPart {
            done: chunk.done.clone(),
            assignments: assignments.collect(),
            machine_prefix: machine_prefix.to_string(),
            highest_attempt: chunk.hi,
            run_tenths: (chunk.secs.max(0.0) * TENTHS_A_SECOND) as u64,
            timed: u64::from(chunk.timed),
        }
    }
}

/// Writes an assignment. The attempt is left out if it is the highest one, unless the name has a separator of its own.
fn encode_assignment(task: u32, attempt: u64, suffix: &str, highest_attempt: u64) -> String {
    if attempt == highest_attempt && !suffix.contains(SEPARATOR) {
        format!("{task}{SEPARATOR}{suffix}")
    } else {
        format!("{task}{SEPARATOR}{attempt}{SEPARATOR}{suffix}")
    }
}

impl SmallPart {
    /// Reads the part. `None` if it is malformed; its assignments are unknown then.
    pub fn read(&self) -> Option<ChunkRecord> {
        let assignments = self
            .assignments
            .iter()
            .map(|text| self.read_assignment(text));
        Some(ChunkRecord {
            done: self.done.clone(),
            at: assignments.collect::<Option<_>>()?,
            hi: self.highest_attempt,
            secs: self.run_tenths as f64 / TENTHS_A_SECOND,
            timed: u32::try_from(self.timed).ok()?,
        })
    }

    /// Task, attempt and machine of an assignment.
    fn read_assignment(&self, text: &str) -> Option<(u32, u64, String)> {
        let (task, rest) = text.split_once(SEPARATOR)?;
        let (attempt, suffix) = match rest.split_once(SEPARATOR) {
            Some((attempt, suffix)) => (attempt.parse().ok()?, suffix),
            None => (self.highest_attempt, rest),
        };
        let machine = format!("{}{suffix}", self.machine_prefix);
        Some((task.parse().ok()?, attempt, machine))
    }
}

#[cfg(test)]
mod tests;
