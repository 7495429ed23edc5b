//! Jobs of the scheduler's snapshot, with their running and waiting tasks.

use super::estimates::TaskEstimate;
use super::snapshot::SnapshotBuilder;
use super::waiting_tasks::unassigned_tasks;
use crate::leader::model::{Assignment, AssignmentStage, Job};
use constants::{
    AGING_THRESHOLD_S, DEADLINE_URGENT_SLACK_S, QUOTA_RESERVATION_PAUSE_S, QUOTA_RESERVATION_S,
};
use sched::{
    max_tasks_per_zone, pilot_count, queue_for_size, JobSnapshot, Resources, RunningTask,
    TeamSnapshot, UNKNOWN_ZONE,
};

/// Minimum expected remaining run time of a task, as a share of its estimate. A task that has exceeded its estimate may
/// continue for a while.
const MIN_REMAINING_SHARE: f64 = 0.25;
/// Minimum remaining run time of a preemptible task in seconds, beyond the time to save its checkpoint. Preempting a
/// task that ends sooner gains too little.
const MIN_PREEMPTION_GAIN_S: f64 = 3.0;
/// Cost in seconds of preempting a gang, in addition to lost work: room for a whole gang is hard to find again.
const GANG_PREEMPTION_COST_S: f64 = 60.0;

/// Totals of a job's tasks on machines.
#[derive(Default)]
struct JobUsage {
    /// Number of tasks by zone.
    by_zone: Vec<(usize, u32)>,
    /// Number of assigned pilots.
    pilots: u32,
    /// Sum of the seconds that the running tasks have run.
    elapsed_s: f64,
}

impl JobUsage {
    fn add_to_zone(&mut self, zone: usize) {
        match self.by_zone.iter_mut().find(|(known, _)| *known == zone) {
            Some((_, tasks)) => *tasks += 1,
            None => self.by_zone.push((zone, 1)),
        }
    }
}

/// A job that is being added to the snapshot.
struct JobEntry<'a> {
    job: &'a Job,
    /// Index of the job in the snapshot.
    index: usize,
    /// Index of the team.
    team: usize,
    /// Resources that each task takes.
    task_resources: Resources,
    estimate: TaskEstimate,
}

/// A task that runs or may run on a machine.
struct TaskEntry<'a> {
    task: u32,
    machine: &'a str,
    /// `None` for an orphan.
    assignment: Option<&'a Assignment>,
}

impl<'a> SnapshotBuilder<'a> {
    /// Adds the jobs, except those that wait for dependencies and have no tasks on machines.
    pub(super) fn add_jobs(&mut self) {
        for (id, job) in &self.leader.jobs {
            if job.awaits_dependencies() && job.assigned_count == 0 && job.orphans.is_empty() {
                continue;
            }
            let entry = JobEntry {
                job,
                index: self.job_ids.len(),
                team: self.team_index(&job.spec.team),
                task_resources: job.task_resources(),
                estimate: self.leader.task_estimate(job),
            };
            self.job_ids.push(id.clone());
            let usage = self.add_running_tasks(&entry);
            let snapshot = self.job_snapshot(&entry, usage);
            self.cluster.jobs.push(snapshot);
        }
    }

    /// The index of a team. A team that is not in the settings has neither guarantee nor limit.
    fn team_index(&mut self, name: &str) -> usize {
        let index = self.teams.intern(name);
        if index >= self.cluster.teams.len() {
            self.cluster.teams.push(TeamSnapshot::default());
        }
        index
    }

    fn add_running_tasks(&mut self, entry: &JobEntry) -> JobUsage {
        let mut usage = JobUsage::default();
        let assigned = entry.job.assignments().map(|(task, assignment)| TaskEntry {
            task,
            machine: &assignment.machine,
            assignment: Some(assignment),
        });
        let orphans = entry.job.orphans.iter().map(|(task, machine)| TaskEntry {
            task: *task,
            machine,
            assignment: None,
        });
        for task in assigned.chain(orphans) {
            self.add_task(entry, &task, &mut usage);
        }
        usage
    }

