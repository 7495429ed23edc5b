//! Application of a round's decisions: assigns tasks, preempts tasks and reserves machines.

use crate::effects::Now;
use crate::leader::worker_heartbeats::PREEMPTED;
use crate::leader::Leader;
use crate::requests::RecordId;
use sched::{Decision, JobSnapshot};

/// Seconds that a preempted task is given in addition to the time for saving its checkpoint.
const PREEMPTION_EXTRA_GRACE_S: f64 = 1.0;

/// Queue of a job in a round, for the log.
#[derive(Clone, Copy)]
pub(super) struct JobQueue {
    /// Index of the queue.
    queue: usize,
    /// Whether the job's size was still being sampled.
    sampling: bool,
}

impl JobQueue {
    /// The queue of a job in its snapshot.
    pub fn of(job: &JobSnapshot) -> Self {
        JobQueue {
            queue: job.queue,
            sampling: job.sampling,
        }
    }
}

/// Names behind the indices in a round's decisions.
pub(super) struct IndexedNames {
    /// Ids of the jobs, by index.
    pub job_ids: Vec<String>,
    /// Queues of the jobs, by index.
    pub job_queues: Vec<JobQueue>,
    /// Names of the machines, by index.
    pub machine_names: Vec<String>,
}

/// Tasks of one job that are assigned together.
struct Placement<'a> {
    job: &'a str,
    /// Pairs of task number and machine index.
    tasks: Vec<(u32, usize)>,
    /// Whether the tasks are pilots.
    pilots: bool,
}

impl Leader {
    /// Applies the decisions of a round. Its reservations replace those of the previous round.
    pub(super) fn apply_decisions(
        &mut self,
        decisions: Vec<Decision>,
        names: &IndexedNames,
        now: Now,
    ) {
        for job in self.jobs.values_mut() {
            job.reserved_machines.clear();
        }
        for decision in decisions {
            match decision {
                Decision::Reserve { job, machines } => self.reserve(job, &machines, names),
                Decision::Place {
                    job,
                    tasks,
                    pilots,
                    entitled,
                } => {
                    let placement = Placement {
                        job: &names.job_ids[job],
                        tasks,
                        pilots,
                    };
                    log_placement(&placement, names.job_queues[job], entitled, names);
                    self.assign(&placement, names, now);
                }
                Decision::Preempt { job, task, by } => {
                    self.preempt(&names.job_ids[job], task, &names.job_ids[by], now);
                }
            }
        }
    }

    fn reserve(&mut self, job: usize, machines: &[usize], names: &IndexedNames) {
        if let Some(job) = self.jobs.get_mut(&names.job_ids[job]) {
            let reserved = machines.iter().map(|&m| names.machine_names[m].clone());
            job.reserved_machines = reserved.collect();
        }
    }

    fn preempt(&mut self, id: &str, task: u32, by: &str, now: Now) {
        let job = self.jobs.get(id);
        let grace_s = job.map_or(0.0, |job| {
            job.spec.checkpoint_write_s + PREEMPTION_EXTRA_GRACE_S
        });
        log::info!("event=preempt task={id}/{task} by={by}");
        self.stop_task(id, task, grace_s, PREEMPTED, now);
        self.next_housekeeping_at = now.mono;
    }

    /// Assigns tasks to machines and queues the job's record. The starts are sent only after it is saved.
    fn assign(&mut self, placement: &Placement, names: &IndexedNames, now: Now) {
        let id = placement.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let highest_attempt = job.highest_attempt();
        // The missing tasks of a gang that is still gathering join its current attempt.
        let current_attempt = job.assignments().map(|(_, a)| a.attempt).max();
        for &(task, machine) in &placement.tasks {
            let attempt = if job.is_gang() {
                current_attempt.unwrap_or(highest_attempt + 1)
            } else {
                job.chunk(task).map_or(0, |chunk| chunk.highest_attempt) + 1
            };
            let name = &names.machine_names[machine];
            job.assign(task, name, attempt, placement.pilots, now.mono);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.assignments.insert((id.to_string(), task));
            }
        }
        for &(_, machine) in &placement.tasks {
            self.note_pending_orders(names.machine_names[machine].clone());
        }
        self.queue_write(RecordId::Job(id.to_string()));
    }
}

fn log_placement(
    placement: &Placement,
    JobQueue { queue, sampling }: JobQueue,
    entitled: bool,
    names: &IndexedNames,
) {
    let first = placement.tasks.first();
    log::info!(
        "event=place job={} tasks={} first={:?} pilot={} entitled={entitled} queue={queue} sampling={sampling}",
        placement.job,
        placement.tasks.len(),
        first.map(|(task, machine)| (*task, &names.machine_names[*machine])),
        placement.pilots
    );
}
