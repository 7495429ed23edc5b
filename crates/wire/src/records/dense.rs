//! The dense encoding of a chunk of a job's tasks. A small state service accepts only small values, and few of them.

use super::ChunkRecord;
use serde::{Deserialize, Serialize};

/// Separates task, attempt and machine in an assignment.
const SEPARATOR: char = ':';
/// Run times are stored in tenths of a second.
const TENTHS_PER_SECOND: f64 = 10.0;

/// A chunk of a job in the dense encoding, as an entry of a page. It has [`constants::DENSE_CHUNK_TASKS`] tasks, whereas a
/// [`super::PageEntry`] has [`constants::WIDE_CHUNK_TASKS`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DensePageEntry {
    /// Job id.
    #[serde(rename = "j")]
    pub job: String,
    /// Number of the chunk within the job.
    #[serde(rename = "p")]
    pub chunk_number: u32,
    /// Sequence number of the chunk's last change. A chunk that was split off continues the sequence of the original
    /// chunk.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Content of the chunk.
    #[serde(rename = "c")]
    pub chunk: DenseChunk,
}

/// Content of a chunk in the dense encoding.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DenseChunk {
    /// Done tasks as ranges.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done_ranges: String,
    /// Common prefix of the names of all assigned machines.
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machine_prefix: String,
    /// Assignments, `task:suffix of the machine's name`, or `task:attempt:suffix` if the attempt is not the highest.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    assignments: Vec<String>,
    /// Highest attempt assigned so far.
    #[serde(rename = "h", default)]
    highest_attempt: u64,
    /// Total run time of the done tasks that were timed, in tenths of a second.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    timed_run_tenths: u64,
    /// Number of done tasks that were timed.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    timed_tasks: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The longest common prefix of two strings.
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

impl From<&ChunkRecord> for DenseChunk {
    fn from(chunk: &ChunkRecord) -> Self {
        let names = chunk
            .assignments
            .iter()
            .map(|(_, _, machine)| machine.as_str());
        let machine_prefix = names.reduce(common_prefix).unwrap_or_default();
        let assignments = chunk.assignments.iter().map(|(task, attempt, machine)| {
            let suffix = &machine[machine_prefix.len()..];
            encode_assignment(*task, *attempt, suffix, chunk.highest_attempt)
        });
        DenseChunk {
            done_ranges: chunk.done_ranges.clone(),
            assignments: assignments.collect(),
            machine_prefix: machine_prefix.to_string(),
            highest_attempt: chunk.highest_attempt,
            timed_run_tenths: (chunk.timed_run_s.max(0.0) * TENTHS_PER_SECOND) as u64,
            timed_tasks: u64::from(chunk.timed_tasks),
        }
    }
}

/// Encodes an assignment. The attempt is omitted if it is the highest one, unless the suffix contains a separator.
fn encode_assignment(task: u32, attempt: u64, suffix: &str, highest_attempt: u64) -> String {
    if attempt == highest_attempt && !suffix.contains(SEPARATOR) {
        format!("{task}{SEPARATOR}{suffix}")
    } else {
        format!("{task}{SEPARATOR}{attempt}{SEPARATOR}{suffix}")
    }
}

impl DenseChunk {
    /// Decodes the chunk. Returns `None` if it is malformed, in which case its assignments are unknown.
    pub fn decode(&self) -> Option<ChunkRecord> {
        let assignments = self
            .assignments
            .iter()
            .map(|text| self.decode_assignment(text));
        Some(ChunkRecord {
            done_ranges: self.done_ranges.clone(),
            assignments: assignments.collect::<Option<_>>()?,
            highest_attempt: self.highest_attempt,
            timed_run_s: self.timed_run_tenths as f64 / TENTHS_PER_SECOND,
            timed_tasks: u32::try_from(self.timed_tasks).ok()?,
        })
    }

    /// Decodes an assignment to task, attempt and machine.
    fn decode_assignment(&self, text: &str) -> Option<(u32, u64, String)> {
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
