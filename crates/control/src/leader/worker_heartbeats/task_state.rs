//! State changes of assigned tasks that heartbeats report: present, absent or ended.

use crate::effects::Now;
use crate::leader::model::{Assignment, AssignmentStage, Job};
use crate::leader::Leader;
use constants::JOB_FAILURE_BACKOFF_MS;
use wire::workers::{EndCause, TaskPhase, WorkerHeartbeat};

/// Milliseconds of backoff of a job after a worker refused to start one of its tasks. No task failed, so the backoff is
/// shorter than after an error.
const REFUSED_START_PAUSE_MS: u64 = JOB_FAILURE_BACKOFF_MS / 2;

/// Changes that a heartbeat made to an assignment.
struct AssignmentUpdate {
    machine: String,
    /// When the assignment was decided.
    assigned_at: u64,
    /// The worker has executed the start that was sent to it.
    is_start_delivered: bool,
    is_new_phase: bool,
    is_running: bool,
    /// This heartbeat is the first to report the task as running.
    is_first_run: bool,
}

/// A task that has ended on its machine.
struct EndedTask<'a> {
    job: &'a str,
    task: u32,
    machine: &'a str,
    cause: EndCause,
    running_since: Option<u64>,
}

impl EndedTask<'_> {
    /// Seconds for which the task ran, if its start was observed.
    fn ran_s(&self, now: u64) -> Option<f64> {
        let since = self.running_since?;
        Some(now.saturating_sub(since) as f64 / 1000.0)
    }
}

impl Leader {
    /// Handles an assigned task that a heartbeat lists as not ended.
    pub(super) fn on_task_present(&mut self, id: &str, task: u32, phase: TaskPhase, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(assignment) = job.assignment_mut(task) else {
            return;
        };
        let update = update_assignment(assignment, phase, now.mono);
        if update.is_new_phase {
            log_phase(id, task, assignment);
            self.round_due = true;
        }
        if update.is_running {
            record_job_running(job, id, update.assigned_at, now);
        }
        self.record_start_latency(&update, now.mono);
        if phase != TaskPhase::Fetching {
            self.record_cached_image(&update.machine, image, image_gb, now.mono);
        }
    }

    /// Adds the delivery and the first run of a task to the start latencies.
    fn record_start_latency(&mut self, update: &AssignmentUpdate, now: u64) {
        let latency_ms = now.saturating_sub(update.assigned_at);
        if update.is_start_delivered {
            if let Some(machine) = self.machines.get_mut(&update.machine) {
                machine.undelivered_starts = 0;
            }
            self.start_latencies.seen.add(latency_ms);
        }
        if update.is_first_run {
            self.start_latencies.ran.add(latency_ms);
        }
    }

    /// Handles an assigned task that a heartbeat with this leader's term does not list.
    pub(super) fn on_task_absent(
        &mut self,
        id: &str,
        task: u32,
        heartbeat: &WorkerHeartbeat,
        now: Now,
    ) {
        let assignment = self.jobs.get(id).and_then(|job| job.assignment(task));
        let Some(stage) = assignment.map(|assignment| assignment.stage) else {
            return;
        };
        match stage {
            AssignmentStage::Unsent => {}
            AssignmentStage::Sent { incarnation, seq } => {
                // A worker has one heartbeat in flight at a time, so it wrote a later heartbeat after it had executed
                // or dropped the answer with the start.
                if (heartbeat.incarnation, heartbeat.seq) > (incarnation, seq) {
                    self.on_start_not_executed(id, task, incarnation, heartbeat, now);
                }
            }
            AssignmentStage::Loaded => {
                self.release_assignment(id, task, "recorded but not on its machine", now)
            }
            AssignmentStage::Reported => {
                self.release_assignment(id, task, "no longer on its machine", now)
            }
        }
    }

    /// Handles a start that was sent to an `incarnation` of a worker and not executed. The start is sent again if that
    /// incarnation continues, answers reach it and the task is not to be stopped. Otherwise the assignment is released.
    fn on_start_not_executed(
        &mut self,
        id: &str,
        task: u32,
        incarnation: u64,
        heartbeat: &WorkerHeartbeat,
        now: Now,
    ) {
        let is_unreachable = self.count_undelivered_start(&heartbeat.machine, now.mono);
        let job = self.jobs.get_mut(id);
        let Some(assignment) = job.and_then(|job| job.assignment_mut(task)) else {
            return;
        };
        let is_same_incarnation = incarnation == heartbeat.incarnation;
        if is_same_incarnation && assignment.stop.is_none() && !is_unreachable {
            assignment.stage = AssignmentStage::Unsent;
        } else {
            self.release_assignment(id, task, "the start never arrived", now);
        }
    }

