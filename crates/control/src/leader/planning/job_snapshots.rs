//! The jobs of the scheduler's snapshot, with their running and their waiting tasks.

use super::estimates::TaskEstimate;
use super::snapshot::SnapshotBuilder;
use super::waiting_tasks::unassigned_tasks;
use crate::leader::model::{Assignment, AssignmentStage, Job};
use constants::{AGED_S, QUOTA_RESERVATION_PAUSE_S, QUOTA_RESERVATION_S, URGENT_S};
use sched::{pilots_of, queue_of, JobSnapshot, Resources, RunningTask, TeamSnapshot, UNKNOWN_ZONE};

/// Share of its estimate that a task is expected to go on for at least: one that has outrun it may run on for a while.
const LEAST_REMAINING_SHARE: f64 = 0.25;
/// Seconds of a task's time, its checkpoint apart, below which preemption does not pay.
const PREEMPTION_LEAST_GAIN_S: f64 = 3.0;
/// Seconds that the preemption of a gang costs besides lost work: it finds room for itself again only with difficulty.
const GANG_PREEMPTION_COST_S: f64 = 60.0;

/// What a job's tasks on machines add up to.
#[derive(Default)]
struct JobUsage {
    /// Tasks by zone.
    by_zone: Vec<(usize, u32)>,
    pilots: u32,
    /// Seconds that the running tasks have run.
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

/// A job while it is added to the snapshot.
struct JobEntry<'a> {
    job: &'a Job,
    /// Its number in the snapshot.
    number: usize,
    team: usize,
    /// What each of its tasks takes.
    task: Resources,
    estimate: TaskEstimate,
}

/// A task on a machine, or one that may be there.
struct TaskEntry<'a> {
    task: u32,
    machine: &'a str,
    /// Nothing of an orphan.
    assignment: Option<&'a Assignment>,
}

impl<'a> SnapshotBuilder<'a> {
    /// Adds jobs, except those that only wait for their dependencies.
    pub(super) fn add_jobs(&mut self) {
        for (id, job) in &self.leader.jobs {
            if job.awaits_dependencies() && job.assigned == 0 && job.orphans.is_empty() {
                continue;
            }
            let entry = JobEntry {
                job,
                number: self.jobs.len(),
                team: self.team_number(&job.spec.team),
                task: job.task_resources(),
                estimate: self.leader.task_estimate(job),
            };
            self.jobs.push(id.clone());
            let usage = self.add_running_tasks(&entry);
            let snapshot = self.job_snapshot(&entry, usage);
            self.view.jobs.push(snapshot);
        }
    }

    /// The number of a team. One that the settings don't name has neither guarantee nor limit.
    fn team_number(&mut self, name: &str) -> usize {
        let number = self.teams.number(name);
        if number >= self.view.teams.len() {
            self.view.teams.push(TeamSnapshot::default());
        }
        number
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
        let team = &mut self.view.teams[entry.team];
        team.used.add(&entry.task);
        if task.assignment.is_some_and(|a| a.stop.is_some()) {
            team.stopping.add(&entry.task);
        }
        usage.pilots += u32::from(task.assignment.is_some_and(|a| a.pilot));
        let machines = &self.leader.machines;
        let known = machines.get(task.machine).filter(|m| m.known);
        // A machine whose zone is not known yet counts as a zone of its own: nothing is near it.
        let zone = known.map_or(UNKNOWN_ZONE, |m| self.zones.number(&m.zone));
        usage.add_to_zone(zone);
        let Some(&machine) = self.machine_numbers.get(task.machine) else {
            return;
        };
        self.view.machines[machine].free.sub(&entry.task);
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
        let host = &mut self.view.machines[machine];
        if assignment.stop.is_none() {
            host.free_after_stops.sub(&entry.task);
        }
        host.pilots += u32::from(assignment.pilot && entry.estimate.sampling);
        let now = self.now.mono;
        let running_since = assignment.running_since;
        let elapsed_s = running_since.map_or(0.0, |at| now.saturating_sub(at) as f64 / 1000.0);
        usage.elapsed_s += elapsed_s;
        let estimate_s = entry.estimate.seconds;
        let remaining_s = (estimate_s - elapsed_s).max(estimate_s * LEAST_REMAINING_SHARE);
        host.busy_s = host.busy_s.max(remaining_s);
        self.view.running.push(RunningTask {
            job: entry.number,
            task,
            machine,
            team: entry.team,
            priority: entry.job.priority() as u8,
            resources: entry.task,
            remaining_s,
            preemptible: is_preemptible(entry.job, assignment, remaining_s),
            cost_s: preemption_cost_s(entry.job, elapsed_s),
        });
    }

