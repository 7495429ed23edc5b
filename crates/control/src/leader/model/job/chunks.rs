//! Assignments and progress of a job's tasks, divided into chunks.

use super::Job;
use crate::leader::model::{Assignment, AssignmentStage, Chunk};
use sched::RangeSet;
use wire::records::ChunkRecord;

/// Run times of a job's tasks that were timed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunTimeSample {
    /// Mean run time in seconds, 0 if none was timed.
    pub mean_s: f64,
    /// How many tasks were timed.
    pub timed_tasks: u32,
}

impl Job {
    /// The chunk that a task is in, if it has been created.
    pub fn chunk(&self, task: u32) -> Option<&Chunk> {
        self.chunks.get(&self.chunk_number(task))
    }

    fn chunk_mut(&mut self, task: u32) -> Option<&mut Chunk> {
        let number = self.chunk_number(task);
        self.chunks.get_mut(&number)
    }

    fn chunk_or_default(&mut self, task: u32) -> &mut Chunk {
        let number = self.chunk_number(task);
        self.chunks.entry(number).or_default()
    }

    /// The assignment of a task.
    pub fn assignment(&self, task: u32) -> Option<&Assignment> {
        self.chunk(task)?.assignments.get(&task)
    }

    /// The assignment of a task, to be changed. What is recorded of it is changed by [`Job::put`] and
    /// [`Job::unassign`] only.
    pub fn assignment_mut(&mut self, task: u32) -> Option<&mut Assignment> {
        self.chunk_mut(task)?.assignments.get_mut(&task)
    }

    /// All assignments, by task.
    pub fn assignments(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        self.chunks
            .values()
            .flat_map(|chunk| &chunk.assignments)
            .map(|(task, assignment)| (*task, assignment))
    }

    /// Whether everything known about a task's chunk is recorded.
    pub fn is_saved(&self, task: u32) -> bool {
        self.chunk(task).is_none_or(|chunk| !chunk.is_unsaved())
    }

    /// Whether a task has an assignment that is recorded and whose start has not been sent.
    pub fn is_startable(&self, task: u32) -> bool {
        let Some(chunk) = self.chunk(task) else {
            return false;
        };
        chunk.assignments.get(&task).is_some_and(|assignment| {
            assignment.stage == AssignmentStage::Ready
                && assignment.seq <= chunk.saved
                && assignment.stop.is_none()
        })
    }

    /// Takes a chunk from a record that is in the job's present form.
    pub fn load_chunk(&mut self, number: u32, seq: u64, record: ChunkRecord, page: u32) {
        let chunk = Chunk::from_record(record, seq, page);
        self.chunks.insert(number, chunk);
    }

    /// Counts what the loaded chunks hold.
    pub fn count_chunks(&mut self) {
        self.busy = RangeSet::default();
        self.done = 0;
        self.assigned = 0;
        for chunk in self.chunks.values() {
            self.done += chunk.done.len();
            self.assigned += chunk.assignments.len() as u32;
            let assigned_tasks = chunk.assignments.keys().copied();
            for task in chunk.done.iter().chain(assigned_tasks) {
                self.busy.insert(task);
            }
        }
    }

    /// Assigns a task to a machine. The caller has checked that it has no assignment.
    pub fn put(&mut self, task: u32, machine: &str, attempt: u64, pilot: bool, now: u64) {
        let chunk = self.chunk_or_default(task);
        chunk.seq += 1;
        chunk.highest_attempt = chunk.highest_attempt.max(attempt);
        let assignment = Assignment::ready(machine, attempt, chunk.seq, pilot, now);
        chunk.assignments.insert(task, assignment);
        self.assigned += 1;
        self.busy.insert(task);
    }

    /// Removes the assignment of a task, whether the task is done or not.
    pub fn unassign(&mut self, task: u32) -> Option<Assignment> {
        let chunk = self.chunk_mut(task)?;
        let assignment = chunk.assignments.remove(&task)?;
        chunk.seq += 1;
        let is_done = chunk.done.contains(task);
        self.assigned -= 1;
        if !is_done {
            self.busy.remove(task);
        }
        if self.assigned == 0 {
            self.started = false;
            self.broken = false;
            self.gathering_timed_out = false;
        }
        Some(assignment)
    }

    /// Records a task as done; true if that is new.
    pub fn complete(&mut self, task: u32, secs: Option<f64>) -> bool {
        let chunk = self.chunk_or_default(task);
        if !chunk.done.insert(task) {
            return false;
        }
        chunk.seq += 1;
        if let Some(secs) = secs {
            chunk.run_seconds += secs;
            chunk.timed_tasks += 1;
        }
        self.busy.insert(task);
        self.done += 1;
        true
    }

    /// Highest attempt given out to any task.
    pub fn highest_attempt(&self) -> u64 {
        self.chunks
            .values()
            .map(|chunk| chunk.highest_attempt)
            .max()
            .unwrap_or(0)
    }

    /// What the tasks that were timed say of the job's run time.
    pub fn run_time_sample(&self) -> RunTimeSample {
        let run_seconds: f64 = self.chunks.values().map(|chunk| chunk.run_seconds).sum();
        let timed_tasks: u32 = self.chunks.values().map(|chunk| chunk.timed_tasks).sum();
        RunTimeSample {
            mean_s: run_seconds / f64::from(timed_tasks.max(1)),
            timed_tasks,
        }
    }
}
