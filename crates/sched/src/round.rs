//! One round of decisions: who gets free room, and who has to make room.
//!
//! Order of jobs: work that fits its team's guarantee, then priority, then pilots, queued jobs (by weighted
//! sharing between queues), and held tasks of arrays still being sampled, those without any aim last. A round can be cut
//! short by its time budget; what it decided so far stands, and the next round works from a fresh snapshot, starting with the
//! job after the one reached.
//!
//! | module | subject |
//! | --- | --- |
//! | `rank` | the order of jobs |
//! | `placement` | which machines a task may go to, and which suits it best |
//! | `gangs` | machines for a whole gang at once |
//! | `limits` | what of a team's limit is left to a gang that waits for it |
//! | `room` | room for a job that has a right to it |
//! | `reservations` | machines reserved for gangs while they empty |
//! | `preemption` | tasks stopped to make room |

mod gangs;
mod limits;
mod placement;
mod preemption;
mod rank;
mod reservations;
mod room;

use crate::{ClusterSnapshot, Policy, Resources};
use constants::LASTING_S;
use limits::LimitClaim;

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Place tasks of a job; of a gang all its waiting tasks at once.
    Place {
        /// Job.
        job: usize,
        /// (task, machine).
        tasks: Vec<(u32, usize)>,
        /// Whether they are pilots.
        pilots: bool,
        /// Whether they ran within the guarantee at that moment.
        entitled: bool,
    },
    /// Stop a task to make room.
    Stop {
        /// Job of the task.
        job: usize,
        /// Task.
        task: u32,
        /// Job that needs the room.
        by: usize,
    },
    /// Reserve machines for a gang, so that they do not fill up before it finds room on them.
    Reserve {
        /// Gang.
        job: usize,
        /// Machines.
        machines: Vec<usize>,
    },
}

/// What came of a round.
#[derive(Debug, Default)]
pub struct Outcome {
    /// What is to be done.
    pub decisions: Vec<Decision>,
    /// Whether it got to the end.
    pub finished: bool,
    /// Jobs for which there was no room.
    pub blocked: Vec<usize>,
}

/// A round under way.
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
    /// The gang of each team that waits for the team's limit and is left what it needs.
    limit_claims: Vec<Option<LimitClaim>>,
    /// What of each team's use is expected to go on for long.
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

    /// Leaves out jobs for which an earlier round, cut short since, found no room: this one goes on behind them.
    pub fn exclude(&mut self, jobs: impl Iterator<Item = usize>) {
        for job in jobs {
            self.blocked[job] = true;
        }
    }

    /// Decides until nothing is left to decide or `go_on` says stop.
    pub fn run(mut self, go_on: impl FnMut() -> bool) -> Outcome {
        let finished = self.decide(go_on);
        self.decide_reservations();
        let is_blocked = |&job: &usize| self.blocked[job] && self.tasks_left(job) > 0;
        Outcome {
            blocked: (0..self.blocked.len()).filter(is_blocked).collect(),
            decisions: self.decisions,
            finished,
        }
    }

    fn decide(&mut self, mut go_on: impl FnMut() -> bool) -> bool {
        let mut waiting: Vec<usize> = (0..self.snapshot.jobs.len()).collect();
        loop {
            if !go_on() {
                return false;
            }
            waiting.retain(|&job| !self.blocked[job] && self.tasks_left(job) > 0);
            let (first, second) = self.first_two(&waiting);
            let Some((_, job)) = first else {
                return true;
            };
            // What is placed makes no other job's rank better, so this one goes on while it stays ahead of what
            // was the second.
            loop {
                if !self.place_next(job) {
                    self.give_up(job);
                    break;
                }
                let overtaken = second.is_some_and(|second| second < (self.rank(job), job));
                if self.tasks_left(job) == 0 || overtaken {
                    break;
                }
                if !go_on() {
                    return false;
                }
            }
        }
    }

    /// Passes over a job for which there is no room, after making room for it if it has a right to that.
    fn give_up(&mut self, job: usize) {
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
        target.soon.sub(&task);
        target.pilots += u32::from(pilot);
        target.slots = target.slots.saturating_sub(1);
        let zone = target.zone;
        let spec = &mut self.snapshot.jobs[job];
        add_to_zone(&mut spec.zones_used, zone, 1);
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

/// Weight of what runs of each queue's jobs.
fn queue_usage(policy: &Policy, snapshot: &ClusterSnapshot) -> Vec<f64> {
    let mut usage = vec![0.0; policy.queues.max(1)];
    for job in &snapshot.jobs {
        if let Some(queue) = usage.get_mut(job.queue) {
            *queue += f64::from(job.running) * job.task.weight();
        }
    }
    usage
}

/// Reservations of earlier rounds stay: machines chosen anew each round would fill up again in between.
fn earlier_reservations(snapshot: &ClusterSnapshot) -> Vec<Option<usize>> {
    let mut reserved_for = vec![None; snapshot.machines.len()];
    for (number, job) in snapshot.jobs.iter().enumerate() {
        for &machine in job
            .reserved_machines
            .iter()
            .filter(|_| !job.waiting.is_empty())
        {
            if snapshot.machines[machine].usable || snapshot.machines[machine].coming_s.is_some() {
                reserved_for[machine] = Some(number);
            }
        }
    }
    reserved_for
}

/// What of each team's use is expected to go on for long.
fn long_running(snapshot: &ClusterSnapshot) -> Vec<Resources> {
    let mut long_running = vec![Resources::default(); snapshot.teams.len()];
    for task in snapshot
        .running
        .iter()
        .filter(|task| task.left_s > LASTING_S)
    {
        long_running[task.team].add(&task.resources);
    }
    long_running
}

/// The least that any waiting task takes, resource by resource.
fn smallest_task(snapshot: &ClusterSnapshot) -> Resources {
    let waiting = snapshot.jobs.iter().filter(|job| !job.waiting.is_empty());
    let smallest = waiting.map(|job| job.task).reduce(|a, b| a.min(&b));
    smallest.unwrap_or_default()
}

/// Adds to the number of tasks in a zone.
fn add_to_zone(zones: &mut Vec<(usize, u32)>, zone: usize, tasks: u32) {
    match zones.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, count)) => *count += tasks,
        None => zones.push((zone, tasks)),
    }
}

#[cfg(test)]
mod tests;