    fn add_task(&mut self, entry: &JobEntry, task: &TaskEntry, usage: &mut JobUsage) {
        let team = &mut self.cluster.teams[entry.team];
        team.used.add(&entry.task_resources);
        if task.assignment.is_some_and(|a| a.stop.is_some()) {
            team.stopping.add(&entry.task_resources);
        }
        usage.pilots += u32::from(task.assignment.is_some_and(|a| a.pilot));
        let machines = &self.leader.machines;
        let known = machines.get(task.machine).filter(|m| m.is_described);
        // A machine whose zone is not known yet counts as being in a zone of its own, near no other.
        let zone = known.map_or(UNKNOWN_ZONE, |m| self.zones.intern(&m.zone));
        usage.add_to_zone(zone);
        let Some(&machine) = self.machine_indices.get(task.machine) else {
            return;
        };
        self.cluster.machines[machine]
            .free
            .sub(&entry.task_resources);
        if let Some(assignment) = task.assignment {
            self.add_assignment(entry, task.task, machine, assignment, usage);
        }
    }

    fn add_assignment(
        &mut self,
        entry: &JobEntry,
        task: u32,
        machine: usize,
        assignment: &Assignment,
        usage: &mut JobUsage,
    ) {
        let host = &mut self.cluster.machines[machine];
        if assignment.stop.is_none() {
            host.free_after_stops.sub(&entry.task_resources);
        }
        host.pilots += u32::from(assignment.pilot && entry.estimate.sampling);
        let now = self.now.mono;
        let running_since = assignment.running_since;
        let elapsed_s = running_since.map_or(0.0, |at| now.saturating_sub(at) as f64 / 1000.0);
        usage.elapsed_s += elapsed_s;
        let estimate_s = entry.estimate.run_time_s;
        let remaining_s = (estimate_s - elapsed_s).max(estimate_s * MIN_REMAINING_SHARE);
        host.busy_s = host.busy_s.max(remaining_s);
        self.cluster.running_tasks.push(RunningTask {
            job: entry.index,
            number: task,
            machine,
            team: entry.team,
            priority: entry.job.priority() as u8,
            resources: entry.task_resources,
            remaining_s,
            preemptible: is_preemptible(entry.job, assignment, remaining_s),
            preemption_cost_s: preemption_cost_s(entry.job, elapsed_s),
        });
    }

    fn job_snapshot(&mut self, entry: &JobEntry, usage: JobUsage) -> JobSnapshot {
        let (job, spec) = (entry.job, &entry.job.spec);
        let latest_start = self.latest_start(entry);
        let kinds = spec.machine_types.as_ref();
        let (pilots_due, queue) = (
            self.pilots_due(entry, &usage),
            self.queue_index(entry, &usage),
        );
        JobSnapshot {
            team: entry.team,
            gang: job.is_gang(),
            priority: job.priority() as u8,
            task_resources: entry.task_resources,
            machine_types: kinds.map(|t| {
                t.iter()
                    .map(|name| self.machine_types.intern(name))
                    .collect()
            }),
            required_zone: spec.zone.as_ref().map(|zone| self.zones.intern(zone)),
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then(|| max_tasks_per_zone(job.task_count())),
            tasks_by_zone: usage.by_zone,
            spot_allowed: spec.spot_allowed,
            uncheckpointed: spec.checkpoint_interval_s <= 0.0 && spec.gpus <= 0.0,
            image: self.images.intern(&spec.image),
            pilots_due,
            waiting_tasks: self.waiting_tasks(job),
            sampling: entry.estimate.sampling,
            queue,
            service: job.is_service(),
            order: latest_start.unwrap_or(job.ready_at),
            has_objective: latest_start.is_some(),
            assigned_tasks: job.assigned_count,
            reserved_machines: self.machine_indices_of(job.reserved_machines.iter()),
            backed_off: job.is_backed_off(self.now.unix),
            may_claim_limit: may_claim_limit(self.now.unix),
            urgent: self.is_urgent(job, latest_start),
            avoided_machines: self.avoided_machines(job),
        }
    }

    /// The latest start that meets an objective. A gang that was interrupted without a failure of its own is resumed
    /// from its checkpoint before others begin, so its latest start is the time of its submission.
    fn latest_start(&self, entry: &JobEntry) -> Option<u64> {
        let job = entry.job;
        let was_interrupted = job.is_gang()
            && job.assigned_count == 0
            && job.consecutive_failures == 0
            && job.highest_attempt() > 0;
        if was_interrupted {
            return Some(job.submitted_at);
        }
        let task_s = entry.estimate.run_time_s;
        self.leader.latest_start(job, task_s, self.now)
    }