    fn job_snapshot(&mut self, entry: &JobEntry, usage: JobUsage) -> JobSnapshot {
        let (job, spec) = (entry.job, &entry.job.spec);
        let latest_start = self.latest_start(entry);
        let kinds = spec.machine_types.as_ref();
        let (pilots_due, queue) = (self.pilots_due(entry, &usage), self.queue(entry, &usage));
        JobSnapshot {
            team: entry.team,
            gang: job.is_gang(),
            priority: job.priority() as u8,
            task: entry.task,
            kinds: kinds.map(|t| t.iter().map(|name| self.kinds.number(name)).collect()),
            zone: spec.zone.as_ref().map(|zone| self.zones.number(zone)),
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then(|| job.tasks().div_ceil(2)),
            tasks_by_zone: usage.by_zone,
            spot: spec.spot_allowed,
            uncheckpointed: spec.checkpoint_interval_s <= 0.0 && spec.gpus <= 0.0,
            image: self.images.number(&spec.image),
            pilots_due,
            waiting: self.waiting_tasks(job),
            sampling: entry.estimate.sampling,
            queue,
            service: job.is_service(),
            order: latest_start.unwrap_or(job.ready_at),
            has_objective: latest_start.is_some(),
            running: job.assigned,
            reserved_machines: self.numbers_of(job.reserved_machines.iter()),
            backed_off: job.is_backed_off(self.now.unix),
            may_claim_limit: may_claim_limit(self.now.unix),
            urgent: self.is_urgent(job, latest_start),
            avoid: self.avoided_machines(job),
        }
    }

    /// The latest start that meets an objective. A gang that lost its machines by no fault of its own goes on with its
    /// checkpoint before others begin.
    fn latest_start(&self, entry: &JobEntry) -> Option<u64> {
        let job = entry.job;
        let was_interrupted =
            job.is_gang() && job.assigned == 0 && job.failures == 0 && job.highest_attempt() > 0;
        if was_interrupted {
            return Some(job.submitted_at);
        }
        let task_s = entry.estimate.seconds;
        self.leader.latest_start(job, task_s, self.now)
    }

    fn pilots_due(&self, entry: &JobEntry, usage: &JobUsage) -> u32 {
        if !entry.estimate.sampling {
            return 0;
        }
        let timed_tasks = entry.job.run_time_sample().timed_tasks;
        let wanted = pilots_of(&self.policy, entry.job.tasks());
        wanted.saturating_sub(usage.pilots + timed_tasks)
    }

    /// Queue by the task-seconds that are left. Services skip the queues.
    fn queue(&self, entry: &JobEntry, usage: &JobUsage) -> usize {
        let job = entry.job;
        if job.is_service() {
            return 0;
        }
        let tasks_left = job.spec.tasks.saturating_sub(job.done) as f64;
        let size = entry.estimate.seconds * tasks_left - usage.elapsed_s;
        queue_of(&self.policy, size.max(0.0))
    }

    /// Tasks of a job that may be placed now, as many as one round can use.
    fn waiting_tasks(&self, job: &Job) -> Vec<u32> {
        let now = self.now.mono;
        let open = !job.aborted
            && !job.awaits_dependencies()
            && job.pause_until <= now
            && job.orphans.is_empty();
        match open {
            true => unassigned_tasks(job, now),
            false => Vec::new(),
        }
    }

    /// Whether a job is so near its latest start, or has waited so long for its first one, that the queues' weights no
    /// longer count. A job without an objective is never urgent: it would go before all that have one.
    fn is_urgent(&self, job: &Job, latest_start: Option<u64>) -> bool {
        let now = self.now.unix;
        let soon = now + (URGENT_S * 1000.0) as u64;
        if latest_start.is_some_and(|latest| soon >= latest) {
            return true;
        }
        let begun = job.first_run.is_some() || job.assigned > 0 || job.done > 0;
        let age_s = now.saturating_sub(job.ready_at) as f64 / 1000.0;
        !begun && age_s > AGED_S
    }

    /// Machines on which tasks of the job have failed, unless it seems to fail everywhere.
    fn avoided_machines(&self, job: &Job) -> Vec<usize> {
        if job.seems_to_fail_everywhere() {
            return Vec::new();
        }
        self.numbers_of(job.failed_machines.iter())
    }

    fn numbers_of<'n>(&self, names: impl Iterator<Item = &'n String>) -> Vec<usize> {
        let numbers = names.filter_map(|name| self.machine_numbers.get(name.as_str()));
        numbers.copied().collect()
    }
}

/// Whether a gang may now set aside part of its team's limit: only for a part of each period, so that other work of the
/// team gets its turn.
fn may_claim_limit(now_unix: u64) -> bool {
    let now_s = now_unix / 1000;
    now_s % (QUOTA_RESERVATION_S + QUOTA_RESERVATION_PAUSE_S) < QUOTA_RESERVATION_S
}

/// Whether a task may be preempted: its worker has reported it, it is not part of a gang, and enough of it is left.
fn is_preemptible(job: &Job, assignment: &Assignment, remaining_s: f64) -> bool {
    assignment.stop.is_none()
        && assignment.stage == AssignmentStage::Seen
        && (!job.is_gang() || job.tasks() == 1)
        && (assignment.running_since.is_none()
            || remaining_s > job.spec.checkpoint_write_s + PREEMPTION_LEAST_GAIN_S)
}

/// Seconds that the preemption of a task costs: the time to save a checkpoint, or all its work where it takes none.
fn preemption_cost_s(job: &Job, elapsed_s: f64) -> f64 {
    let gang_cost_s = match job.is_gang() {
        true => GANG_PREEMPTION_COST_S,
        false => 0.0,
    };
    let saves = job.spec.checkpoint_interval_s > 0.0;
    gang_cost_s
        + if saves {
            job.spec.checkpoint_write_s
        } else {
            elapsed_s
        }
}
