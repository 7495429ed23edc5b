//! One round of decisions: who gets free room, and who has to make room.
//!
//! Order of jobs: work that fits its team's guarantee, then priority, then pilots, then queued jobs by weighted sharing
//! between queues, then deferred tasks of arrays still being sampled, those without an objective last.
//!
//! The time budget can cut a round short. What it has decided stands; the next round works from a fresh snapshot and
//! starts with the job after the one reached.
//!
//! | module | subject |
//! | --- | --- |
//! | `decision` | the result of a round |
//! | `initial` | what a round derives from its snapshot before it starts |
//! | `rank` | the order of jobs |
//! | `placement` | which machines a task may go to, and which suits it best |
//! | `gangs` | machines for a whole gang at once |
//! | `limits` | the part of a team's limit that is left to a gang waiting for it |
//! | `room` | room made for a job that is entitled to it |
//! | `reservations` | machines reserved for gangs while they empty |
//! | `preemption` | tasks stopped to make room |

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

use crate::{ClusterSnapshot, Policy, Resources};
use initial::{earlier_reservations, long_running, queue_usage, smallest_task};
use limits::LimitClaim;

pub use decision::{Decision, Outcome};

/// A round in progress.
pub struct Round<'a> {
    policy: &'a Policy,
    snapshot: ClusterSnapshot,
    /// Weight of what runs, by queue.
    queue_usage: Vec<f64>,
    /// How many of each job's waiting tasks have been placed.
    placed: Vec<usize>,
    /// Jobs for which there is no room.
    blocked: Vec<bool>,
    /// The gang for which each machine is reserved.
    reserved_for: Vec<Option<usize>>,
    /// The gang of each team, if any, for which part of the team's limit is set aside.
    limit_claims: Vec<Option<LimitClaim>>,
    /// Resources of each team's tasks that will run for long.
    long_running: Vec<Resources>,
    decisions: Vec<Decision>,
    /// The least that any waiting task takes, resource by resource.
    smallest_task: Resources,
    /// Machines that may still take a task: most of a busy fleet is full, and a round looks at these for each task.
    open_machines: Vec<usize>,
    /// Tasks that may be stopped, by machine; filled when they are first looked for.
    victims: Option<Vec<Vec<usize>>>,
}

impl<'a> Round<'a> {
    /// A round over a snapshot.
    pub fn new(policy: &'a Policy, snapshot: ClusterSnapshot) -> Self {
        let (jobs, machines, teams) = (
            snapshot.jobs.len(),
            snapshot.machines.len(),
            snapshot.teams.len(),
        );
        let mut round = Round {
            policy,
            queue_usage: queue_usage(policy, &snapshot),
            placed: vec![0; jobs],
            blocked: vec![false; jobs],
            reserved_for: earlier_reservations(&snapshot),
            limit_claims: vec![None; teams],
            long_running: long_running(&snapshot),
            decisions: Vec::new(),
            smallest_task: smallest_task(&snapshot),
            open_machines: Vec::new(),
            victims: None,
            snapshot,
        };
        round.open_machines = (0..machines)
            .filter(|&machine| round.can_take_task(machine))
            .collect();
        round.claim_limits();
        round
    }

    /// Leaves out jobs for which the last round found no room before it was cut short: this one goes on behind them.
    pub fn exclude(&mut self, jobs: impl Iterator<Item = usize>) {
        for job in jobs {
            self.blocked[job] = true;
        }
    }

    /// Decides until nothing is left to decide or `within_budget` says that the time is up.
    pub fn run(mut self, within_budget: impl FnMut() -> bool) -> Outcome {
        let finished = self.decide(within_budget);
        self.decide_reservations();
        let is_blocked = |&job: &usize| self.blocked[job] && self.tasks_left(job) > 0;
        Outcome {
            blocked: (0..self.blocked.len()).filter(is_blocked).collect(),
            decisions: self.decisions,
            finished,
        }
    }

