//! The two forms in which a job's tasks are divided into chunks.
//!
//! Wide chunks hold `CHUNK_TASKS` tasks; every version reads them. The dense form has chunks of `SMALL_TASKS` tasks,
//! which fit into smaller records. A job goes from the wide form to the dense one, never back.

use super::Job;
use std::ops::Range;

impl Job {
    /// Number of the chunk that a task is in.
    pub(super) fn chunk_number(&self, task: u32) -> u32 {
        task / self.tasks_per_chunk
    }

    /// Whether the job is in the dense form.
    pub fn is_dense(&self) -> bool {
        self.tasks_per_chunk == constants::DENSE_CHUNK_TASKS
    }

    /// Chunks that a recorded copy covers: a wide one, written before the split, covers several.
    pub fn parts_in(&self, part: u32, wide: bool) -> Range<u32> {
        let covered = match wide {
            true => constants::WIDE_CHUNK_TASKS / self.tasks_per_chunk,
            false => 1,
        };
        part * covered..(part + 1) * covered
    }

    /// Changes to the dense form by splitting each chunk.
    ///
    /// The new chunks continue the change numbers of the chunk that they were split from, so that recorded copies in
    /// both forms can be ordered by them.
    pub fn split(&mut self) {
        if self.is_dense() {
            return;
        }
        self.tasks_per_chunk = constants::DENSE_CHUNK_TASKS;
        for (wide_number, wide_chunk) in std::mem::take(&mut self.chunks) {
            let numbers = self.parts_in(wide_number, true);
            for number in numbers.clone() {
                let tasks = self.tasks_in(number);
                if tasks.start >= self.tasks() {
                    break;
                }
                let part = wide_chunk.part(tasks, number == numbers.start);
                self.chunks.insert(number, part);
            }
        }
    }

    fn tasks_in(&self, number: u32) -> Range<u32> {
        number * self.tasks_per_chunk..(number + 1) * self.tasks_per_chunk
    }
}
