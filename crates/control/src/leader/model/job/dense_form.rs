//! The two forms in which a job's tasks are divided into chunks.
//!
//! Chunks in the wide form hold `WIDE_CHUNK_TASKS` tasks; every version can read them. Chunks in the dense form hold
//! `DENSE_CHUNK_TASKS` tasks and fit into smaller records. A job is converted from the wide to the dense form, never back.

use super::Job;
use std::ops::Range;

impl Job {
    /// Number of the chunk that holds a task.
    pub(super) fn chunk_number(&self, task: u32) -> u32 {
        task / self.tasks_per_chunk
    }

    /// Whether the job is in the dense form.
    pub fn is_dense(&self) -> bool {
        self.tasks_per_chunk == constants::DENSE_CHUNK_TASKS
    }

    /// Numbers of the chunks that a recorded copy covers. A wide copy, written before the split, covers several dense
    /// chunks.
    pub fn covered_chunks(&self, number: u32, is_wide: bool) -> Range<u32> {
        let count = match is_wide {
            true => constants::WIDE_CHUNK_TASKS / self.tasks_per_chunk,
            false => 1,
        };
        number * count..(number + 1) * count
    }

    /// Converts the job to the dense form by splitting each chunk.
    ///
    /// The new chunks continue the sequence numbers of the chunk that they were split from, so that recorded copies in
    /// both forms can be ordered by them.
    pub fn split_into_dense_chunks(&mut self) {
        if self.is_dense() {
            return;
        }
        self.tasks_per_chunk = constants::DENSE_CHUNK_TASKS;
        for (wide_number, wide_chunk) in std::mem::take(&mut self.chunks) {
            let numbers = self.covered_chunks(wide_number, true);
            for number in numbers.clone() {
                let tasks = self.tasks_in(number);
                if tasks.start >= self.task_count() {
                    break;
                }
                let part = wide_chunk.extract(tasks, number == numbers.start);
                self.chunks.insert(number, part);
            }
        }
    }

    fn tasks_in(&self, number: u32) -> Range<u32> {
        number * self.tasks_per_chunk..(number + 1) * self.tasks_per_chunk
    }
}
