//! Preemption: stops tasks of lower priority, or, for a job within its team's guarantee, tasks of teams that use more
//! than their own guarantee.

use super::zone_room::ZoneRoom;
use super::{Decision, Round};
use crate::{Resources, RunningTask, TeamSnapshot};
use constants::IMAGE_FETCH_COST_S;

/// Cost in seconds of stopping a task, besides the cost of its preemption in lost work.
const STOP_COST_S: f64 = 5.0;
/// Cost in seconds of making room on a slow machine.
const SLOW_MACHINE_COST_S: f64 = 2.0 * IMAGE_FETCH_COST_S;

/// The job for which tasks are preempted.
#[derive(Clone, Copy)]
struct Preemptor {
    job: usize,
    team: usize,
    priority: u8,
    gang: bool,
    /// Resources of each of its tasks.
    task_resources: Resources,
    image: usize,
    /// Whether its next placement fits its team's guarantee.
    entitled: bool,
    /// Number of tasks to make room for.
    needed: u32,
}

/// Room that preemption could make on a machine.
struct PreemptionOption {
    cost_s: f64,
    machine: usize,
    /// Running tasks to stop, by their index in the snapshot.
    victims: Vec<usize>,
    /// How many tasks of the job the machine has room for then.
    tasks: u32,
}