    fn decide(&mut self, mut within_budget: impl FnMut() -> bool) -> bool {
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
            // A placement improves no other job's rank, so this job stays first until it ranks behind the second.
            loop {
                if !self.place_next(job) {
                    self.skip(job);
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

    /// Leaves a job out of the rest of the round, after making room for it if it is entitled to that.
    fn skip(&mut self, job: usize) {
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
        self.snapshot.jobs[job].waiting.len() - self.placed[job]
    }

    /// What the job would ask for next: one task, or the whole gang.
    fn demand(&self, job: usize) -> Resources {
        let spec = &self.snapshot.jobs[job];
        let tasks = if spec.gang { self.tasks_left(job) } else { 1 };
        spec.task.times(tasks as f64)
    }

    /// Whether the next task of a job is a pilot.
    fn next_is_pilot(&self, job: usize) -> bool {
        (self.placed[job] as u32) < self.snapshot.jobs[job].pilots_due
    }

    /// Places the next task or the gang; false if there is no room.
    fn place_next(&mut self, job: usize) -> bool {
        let demand = self.demand(job);
        let team = &self.snapshot.teams[self.snapshot.jobs[job].team];
        let mut with_claim = demand;
        with_claim.add(&self.claimed_ahead_of(job));
        if !team.allows(&with_claim) {
            self.blocked[job] = true;
            self.claim_limit(job);
            return false;
        }
        let entitled = team.entitles(&demand);
        if self.snapshot.jobs[job].gang {
            self.place_gang(job, entitled)
        } else {
            self.place_task(job, entitled)
        }
    }

    fn place_gang(&mut self, job: usize, entitled: bool) -> bool {
        let Some(chosen) = self.gang_machines(job, |machine| machine.free, false) else {
            return false;
        };
        let waiting = &self.snapshot.jobs[job].waiting[self.placed[job]..];
        let tasks: Vec<(u32, usize)> = waiting.iter().copied().zip(chosen).collect();
        for &(_, machine) in &tasks {
            self.occupy(job, machine, false);
            self.reserved_for[machine] = None;
        }
        self.release_reservations(job);
        self.placed[job] += tasks.len();
        self.decisions.push(Decision::Place {
            job,
            tasks,
            pilots: false,
            entitled,
        });
        true
    }

    fn place_task(&mut self, job: usize, entitled: bool) -> bool {
        let pilot = self.next_is_pilot(job);
        let Some(machine) = self.best_machine(job, pilot) else {
            return false;
        };
        let task = self.snapshot.jobs[job].waiting[self.placed[job]];
        self.occupy(job, machine, pilot);
        self.placed[job] += 1;
        self.decisions.push(Decision::Place {
            job,
            tasks: vec![(task, machine)],
            pilots: pilot,
            entitled,
        });
        true
    }

    /// Counts a task of the job as running on the machine.
    fn occupy(&mut self, job: usize, machine: usize, pilot: bool) {
        let task = self.snapshot.jobs[job].task;
        let target = &mut self.snapshot.machines[machine];
        target.free.sub(&task);
        target.free_after_stops.sub(&task);
        target.pilots += u32::from(pilot);
        target.free_slots = target.free_slots.saturating_sub(1);
        let zone = target.zone;
        let spec = &mut self.snapshot.jobs[job];
        add_to_zone(&mut spec.tasks_by_zone, zone, 1);
        if let Some(usage) = self.queue_usage.get_mut(spec.queue) {
            *usage += task.weight();
        }
        self.snapshot.teams[spec.team].used.add(&task);
        if !self.can_take_task(machine) {
            if let Some(at) = self.open_machines.iter().position(|&open| open == machine) {
                self.open_machines.swap_remove(at);
            }
        }
    }
}

/// Adds to the number of tasks in a zone.
fn add_to_zone(zones: &mut Vec<(usize, u32)>, zone: usize, tasks: u32) {
    match zones.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, count)) => *count += tasks,
        None => zones.push((zone, tasks)),
    }
}
