//! Progress of a worker's tasks over time.

use super::orders::CHANGE_REPORT_DELAY_MS;
use super::{FakeTask, FakeWorker, GangState, TaskBehaviour};
use crate::jobs::job_of;
use wire::workers::{EndCause, TaskPhase};

/// Milliseconds for which a task waits until all tasks of its gang are ready to run.
const GANG_START_TIMEOUT_MS: u64 = 35_000;

/// Outcome of one step of a task.
enum Progress {
    Unchanged,
    Changed,
    /// The task has completed in this step.
    Completed,
}

/// Inputs to the progress of a task.
struct StepContext {
    now: u64,
    behaviour: TaskBehaviour,
    gang: GangState,
    /// Milliseconds after which the running tasks of an incomplete gang end.
    gang_peer_timeout_ms: u64,
}

impl FakeWorker {
    /// Advances the tasks to the current time. Running tasks of an incomplete gang end after `gang_peer_timeout_ms`.
    /// `gang` returns the counts of a gang's attempt, and `has_result` whether a task has completed before. Returns the
    /// tasks that completed.
    pub fn advance_tasks(
        &mut self,
        now: u64,
        gang_peer_timeout_ms: u64,
        behaviour_of: impl Fn(&str) -> Option<TaskBehaviour>,
        has_result: impl Fn(&str) -> bool,
        gang: impl Fn(&str, u64) -> GangState,
    ) -> Vec<String> {
        if now < self.hung_until {
            return Vec::new();
        }
        let mut completed = Vec::new();
        let mut has_changed = false;
        for ((name, attempt), task) in &mut self.tasks {
            let Some(behaviour) = behaviour_of(name) else {
                continue;
            };
            let context = StepContext {
                now,
                behaviour,
                gang: match behaviour.gang_size {
                    0 => GangState::default(),
                    _ => gang(job_of(name), *attempt),
                },
                gang_peer_timeout_ms,
            };
            let progress = match task.phase {
                TaskPhase::Fetching if now >= task.next_phase_at => {
                    self.cached_images.insert(job_of(name).to_string());
                    task.finish_fetch(&context, self.fails_all_tasks, || has_result(name));
                    Progress::Changed
                }
                _ => task.advance(&context),
            };
            has_changed |= !matches!(progress, Progress::Unchanged);
            if matches!(progress, Progress::Completed) {
                completed.push(name.clone());
            }
        }
        if has_changed {
            self.next_report_at = self.next_report_at.min(now + CHANGE_REPORT_DELAY_MS);
        }
        completed
    }
}

impl FakeTask {
    /// Ends the image fetch: the task ends, waits for its gang, or runs.
    fn finish_fetch(
        &mut self,
        context: &StepContext,
        is_faulty: bool,
        has_result: impl Fn() -> bool,
    ) {
        if is_faulty {
            self.end(EndCause::Error);
        } else if has_result() {
            self.end(EndCause::Done);
        } else if context.behaviour.gang_size > 0 {
            self.phase = TaskPhase::Waiting;
            self.next_phase_at = context.now + GANG_START_TIMEOUT_MS;
        } else {
            self.run(context);
        }
    }

    fn run(&mut self, context: &StepContext) {
        self.phase = TaskPhase::Running;
        self.next_phase_at = context.now + context.behaviour.run_ms;
    }

    /// Advances a task that is not fetching its image.
    fn advance(&mut self, context: &StepContext) -> Progress {
        let is_due = context.now >= self.next_phase_at;
        match self.phase {
            TaskPhase::Waiting if context.gang.waiting >= context.behaviour.gang_size => {
                self.run(context);
                Progress::Changed
            }
            TaskPhase::Waiting if is_due => self.end_with(EndCause::Alone),
            TaskPhase::Running => self.advance_running(context),
            TaskPhase::Saving if is_due => self.end_with(EndCause::Stopped),
            _ => Progress::Unchanged,
        }
    }

    fn advance_running(&mut self, context: &StepContext) -> Progress {
        let is_due = context.now >= self.next_phase_at;
        let (gang, size) = (context.gang, context.behaviour.gang_size);
        if context.behaviour.fails_after_run && is_due {
            return self.end_with(EndCause::Error);
        }
        if gang.present < size {
            let since = *self.incomplete_since.get_or_insert(context.now);
            return match context.now >= since + context.gang_peer_timeout_ms {
                true => self.end_with(EndCause::Peers),
                false => Progress::Unchanged,
            };
        }
        if is_due && gang.due >= size {
            self.end(EndCause::Done);
            return Progress::Completed;
        }
        Progress::Unchanged
    }

    fn end_with(&mut self, cause: EndCause) -> Progress {
        self.end(cause);
        Progress::Changed
    }
}