    /// Handles an assigned task that a heartbeat lists as ended.
    pub(super) fn on_task_ended(
        &mut self,
        id: &str,
        task: u32,
        machine: &str,
        cause: EndCause,
        now: Now,
    ) {
        let job = self.jobs.get(id);
        let Some(assignment) = job.and_then(|job| job.assignment(task)) else {
            return;
        };
        log::info!(
            "event=task_ended task={id}/{task} try={} machine={machine} cause={cause:?} ran_ms={}",
            assignment.attempt,
            assignment.running_since.map_or(0, |at| now.mono - at)
        );
        let ended = EndedTask {
            job: id,
            task,
            machine,
            cause,
            running_since: assignment.running_since,
        };
        match cause {
            EndCause::Done => self.on_task_done(&ended, now.mono),
            EndCause::Error | EndCause::Other => self.on_task_failed(&ended, now.mono),
            EndCause::NoRoom | EndCause::Busy | EndCause::Unknown => {
                self.on_start_refused(&ended, now.mono)
            }
            EndCause::Stopped | EndCause::Peers | EndCause::Alone => {}
        }
        if cause != EndCause::Done {
            self.break_gang(&ended);
        }
        self.release_assignment(id, task, "ended", now);
    }

    fn on_task_done(&mut self, ended: &EndedTask, now: u64) {
        let Some(job) = self.jobs.get_mut(ended.job) else {
            return;
        };
        let ran_s = ended.ran_s(now);
        let sample = job.run_time_sample();
        job.consecutive_failures = 0;
        job.failed_under_earlier_leaders = false;
        job.failed_machines.clear();
        complete_task(job, ended.task, ran_s);
        let Some(machine) = self.machines.get_mut(ended.machine) else {
            return;
        };
        machine.failed_jobs.clear();
        if let Some(ran_s) = ran_s.filter(|_| sample.timed_tasks > 0 && sample.mean_s > 0.0) {
            machine.relative_run_times.0 += ran_s / sample.mean_s;
            machine.relative_run_times.1 += 1;
        }
    }

    fn on_task_failed(&mut self, ended: &EndedTask, now: u64) {
        let Some(job) = self.jobs.get_mut(ended.job) else {
            return;
        };
        job.consecutive_failures += 1;
        job.backoff_until = now + job.failure_backoff_ms();
        job.failed_machines.insert(ended.machine.to_string());
        // A job that fails on one machine after another is no evidence that any of the machines is faulty.
        if job.seems_to_fail_everywhere() {
            return;
        }
        if let Some(machine) = self.machines.get_mut(ended.machine) {
            machine.failed_jobs.insert(ended.job.to_string());
        }
    }

    fn on_start_refused(&mut self, ended: &EndedTask, now: u64) {
        if let Some(job) = self.jobs.get_mut(ended.job) {
            job.backoff_until = job.backoff_until.max(now + REFUSED_START_PAUSE_MS);
        }
    }

    /// Marks a gang as broken if it can't continue after one of its tasks ended without being done.
    fn break_gang(&mut self, ended: &EndedTask) {
        let Some(job) = self.jobs.get_mut(ended.job).filter(|job| job.is_gang()) else {
            return;
        };
        job.gathering_timed_out |= ended.cause == EndCause::Alone && !job.gang_started;
        job.gang_broken |= job.gang_started || ended.cause != EndCause::NoRoom;
    }
}

/// Updates an assignment with the phase that a heartbeat reports.
fn update_assignment(assignment: &mut Assignment, phase: TaskPhase, now: u64) -> AssignmentUpdate {
    // The run time is measured only if this leader observed the start of the task, which it did not if the assignment
    // was read from its record.
    let is_timed = assignment.stage != AssignmentStage::Loaded;
    let is_start_delivered = matches!(assignment.stage, AssignmentStage::Sent { .. });
    let is_new_phase = assignment.phase != Some(phase);
    let is_running = matches!(phase, TaskPhase::Running | TaskPhase::Saving);
    assignment.stage = AssignmentStage::Reported;
    assignment.phase = Some(phase);
    if is_running && assignment.running_since.is_none() && is_timed {
        assignment.running_since = Some(now);
    }
    AssignmentUpdate {
        machine: assignment.machine.clone(),
        assigned_at: assignment.decided_at,
        is_start_delivered,
        is_new_phase,
        is_running,
        is_first_run: is_running && assignment.running_since == Some(now),
    }
}

fn log_phase(id: &str, task: u32, assignment: &Assignment) {
    let Some(phase) = assignment.phase else {
        return;
    };
    log::debug!(
        "event=task_phase task={id}/{task} try={} machine={} phase={phase:?}",
        assignment.attempt,
        assignment.machine
    );
}

/// Records that a task of a job is running, and logs the job's first run.
fn record_job_running(job: &mut Job, id: &str, assigned_at: u64, now: Now) {
    job.gang_started = true;
    if job.first_run_at.is_some() {
        return;
    }
    job.first_run_at = Some(now.mono);
    log::info!(
        "event=job_started job={id} class={} tasks={} waited_s={:.1} placed_ago_s={:.1}",
        job.spec.class,
        job.spec.tasks,
        now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0,
        now.mono.saturating_sub(assigned_at) as f64 / 1000.0
    );
}

/// Marks a task as done. All tasks of a gang complete together, so one done task proves that all are done.
fn complete_task(job: &mut Job, task: u32, ran_s: Option<f64>) {
    if !job.is_gang() {
        job.complete(task, ran_s);
        return;
    }
    for member in 0..job.task_count() {
        job.complete(member, ran_s.filter(|_| member == task));
    }
}
