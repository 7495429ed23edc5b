//! One scheduling round: places waiting tasks on free capacity, preempts running tasks and reserves machines for gangs.
//!
//! Jobs are ordered by these criteria: work within the guarantee of its team goes first, then work of higher priority,
//! then pilots and services, then queued jobs by weighted sharing between the queues, then deferred tasks of arrays
//! that are still being sampled, of which those without an objective go last.
//!
//! A round that exceeds its time budget ends early. Its decisions remain valid. The next round works from a new
//! snapshot and continues with the jobs that rank after those for which this round found no capacity.
//!
//! Jobs, machines and teams are referred to by their index in the snapshot.
//!
//! | module | subject |
//! | --- | --- |
//! | `decision` | the result of a round |
//! | `initial` | state that a round derives from its snapshot before it starts |
//! | `rank` | the order of jobs |
//! | `placement` | machines that a task may be placed on, and their placement costs |
//! | `gangs` | machines for all tasks of a gang at once |
//! | `limits` | the part of a team's limit that is set aside for a waiting gang |
//! | `room` | capacity freed or reserved for a job that could not be placed |
//! | `reservations` | machines reserved for gangs while they drain |
//! | `preemption` | tasks stopped to make room for other jobs |
//! | `zone_room` | tasks chosen for a job by zone, within what its zones may take |

mod decision;
mod gangs;
mod initial;
mod limits;
mod placement;
mod preemption;
mod rank;
mod reservations;
mod room;
#[cfg(test)]
mod tests;
mod zone_room;

use crate::{ClusterSnapshot, Policy, Resources};
use initial::{earlier_reservations, long_running, queue_usage, smallest_task};
use limits::LimitClaim;

pub use decision::{Decision, RoundOutcome};

/// A scheduling round in progress.
pub struct Round<'a> {
    policy: &'a Policy,
    snapshot: ClusterSnapshot,
    /// Total resource weight of the tasks on machines, by queue.
    queue_usage: Vec<f64>,
    /// Number of waiting tasks that this round has placed, by job.
    placed_tasks: Vec<usize>,
    /// Whether a job is left out of the rest of the round, by job.
    blocked: Vec<bool>,
    /// The gang for which a machine is reserved, by machine.
    reserved_for: Vec<Option<usize>>,
    /// The claim of a gang on part of its team's limit, by team.
    limit_claims: Vec<Option<LimitClaim>>,
    /// Resources of the tasks that are expected to run for long, by team.
    long_running: Vec<Resources>,
    decisions: Vec<Decision>,
    /// The minimum of each resource over all waiting tasks.
    smallest_task: Resources,
    /// Machines with capacity for a further task. Most machines of a busy fleet are full, and a round examines every
    /// machine of this list for each task.
    open_machines: Vec<usize>,
    /// Indexes of the running tasks that may be preempted, by machine. Computed when first needed.
    preemptible_tasks: Option<Vec<Vec<usize>>>,
}

impl<'a> Round<'a> {
    /// Starts a round over a snapshot.
    pub fn new(policy: &'a Policy, snapshot: ClusterSnapshot) -> Self {
        let (jobs, machines, teams) = (
            snapshot.jobs.len(),
            snapshot.machines.len(),
            snapshot.teams.len(),
        );
        let mut round = Round {
            policy,
            queue_usage: queue_usage(policy, &snapshot),
            placed_tasks: vec![0; jobs],
            blocked: vec![false; jobs],
            reserved_for: earlier_reservations(&snapshot),
            limit_claims: vec![None; teams],
            long_running: long_running(&snapshot),
            decisions: Vec::new(),
            smallest_task: smallest_task(&snapshot),
            open_machines: Vec::new(),
            preemptible_tasks: None,
            snapshot,
        };
        round.open_machines = (0..machines)
            .filter(|&machine| round.can_take_task(machine))
            .collect();
        round.claim_limits();
        round
    }

    /// Excludes jobs for which the previous round found no capacity before its time budget ran out, so that this round
    /// continues with the jobs that rank after them.
    pub fn exclude(&mut self, jobs: impl Iterator<Item = usize>) {
        for job in jobs {
            self.blocked[job] = true;
        }
    }

    /// Makes decisions until none are left to make or `within_budget` returns false.
    pub fn run(mut self, within_budget: impl FnMut() -> bool) -> RoundOutcome {
        let finished = self.place_jobs(within_budget);
        self.decide_reservations();
        let is_blocked = |&job: &usize| self.blocked[job] && self.tasks_left(job) > 0;
        RoundOutcome {
            blocked: (0..self.blocked.len()).filter(is_blocked).collect(),
            decisions: self.decisions,
            finished,
        }
    }

