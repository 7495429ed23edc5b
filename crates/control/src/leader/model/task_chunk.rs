//! A chunk of a job's tasks, the unit in which assignments and progress are recorded.

use super::{Assignment, AssignmentStage};
use sched::RangeSet;
use std::collections::BTreeMap;
use std::ops::Range;
use wire::records::ChunkRecord;

/// Bytes of a chunk's record in the wide form, without its tasks. This and the next are estimates, on the high side.
const WIDE_CHUNK_BYTES: usize = 150;
/// Bytes of an assignment in the wide form, beside the machine's name.
const WIDE_ASSIGNMENT_BYTES: usize = 26;
/// Bytes of a chunk's record in the dense form, without tasks.
const DENSE_CHUNK_BYTES: usize = 125;
/// Bytes of an assignment in the dense form, beside what its machine's name has on its own.
const DENSE_ASSIGNMENT_BYTES: usize = 10;
/// Bytes of an attempt's number in the dense form, which is written only where it can't be derived.
const DENSE_ATTEMPT_BYTES: usize = 6;

/// A chunk of a job's tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Chunk {
    /// Page that holds the last recorded copy.
    pub home: Option<u32>,
    /// Tasks that are done.
    pub done: RangeSet,
    /// Assignments by task.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Highest attempt given out to any task.
    pub highest_attempt: u64,
    /// Sum of the run times of timed tasks, in seconds.
    pub run_seconds: f64,
    /// Number of timed tasks.
    pub timed_tasks: u32,
    /// Number of the last change.
    pub seq: u64,
    /// Number of the last change that is known to be recorded.
    pub saved: u64,
}

impl Chunk {
    /// A chunk as the record on `page` has it, after change number `seq`.
    pub(super) fn from_record(record: ChunkRecord, seq: u64, page: u32) -> Self {
        let assignments = record
            .assignments
            .into_iter()
            .map(|(task, attempt, machine)| (task, Assignment::recorded(machine, attempt)));
        Chunk {
            home: Some(page),
            done: RangeSet::parse(&record.done_ranges).unwrap_or_default(),
            assignments: assignments.collect(),
            highest_attempt: record.highest_attempt,
            run_seconds: record.timed_run_s,
            timed_tasks: record.timed_tasks,
            seq,
            saved: seq,
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

    /// Whether its last change is not known to be recorded.
    pub fn is_unsaved(&self) -> bool {
        self.seq > self.saved
    }

    /// Whether it has assignments that are not recorded yet. Their write must fail once the job is cancelled.
    pub fn has_new_assignments(&self) -> bool {
        let is_new = |assignment: &Assignment| {
            assignment.stage == AssignmentStage::Ready && assignment.seq > self.saved
        };
        self.is_unsaved() && self.assignments.values().any(is_new)
    }

    /// A cautious estimate of the bytes of its record, in the JSON form that limits count in.
    pub fn bytes(&self, dense: bool) -> usize {
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

    /// The common prefix of the machines' names is counted once, since the dense form writes it once.
    fn dense_bytes(&self) -> usize {
        let common = self.common_name_prefix();
        let assignments = self.assignments.values().map(|assignment| {
            let name = assignment.machine.len() - common;
            DENSE_ASSIGNMENT_BYTES + self.dense_attempt_bytes(assignment) + name
        });
        DENSE_CHUNK_BYTES + common + self.done.to_string().len() + assignments.sum::<usize>()
    }

    /// An attempt's number is written out unless it is the chunk's highest. A `:` in the machine's name also has it
    /// written out, since it separates the two.
    fn dense_attempt_bytes(&self, assignment: &Assignment) -> usize {
        if assignment.attempt == self.highest_attempt && !assignment.machine.contains(':') {
            0
        } else {
            DENSE_ATTEMPT_BYTES
        }
    }

    /// Bytes at the start of the machines' names that are the same in all of them.
    fn common_name_prefix(&self) -> usize {
        let mut names = self.assignments.values().map(|a| a.machine.as_bytes());
        let Some(first) = names.next() else {
            return 0;
        };
        names
            .map(|name| common_prefix(name, first))
            .min()
            .unwrap_or(first.len())
    }

    /// The part of a wide chunk that holds these tasks. The run times can't be divided by task, so they go with the
    /// first part.
    pub(super) fn part(&self, tasks: Range<u32>, is_first: bool) -> Chunk {
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
            home: self.home,
            done,
            assignments: assignments.collect(),
            highest_attempt: self.highest_attempt,
            run_seconds,
            timed_tasks,
            seq: self.seq,
            saved: self.saved,
        }
    }
}

/// Number of bytes at the start that are the same in both.
fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
