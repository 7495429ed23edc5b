//! Decisions of a round carried out: tasks assigned, tasks preempted, machines reserved.

use crate::effects::Now;
use crate::leader::worker_heartbeats::PREEMPTED;
use crate::leader::Leader;
use crate::requests::RecordId;
use sched::{Decision, JobSnapshot};

/// Seconds that a preempted task gets besides the time to save its checkpoint.
const PREEMPTION_EXTRA_GRACE_S: f64 = 1.0;

/// Where a job was queued in a round, for the log.
#[derive(Clone, Copy)]
pub(super) struct JobQueue {
    queue: usize,
    sampling: bool,
}

impl JobQueue {
    /// Where the job is queued in this round.
    pub fn of(job: &JobSnapshot) -> Self {
        JobQueue {
            queue: job.queue,
            sampling: job.sampling,
        }
    }
}

/// What the numbers in a round's decisions stand for.
pub(super) struct RoundSubjects {
    /// Ids of the jobs, by number.
    pub jobs: Vec<String>,
    /// Queues of the jobs, by number.
    pub queues: Vec<JobQueue>,
    /// Names of the machines, by number.
    pub machines: Vec<String>,
}

/// Tasks of one job to be assigned together.
struct Placement<'a> {
    job: &'a str,
    /// Pairs of task and number of the machine.
    tasks: Vec<(u32, usize)>,
    pilots: bool,
}

impl Leader {
    /// Carries out the decisions of a round. Its reservations replace those of the last round.
    pub(super) fn carry_out(
        &mut self,
        decisions: Vec<Decision>,
        subjects: &RoundSubjects,
        now: Now,
    ) {
        for job in self.jobs.values_mut() {
            job.reserved_machines.clear();
        }
        for decision in decisions {
            match decision {
                Decision::Reserve { job, machines } => self.reserve(job, &machines, subjects),
                Decision::Place {
                    job,
                    tasks,
                    pilots,
                    entitled,
                } => {
                    let placement = Placement {
                        job: &subjects.jobs[job],
                        tasks,
                        pilots,
                    };
                    log_placement(&placement, subjects.queues[job], entitled, subjects);
                    self.assign(&placement, subjects, now);
                }
                Decision::Stop { job, task, by } => {
                    self.preempt(&subjects.jobs[job], task, &subjects.jobs[by], now);
                }
            }
        }
    }

    fn reserve(&mut self, job: usize, machines: &[usize], subjects: &RoundSubjects) {
        if let Some(job) = self.jobs.get_mut(&subjects.jobs[job]) {
            let names = machines.iter().map(|&m| subjects.machines[m].clone());
            job.reserved_machines = names.collect();
        }
    }

    fn preempt(&mut self, id: &str, task: u32, by: &str, now: Now) {
        let job = self.jobs.get(id);
        let grace_s = job.map_or(0.0, |job| {
            job.spec.checkpoint_write_s + PREEMPTION_EXTRA_GRACE_S
        });
        log::info!("event=preempt task={id}/{task} by={by}");
        self.stop_task(id, task, grace_s, PREEMPTED, now);
        self.next_housekeeping = now.mono;
    }

    /// Assigns tasks to machines, and queues the record of that: nothing is sent before it is saved.
    fn assign(&mut self, placement: &Placement, subjects: &RoundSubjects, now: Now) {
        let id = placement.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let highest_attempt = job.highest_attempt();
        // Missing tasks of a gang that still gathers join its present attempt.
        let present_attempt = job.assignments().map(|(_, a)| a.attempt).max();
        for &(task, machine) in &placement.tasks {
            let attempt = if job.is_gang() {
                present_attempt.unwrap_or(highest_attempt + 1)
            } else {
                job.chunk(task).map_or(0, |chunk| chunk.highest_attempt) + 1
            };
            let name = &subjects.machines[machine];
            job.put(task, name, attempt, placement.pilots, now.mono);
            if let Some(machine) = self.machines.get_mut(name) {
                machine.assignments.insert((id.to_string(), task));
            }
        }
        for &(_, machine) in &placement.tasks {
            self.note_pending_orders(subjects.machines[machine].clone());
        }
        self.queue_write(RecordId::Job(id.to_string()));
    }
}

fn log_placement(
    placement: &Placement,
    JobQueue { queue, sampling }: JobQueue,
    entitled: bool,
    subjects: &RoundSubjects,
) {
    let first = placement.tasks.first();
    log::info!(
        "event=place job={} tasks={} first={:?} pilot={} entitled={entitled} queue={queue} sampling={sampling}",
        placement.job,
        placement.tasks.len(),
        first.map(|(task, machine)| (*task, &subjects.machines[*machine])),
        placement.pilots
    );
}