    fn pilots_due(&self, entry: &JobEntry, usage: &JobUsage) -> u32 {
        if !entry.estimate.sampling {
            return 0;
        }
        let timed_tasks = entry.job.run_time_sample().timed_tasks;
        let wanted = pilot_count(&self.policy, entry.job.task_count());
        wanted.saturating_sub(usage.pilots + timed_tasks)
    }

    /// Index of the queue, by the remaining task-seconds. Services skip the queues.
    fn queue_index(&self, entry: &JobEntry, usage: &JobUsage) -> usize {
        let job = entry.job;
        if job.is_service() {
            return 0;
        }
        let tasks_left = job.spec.tasks.saturating_sub(job.done_count) as f64;
        let size = entry.estimate.run_time_s * tasks_left - usage.elapsed_s;
        queue_for_size(&self.policy, size.max(0.0))
    }

    /// Tasks of a job that may be placed now, at most as many as one round can use.
    fn waiting_tasks(&self, job: &Job) -> Vec<u32> {
        let now = self.now.mono;
        let may_start = !job.aborted
            && !job.awaits_dependencies()
            && job.backoff_until <= now
            && job.orphans.is_empty();
        match may_start {
            true => unassigned_tasks(job, now),
            false => Vec::new(),
        }
    }

    /// Whether a job is so close to its latest start, or has waited so long for its first start, that it skips the
    /// weighted sharing of the queues. A job without an objective has no latest start and becomes urgent by its waiting
    /// time only; otherwise it would precede all jobs that have an objective.
    fn is_urgent(&self, job: &Job, latest_start: Option<u64>) -> bool {
        let now = self.now.unix;
        let soon = now + (DEADLINE_URGENT_SLACK_S * 1000.0) as u64;
        if latest_start.is_some_and(|latest| soon >= latest) {
            return true;
        }
        let begun = job.first_run_at.is_some() || job.assigned_count > 0 || job.done_count > 0;
        let age_s = now.saturating_sub(job.ready_at) as f64 / 1000.0;
        !begun && age_s > AGING_THRESHOLD_S
    }

    /// Machines on which tasks of the job have failed; none if the job seems to fail everywhere.
    fn avoided_machines(&self, job: &Job) -> Vec<usize> {
        if job.seems_to_fail_everywhere() {
            return Vec::new();
        }
        self.machine_indices_of(job.failed_machines.iter())
    }

    /// Indices of the machines that are in the snapshot.
    fn machine_indices_of<'n>(&self, names: impl Iterator<Item = &'n String>) -> Vec<usize> {
        let indices = names.filter_map(|name| self.machine_indices.get(name.as_str()));
        indices.copied().collect()
    }
}

/// Whether gangs may currently claim part of their team's limit. They may do so only for a part of each period, so that
/// other work of the team gets its turn.
fn may_claim_limit(now_unix: u64) -> bool {
    let now_s = now_unix / 1000;
    now_s % (QUOTA_RESERVATION_S + QUOTA_RESERVATION_PAUSE_S) < QUOTA_RESERVATION_S
}

/// Whether a task may be preempted: it is not being stopped, its worker has reported it, it is not part of a gang of
/// several tasks, and enough of its run time is left.
fn is_preemptible(job: &Job, assignment: &Assignment, remaining_s: f64) -> bool {
    assignment.stop.is_none()
        && assignment.stage == AssignmentStage::Reported
        && (!job.is_gang() || job.task_count() == 1)
        && (assignment.running_since.is_none()
            || remaining_s > job.spec.checkpoint_write_s + MIN_PREEMPTION_GAIN_S)
}

/// Cost in seconds of preempting a task: the time to save a checkpoint, or all work so far if it takes no checkpoints.
fn preemption_cost_s(job: &Job, elapsed_s: f64) -> f64 {
    let gang_cost_s = match job.is_gang() {
        true => GANG_PREEMPTION_COST_S,
        false => 0.0,
    };
    let takes_checkpoints = job.spec.checkpoint_interval_s > 0.0;
    gang_cost_s
        + if takes_checkpoints {
            job.spec.checkpoint_write_s
        } else {
            elapsed_s
        }
}
