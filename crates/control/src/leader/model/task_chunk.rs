//! Chunks of a job's tasks, the units in which assignments and progress are recorded.

use super::{Assignment, AssignmentStage};
use sched::RangeSet;
use std::collections::BTreeMap;
use std::ops::Range;
use wire::records::ChunkRecord;

/// Bytes of a chunk's record in the wide form, without its tasks. This and the next are cautious estimates.
const WIDE_CHUNK_BYTES: usize = 150;
/// Bytes of an assignment in the wide form, without the machine's name.
const WIDE_ASSIGNMENT_BYTES: usize = 26;
/// Bytes of a chunk's record in the dense form, without its tasks.
const DENSE_CHUNK_BYTES: usize = 125;
/// Bytes of an assignment in the dense form, without the part of the machine's name after the common prefix.
const DENSE_ASSIGNMENT_BYTES: usize = 10;
/// Bytes of an attempt number in the dense form, which is written only where it cannot be derived.
const DENSE_ATTEMPT_BYTES: usize = 6;

/// A chunk of a job's tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Chunk {
    /// Number of the page that holds the last recorded copy.
    pub page: Option<u32>,
    /// Completed tasks.
    pub done: RangeSet,
    /// Assignments by task.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Highest attempt number of any task so far.
    pub highest_attempt: u64,
    /// Sum of the run times of the timed tasks, in seconds.
    pub run_seconds: f64,
    /// Number of timed tasks.
    pub timed_tasks: u32,
    /// Sequence number of the last change.
    pub seq: u64,
    /// Sequence number of the last change that is known to be recorded.
    pub saved_seq: u64,
}

impl Chunk {
    /// The chunk that a record on `page` describes, as of change `seq`.
    pub(super) fn from_record(record: ChunkRecord, seq: u64, page: u32) -> Self {
        let assignments = record
            .assignments
            .into_iter()
            .map(|(task, attempt, machine)| (task, Assignment::loaded(machine, attempt)));
        Chunk {
            page: Some(page),
            done: RangeSet::parse(&record.done_ranges).unwrap_or_default(),
            assignments: assignments.collect(),
            highest_attempt: record.highest_attempt,
            run_seconds: record.timed_run_s,
            timed_tasks: record.timed_tasks,
            seq,
            saved_seq: seq,
        }
    }

    /// The record that stores the chunk.
    pub fn record(&self) -> ChunkRecord {
        let assignments = self.assignments.iter();
        ChunkRecord {
            done_ranges: self.done.to_string(),
            assignments: assignments
                .map(|(task, a)| (*task, a.attempt, a.machine.clone()))
                .collect(),
            highest_attempt: self.highest_attempt,
            timed_run_s: self.run_seconds,
            timed_tasks: self.timed_tasks,
        }
    }

    /// Whether the last change is not known to be recorded.
    pub fn is_unsaved(&self) -> bool {
        self.seq > self.saved_seq
    }

    /// Whether the chunk has assignments that are not recorded yet. Their write must fail if the job is cancelled.
    pub fn has_new_assignments(&self) -> bool {
        let is_new = |assignment: &Assignment| {
            assignment.stage == AssignmentStage::Unsent && assignment.chunk_seq > self.saved_seq
        };
        self.is_unsaved() && self.assignments.values().any(is_new)
    }

    /// A cautious estimate of the size of the record in bytes of its JSON form, to which the limits apply.
    pub fn estimated_bytes(&self, dense: bool) -> usize {
        match dense {
            true => self.dense_bytes(),
            false => self.wide_bytes(),
        }
    }

    fn wide_bytes(&self) -> usize {
        let assignments = self
            .assignments
            .values()
            .map(|assignment| WIDE_ASSIGNMENT_BYTES + assignment.machine.len());
        WIDE_CHUNK_BYTES + self.done.to_string().len() + assignments.sum::<usize>()
    }

    /// Counts the common prefix of the machine names once, as the dense form writes it once.
    fn dense_bytes(&self) -> usize {
        let prefix = self.common_name_prefix_len();
        let assignments = self.assignments.values().map(|assignment| {
            let name_suffix = assignment.machine.len() - prefix;
            DENSE_ASSIGNMENT_BYTES + self.dense_attempt_bytes(assignment) + name_suffix
        });
        DENSE_CHUNK_BYTES + prefix + self.done.to_string().len() + assignments.sum::<usize>()
    }

    /// Bytes of an assignment's attempt number. It is written unless it is the chunk's highest. It is always written
    /// where the machine's name contains `:`, the separator between the two.
    fn dense_attempt_bytes(&self, assignment: &Assignment) -> usize {
        if assignment.attempt == self.highest_attempt && !assignment.machine.contains(':') {
            0
        } else {
            DENSE_ATTEMPT_BYTES
        }
    }

    /// Length in bytes of the common prefix of all machine names.
    fn common_name_prefix_len(&self) -> usize {
        let mut names = self.assignments.values().map(|a| a.machine.as_bytes());
        let Some(first) = names.next() else {
            return 0;
        };
        names
            .map(|name| common_prefix_len(name, first))
            .min()
            .unwrap_or(first.len())
    }

    /// Copies the part of a wide chunk that holds these tasks. The run times are not known by task, so they all go to
    /// the first part.
    pub(super) fn extract(&self, tasks: Range<u32>, is_first: bool) -> Chunk {
        let mut done = RangeSet::default();
        for task in self.done.iter().filter(|task| tasks.contains(task)) {
            done.insert(task);
        }
        let assignments = self
            .assignments
            .range(tasks)
            .map(|(task, assignment)| (*task, assignment.clone()));
        let (run_seconds, timed_tasks) = match is_first {
            true => (self.run_seconds, self.timed_tasks),
            false => (0.0, 0),
        };
        Chunk {
            page: self.page,
            done,
            assignments: assignments.collect(),
            highest_attempt: self.highest_attempt,
            run_seconds,
            timed_tasks,
            seq: self.seq,
            saved_seq: self.saved_seq,
        }
    }
}

/// Length of the common prefix in bytes.
fn common_prefix_len(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