impl Round<'_> {
    /// Preempts tasks for the job; false, without stopping any, if that would not make enough room.
    pub(super) fn preempt(&mut self, job: usize, entitled: bool) -> bool {
        if self.preemptible_tasks.is_none() {
            self.preemptible_tasks = Some(self.group_preemptible_tasks());
        }
        let preemptor = self.preemptor(job, entitled);
        if !self.may_find_victims(&preemptor) {
            return false;
        }
        let mut options = self.preemption_options(&preemptor);
        options.sort_by(|a, b| a.cost_s.total_cmp(&b.cost_s));
        let one_zone = self.snapshot.jobs[job].one_zone;
        if one_zone && !self.retain_one_zone(&mut options, preemptor.needed) {
            return false;
        }
        self.limit_to_zone_room(job, &mut options);
        if options.iter().map(|option| option.tasks).sum::<u32>() < preemptor.needed {
            return false;
        }
        self.stop_victims(&preemptor, options);
        true
    }

    /// The job's needs, as far as preemption considers them.
    fn preemptor(&self, job: usize, entitled: bool) -> Preemptor {
        let job_snapshot = &self.snapshot.jobs[job];
        let needed = if job_snapshot.gang {
            self.tasks_left(job) as u32
        } else {
            1
        };
        Preemptor {
            job,
            team: job_snapshot.team,
            priority: job_snapshot.priority,
            gang: job_snapshot.gang,
            task_resources: job_snapshot.task_resources,
            image: job_snapshot.image,
            entitled,
            needed,
        }
    }

    /// Indexes of the running tasks that may be preempted, by machine.
    fn group_preemptible_tasks(&self) -> Vec<Vec<usize>> {
        let mut by_machine = vec![Vec::new(); self.snapshot.machines.len()];
        for (index, task) in self.snapshot.running_tasks.iter().enumerate() {
            if task.preemptible {
                by_machine[task.machine].push(index);
            }
        }
        by_machine
    }

    /// Whether any task could be preempted. Most waiting jobs can preempt none, and this check spares them the
    /// examination of every machine.
    fn may_find_victims(&self, preemptor: &Preemptor) -> bool {
        let lower = |task: &RunningTask| task.preemptible && task.priority < preemptor.priority;
        let uses_full_guarantee =
            |team: &TeamSnapshot| team.keeps_guarantee_without(&Resources::default());
        self.snapshot.running_tasks.iter().any(lower)
            || preemptor.entitled && self.snapshot.teams.iter().any(uses_full_guarantee)
    }

    /// Machines on which preemption can make room for at least one task of the job.
    fn preemption_options(&self, preemptor: &Preemptor) -> Vec<PreemptionOption> {
        let job = preemptor.job;
        let mut options = Vec::new();
        for (machine, preemptible) in self.preemptible_tasks.iter().flatten().enumerate() {
            if !self.is_allowed(job, machine)
                || !self.is_available(job, machine)
                || self.zone_capacity(job, self.snapshot.machines[machine].zone) == 0
            {
                continue;
            }
            let preemptible = self.cheapest_first(job, preemptible);
            if preemptible.is_empty()
                && !self.snapshot.machines[machine]
                    .free_after_stops
                    .can_fit(&preemptor.task_resources)
            {
                continue;
            }
            let option = self.preemption_option_on(machine, preemptor, preemptible);
            if option.tasks > 0 {
                options.push(option);
            }
        }
        options
    }

    /// Tasks of other jobs that may still be preempted: lowest priority first, then lowest preemption cost.
    fn cheapest_first(&self, job: usize, preemptible: &[usize]) -> Vec<usize> {
        let running = &self.snapshot.running_tasks;
        let may_stop = |&task: &usize| running[task].preemptible && running[task].job != job;
        let mut tasks: Vec<usize> = preemptible.iter().copied().filter(may_stop).collect();
        tasks.sort_by(|&a, &b| {
            let (a, b) = (&running[a], &running[b]);
            let by_priority = a.priority.cmp(&b.priority);
            by_priority.then(a.preemption_cost_s.total_cmp(&b.preemption_cost_s))
        });
        tasks
    }

    /// The room on a machine after as many preemptions as are needed for one task of the job to fit, as far as the
    /// machine's tasks may be preempted for the job.
    fn preemption_option_on(
        &self,
        machine: usize,
        preemptor: &Preemptor,
        preemptible: Vec<usize>,
    ) -> PreemptionOption {
        let host = &self.snapshot.machines[machine];
        let (mut victims, mut cost_s) = (Vec::new(), 0.0);
        if !host.images.contains(&preemptor.image) {
            // The room is needed soon, and fetching the image may take longer than the stopped tasks need to save their
            // checkpoints.
            cost_s += IMAGE_FETCH_COST_S;
        }
        if host.slow {
            cost_s += SLOW_MACHINE_COST_S;
        }
        let mut room = host.free_after_stops;
        let mut teams = self.snapshot.teams.clone();
        for index in preemptible {
            if room.can_fit(&preemptor.task_resources) {
                break;
            }
            let task = &self.snapshot.running_tasks[index];
            let is_beyond_guarantee = preemptor.entitled
                && task.team != preemptor.team
                && teams[task.team].keeps_guarantee_without(&task.resources);
            if task.priority < preemptor.priority || is_beyond_guarantee {
                room.add(&task.resources);
                teams[task.team].stopping.add(&task.resources);
                cost_s += task.preemption_cost_s + STOP_COST_S;
                victims.push(index);
            }
        }
        PreemptionOption {
            cost_s,
            machine,
            victims,
            tasks: room.capacity_for(&preemptor.task_resources, preemptor.needed),
        }
    }

    /// Reduces the options, in their order, to the tasks that their zones may take.
    fn limit_to_zone_room(&self, job: usize, options: &mut Vec<PreemptionOption>) {
        let mut zone_room = ZoneRoom::new(self, job);
        for option in options.iter_mut() {
            option.tasks = zone_room.take(option.machine, option.tasks);
        }
        options.retain(|option| option.tasks > 0);
    }

    /// Retains the options of the first zone that has room for all tasks; false if no zone has.
    fn retain_one_zone(&self, options: &mut Vec<PreemptionOption>, needed: u32) -> bool {
        let zone_of = |option: &PreemptionOption| self.snapshot.machines[option.machine].zone;
        let room_in = |zone: usize| -> u32 {
            let here = options.iter().filter(|option| zone_of(option) == zone);
            here.map(|option| option.tasks).sum()
        };
        let mut zones = options.iter().map(zone_of);
        let Some(zone) = zones.find(|&zone| room_in(zone) >= needed) else {
            return false;
        };
        options.retain(|option| zone_of(option) == zone);
        true
    }

    /// Preempts the tasks of options in the given order until there is room for all tasks of the job that need it.
    fn stop_victims(&mut self, preemptor: &Preemptor, options: Vec<PreemptionOption>) {
        let mut needed = preemptor.needed;
        for option in options {
            if needed == 0 {
                break;
            }
            for victim in option.victims {
                self.stop_victim(preemptor, victim);
            }
            if preemptor.gang {
                self.reserved_for[option.machine] = Some(preemptor.job);
            } else {
                self.snapshot.machines[option.machine]
                    .free_after_stops
                    .sub(&preemptor.task_resources);
            }
            needed = needed.saturating_sub(option.tasks);
        }
    }

    /// Preempts a task. Skips it if it may be preempted only because its team exceeds its guarantee, and earlier
    /// preemptions for the same job have used up that excess.
    fn stop_victim(&mut self, preemptor: &Preemptor, victim: usize) {
        let task = self.snapshot.running_tasks[victim].clone();
        let is_beyond_guarantee = preemptor.entitled
            && self.snapshot.teams[task.team].keeps_guarantee_without(&task.resources);
        if task.priority >= preemptor.priority && !is_beyond_guarantee {
            return;
        }
        self.snapshot.running_tasks[victim].preemptible = false;
        self.snapshot.machines[task.machine]
            .free_after_stops
            .add(&task.resources);
        self.snapshot.teams[task.team].stopping.add(&task.resources);
        self.decisions.push(Decision::Preempt {
            job: task.job,
            task: task.number,
            by: preemptor.job,
        });
    }
}
