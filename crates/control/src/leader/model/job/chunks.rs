//! Assignments and progress of a job's tasks, divided into chunks.

use super::Job;
use crate::leader::model::{Assignment, AssignmentStage, Chunk};
use sched::RangeSet;
use wire::records::ChunkRecord;

/// Summary of the run times of a job's timed tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunTimeSample {
    /// Mean run time in seconds, 0 if none was timed.
    pub mean_s: f64,
    /// Number of timed tasks.
    pub timed_tasks: u32,
}

impl Job {
    /// The chunk that holds a task, if it has been created.
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

    /// The assignment of a task, for changes to what is not recorded of it. Only [`Job::assign`] and [`Job::unassign`]
    /// change what is recorded.
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

    /// Whether all changes of a task's chunk are recorded.
    pub fn is_chunk_saved(&self, task: u32) -> bool {
        self.chunk(task).is_none_or(|chunk| !chunk.is_unsaved())
    }

    /// Whether a task has a recorded assignment whose `launch` has not been sent and that is not to be stopped.
    pub fn is_startable(&self, task: u32) -> bool {
        let Some(chunk) = self.chunk(task) else {
            return false;
        };
        chunk.assignments.get(&task).is_some_and(|assignment| {
            assignment.stage == AssignmentStage::Unsent
                && assignment.chunk_seq <= chunk.saved_seq
                && assignment.stop.is_none()
        })
    }

    /// Loads a chunk from a record in the job's current form.
    pub fn load_chunk(&mut self, number: u32, seq: u64, record: ChunkRecord, page: u32) {
        let chunk = Chunk::from_record(record, seq, page);
        self.chunks.insert(number, chunk);
    }

    /// Recomputes the job's totals from its loaded chunks.
    pub fn recount_tasks(&mut self) {
        self.done_or_assigned = RangeSet::default();
        self.done_count = 0;
        self.assigned_count = 0;
        for chunk in self.chunks.values() {
            self.done_count += chunk.done.len();
            self.assigned_count += chunk.assignments.len() as u32;
            let assigned_tasks = chunk.assignments.keys().copied();
            for task in chunk.done.iter().chain(assigned_tasks) {
                self.done_or_assigned.insert(task);
            }
        }
    }

    /// Assigns a task to a machine. The task must not have an assignment.
    pub fn assign(&mut self, task: u32, machine: &str, attempt: u64, pilot: bool, now: u64) {
        let chunk = self.chunk_or_default(task);
        chunk.seq += 1;
        chunk.highest_attempt = chunk.highest_attempt.max(attempt);
        let assignment = Assignment::unsent(machine, attempt, chunk.seq, pilot, now);
        chunk.assignments.insert(task, assignment);
        self.assigned_count += 1;
        self.done_or_assigned.insert(task);
    }

    /// Removes the assignment of a task, whether or not the task is done.
    pub fn unassign(&mut self, task: u32) -> Option<Assignment> {
        let chunk = self.chunk_mut(task)?;
        let assignment = chunk.assignments.remove(&task)?;
        chunk.seq += 1;
        let is_done = chunk.done.contains(task);
        self.assigned_count -= 1;
        if !is_done {
            self.done_or_assigned.remove(task);
        }
        if self.assigned_count == 0 {
            self.gang_started = false;
            self.gang_broken = false;
            self.gathering_timed_out = false;
        }
        Some(assignment)
    }

    /// Marks a task as done and adds its run time, if known. Returns false if the task was done already.
    pub fn complete(&mut self, task: u32, run_time_s: Option<f64>) -> bool {
        let chunk = self.chunk_or_default(task);
        if !chunk.done.insert(task) {
            return false;
        }
        chunk.seq += 1;
        if let Some(run_time_s) = run_time_s {
            chunk.run_seconds += run_time_s;
            chunk.timed_tasks += 1;
        }
        self.done_or_assigned.insert(task);
        self.done_count += 1;
        true
    }

    /// Highest attempt number of any task so far.
    pub fn highest_attempt(&self) -> u64 {
        self.chunks
            .values()
            .map(|chunk| chunk.highest_attempt)
            .max()
            .unwrap_or(0)
    }

    /// Mean run time and number of the job's timed tasks.
    pub fn run_time_sample(&self) -> RunTimeSample {
        let run_seconds: f64 = self.chunks.values().map(|chunk| chunk.run_seconds).sum();
        let timed_tasks: u32 = self.chunks.values().map(|chunk| chunk.timed_tasks).sum();
        RunTimeSample {
            mean_s: run_seconds / f64::from(timed_tasks.max(1)),
            timed_tasks,
        }
    }
}
