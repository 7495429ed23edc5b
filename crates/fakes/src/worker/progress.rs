//! The progress of a worker's tasks.

use super::orders::CHANGE_REPORT_MS;
use super::{Behaviour, FakeTask, FakeWorker, Gang};
use crate::jobs::job_of;
use wire::workers::{EndCause, TaskPhase};

/// Milliseconds for which a task waits for the others of its gang.
const GANG_WAIT_MS: u64 = 35_000;

/// What has become of a task.
enum Progress {
    Unchanged,
    Changed,
    /// It has completed just now.
    Completed,
}

/// What the progress of a task depends on.
struct Context {
    now: u64,
    behaviour: Behaviour,
    gang: Gang,
    /// Milliseconds after which the running tasks of an incomplete gang end.
    peer_ms: u64,
}

impl FakeWorker {
    /// Lets time pass for its tasks, given the time after which the tasks of an incomplete gang end. `gang` tells
    /// which tasks of an attempt are present, `has_result` which tasks have completed before. Returns tasks that
    /// completed.
    pub fn advance(
        &mut self,
        now: u64,
        peer_ms: u64,
        behave: impl Fn(&str) -> Option<Behaviour>,
        has_result: impl Fn(&str) -> bool,
        gang: impl Fn(&str, u64) -> Gang,
    ) -> Vec<String> {
        if now < self.hung_until {
            return Vec::new();
        }
        let mut completed = Vec::new();
        let mut has_changed = false;
        for ((name, attempt), task) in &mut self.tasks {
            let Some(behaviour) = behave(name) else {
                continue;
            };
            let context = Context {
                now,
                behaviour,
                gang: match behaviour.gang {
                    0 => Gang::default(),
                    _ => gang(job_of(name), *attempt),
                },
                peer_ms,
            };
            let progress = match task.phase {
                TaskPhase::Fetching if now >= task.next_at => {
                    self.images.insert(job_of(name).to_string());
                    task.begin(&context, self.faulty, || has_result(name));
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
            self.report_at = self.report_at.min(now + CHANGE_REPORT_MS);
        }
        completed
    }
}

impl FakeTask {
    /// The image has been fetched.
    fn begin(&mut self, context: &Context, is_faulty: bool, has_result: impl Fn() -> bool) {
        if is_faulty {
            self.end(EndCause::Error);
        } else if has_result() {
            self.end(EndCause::Done);
        } else if context.behaviour.gang > 0 {
            self.phase = TaskPhase::Waiting;
            self.next_at = context.now + GANG_WAIT_MS;
        } else {
            self.run(context);
        }
    }

    fn run(&mut self, context: &Context) {
        self.phase = TaskPhase::Running;
        self.next_at = context.now + context.behaviour.run_ms;
    }

    /// Advances a task that has its image.
    fn advance(&mut self, context: &Context) -> Progress {
        let is_due = context.now >= self.next_at;
        match self.phase {
            TaskPhase::Waiting if context.gang.waiting >= context.behaviour.gang => {
                self.run(context);
                Progress::Changed
            }
            TaskPhase::Waiting if is_due => self.ended(EndCause::Alone),
            TaskPhase::Running => self.advance_running(context),
            TaskPhase::Saving if is_due => self.ended(EndCause::Stopped),
            _ => Progress::Unchanged,
        }
    }

    fn advance_running(&mut self, context: &Context) -> Progress {
        let is_due = context.now >= self.next_at;
        let (gang, size) = (context.gang, context.behaviour.gang);
        if context.behaviour.fails && is_due {
            return self.ended(EndCause::Error);
        }
        if gang.present < size {
            let since = *self.incomplete_since.get_or_insert(context.now);
            return match context.now >= since + context.peer_ms {
                true => self.ended(EndCause::Peers),
                false => Progress::Unchanged,
            };
        }
        if is_due && gang.due >= size {
            self.end(EndCause::Done);
            return Progress::Completed;
        }
        Progress::Unchanged
    }

    fn ended(&mut self, cause: EndCause) -> Progress {
        self.end(cause);
        Progress::Changed
    }
}