    /// Places tasks in the order of their jobs; false if the time budget ran out first.
    fn place_jobs(&mut self, mut within_budget: impl FnMut() -> bool) -> bool {
        let mut waiting: Vec<usize> = (0..self.snapshot.jobs.len()).collect();
        loop {
            if !within_budget() {
                return false;
            }
            waiting.retain(|&job| !self.blocked[job] && self.tasks_left(job) > 0);
            let (first, second) = self.first_two(&waiting);
            let Some((_, job)) = first else {
                return true;
            };
            // A placement does not improve the rank of any other job, so this job stays first until it ranks behind
            // the second.
            loop {
                if !self.place_next(job) {
                    self.block(job);
                    break;
                }
                let overtaken = second.is_some_and(|second| second < (self.rank(job), job));
                if self.tasks_left(job) == 0 || overtaken {
                    break;
                }
                if !within_budget() {
                    return false;
                }
            }
        }
    }

    /// Leaves a job out of the rest of the round. Unless it is blocked already, first tries to free or reserve capacity
    /// for it.
    fn block(&mut self, job: usize) {
        if !self.blocked[job] {
            self.make_room(job);
            if self.reserved_for.contains(&Some(job)) {
                self.claim_limit(job);
            }
        }
        self.blocked[job] = true;
    }

    /// Number of waiting tasks that have not been placed yet.
    fn tasks_left(&self, job: usize) -> usize {
        self.snapshot.jobs[job].waiting_tasks.len() - self.placed_tasks[job]
    }

    /// Resources of the job's next placement: those of one task, or of the rest of a gang.
    fn next_demand(&self, job: usize) -> Resources {
        let job_snapshot = &self.snapshot.jobs[job];
        let tasks = if job_snapshot.gang {
            self.tasks_left(job)
        } else {
            1
        };
        job_snapshot.task_resources.times(tasks as f64)
    }

    /// Whether the next task of a job is a pilot.
    fn next_is_pilot(&self, job: usize) -> bool {
        (self.placed_tasks[job] as u32) < self.snapshot.jobs[job].pilots_due
    }

    /// Places the next task of a job, or the rest of a gang; false if its team's limit or the lack of capacity prevents
    /// it.
    fn place_next(&mut self, job: usize) -> bool {
        let demand = self.next_demand(job);
        let team = &self.snapshot.teams[self.snapshot.jobs[job].team];
        let mut with_claim = demand;
        with_claim.add(&self.claimed_ahead_of(job));
        if !team.is_within_limit(&with_claim) {
            self.blocked[job] = true;
            self.claim_limit(job);
            return false;
        }
        let entitled = team.is_within_guarantee(&demand);
        if self.snapshot.jobs[job].gang {
            self.place_gang(job, entitled)
        } else {
            self.place_task(job, entitled)
        }
    }

    /// Places all waiting tasks of a gang; false if there is no capacity for all of them.
    fn place_gang(&mut self, job: usize, entitled: bool) -> bool {
        let Some(chosen) = self.gang_machines(job, |machine| machine.free, false) else {
            return false;
        };
        let waiting = &self.snapshot.jobs[job].waiting_tasks[self.placed_tasks[job]..];
        let tasks: Vec<(u32, usize)> = waiting.iter().copied().zip(chosen).collect();
        for &(_, machine) in &tasks {
            self.count_placement(job, machine, false);
            self.reserved_for[machine] = None;
        }
        self.release_reservations(job);
        self.placed_tasks[job] += tasks.len();
        self.decisions.push(Decision::Place {
            job,
            tasks,
            pilots: false,
            entitled,
        });
        true
    }

    /// Places the next task of a job; false if no machine has capacity for it.
    fn place_task(&mut self, job: usize, entitled: bool) -> bool {
        let pilot = self.next_is_pilot(job);
        let Some(machine) = self.best_machine(job, pilot) else {
            return false;
        };
        let task = self.snapshot.jobs[job].waiting_tasks[self.placed_tasks[job]];
        self.count_placement(job, machine, pilot);
        self.placed_tasks[job] += 1;
        self.decisions.push(Decision::Place {
            job,
            tasks: vec![(task, machine)],
            pilots: pilot,
            entitled,
        });
        true
    }

    /// Updates the snapshot and the usage of queue and team for a task that has been placed on a machine.
    fn count_placement(&mut self, job: usize, machine: usize, pilot: bool) {
        let task = self.snapshot.jobs[job].task_resources;
        let target = &mut self.snapshot.machines[machine];
        target.free.sub(&task);
        target.free_after_stops.sub(&task);
        target.pilots += u32::from(pilot);
        target.free_slots = target.free_slots.saturating_sub(1);
        let zone = target.zone;
        let job_snapshot = &mut self.snapshot.jobs[job];
        add_to_zone(&mut job_snapshot.tasks_by_zone, zone, 1);
        if let Some(usage) = self.queue_usage.get_mut(job_snapshot.queue) {
            *usage += task.weight();
        }
        self.snapshot.teams[job_snapshot.team].used.add(&task);
        if !self.can_take_task(machine) {
            if let Some(at) = self.open_machines.iter().position(|&open| open == machine) {
                self.open_machines.swap_remove(at);
            }
        }
    }
}

/// Adds `tasks` to the number of tasks in a zone.
fn add_to_zone(zones: &mut Vec<(usize, u32)>, zone: usize, tasks: u32) {
    match zones.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, count)) => *count += tasks,
        None => zones.push((zone, tasks)),
    }
}
