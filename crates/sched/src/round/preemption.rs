//! Preemption: stops tasks of lower priority, or, for a guarantee, those of a team that exceeds its own.

use super::{Decision, Round};
use crate::{Resources, RunningTask, TeamSnapshot};
use constants::IMAGE_FETCH_COST_S;

/// Cost of stopping a task besides the work that is lost, in seconds.
const STOP_COST_S: f64 = 5.0;
/// Cost of a slow machine, in seconds.
const SLOW_MACHINE_COST_S: f64 = 2.0 * IMAGE_FETCH_COST_S;

/// The job for which tasks are preempted.
#[derive(Clone, Copy)]
struct Preemptor {
    job: usize,
    team: usize,
    priority: u8,
    gang: bool,
    /// Resources of each of its tasks.
    task: Resources,
    image: usize,
    /// Whether what it needs fits its team's guarantee.
    entitled: bool,
    /// Number of tasks to make room for.
    needed: u32,
}

/// Room that could be made on a machine.
struct PreemptionOption {
    cost_s: f64,
    machine: usize,
    /// Running tasks to stop, by number.
    victims: Vec<usize>,
    /// How many tasks the machine has room for then.
    tasks: u32,
}

impl Round<'_> {
    /// Preempts tasks for the job; false if that does not make enough room.
    pub(super) fn preempt(&mut self, job: usize, entitled: bool) -> bool {
        if self.victims.is_none() {
            self.victims = Some(self.preemptible_by_machine());
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
        if options.iter().map(|option| option.tasks).sum::<u32>() < preemptor.needed {
            return false;
        }
        self.stop_victims(&preemptor, options);
        true
    }

    fn preemptor(&self, job: usize, entitled: bool) -> Preemptor {
        let spec = &self.snapshot.jobs[job];
        let needed = if spec.gang {
            self.tasks_left(job) as u32
        } else {
            1
        };
        Preemptor {
            job,
            team: spec.team,
            priority: spec.priority,
            gang: spec.gang,
            task: spec.task,
            image: spec.image,
            entitled,
            needed,
        }
    }

    fn preemptible_by_machine(&self) -> Vec<Vec<usize>> {
        let mut by_machine = vec![Vec::new(); self.snapshot.machines.len()];
        for (number, task) in self.snapshot.running.iter().enumerate() {
            if task.preemptible {
                by_machine[task.machine].push(number);
            }
        }
        by_machine
    }

    /// Whether any task could be preempted. Most waiting jobs can preempt none, and need no look at every machine.
    fn may_find_victims(&self, preemptor: &Preemptor) -> bool {
        let lower = |task: &RunningTask| task.preemptible && task.priority < preemptor.priority;
        let lends = |team: &TeamSnapshot| team.borrows(&Resources::default());
        self.snapshot.running.iter().any(lower)
            || preemptor.entitled && self.snapshot.teams.iter().any(lends)
    }

    /// Machines on which preemption makes room for at least one task.
    fn preemption_options(&self, preemptor: &Preemptor) -> Vec<PreemptionOption> {
        let job = preemptor.job;
        let mut options = Vec::new();
        for (machine, preemptible) in self.victims.iter().flatten().enumerate() {
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
                    .can_fit(&preemptor.task)
            {
                continue;
            }
            let option = self.room_on(machine, preemptor, preemptible);
            if option.tasks > 0 {
                options.push(option);
            }
        }
        options
    }

    /// Tasks of other jobs that may still be stopped: lowest priority first, then by the work that is lost.
    fn cheapest_first(&self, job: usize, preemptible: &[usize]) -> Vec<usize> {
        let running = &self.snapshot.running;
        let may_stop = |&task: &usize| running[task].preemptible && running[task].job != job;
        let mut tasks: Vec<usize> = preemptible.iter().copied().filter(may_stop).collect();
        tasks.sort_by(|&a, &b| {
            let (a, b) = (&running[a], &running[b]);
            let by_priority = a.priority.cmp(&b.priority);
            by_priority.then(a.cost_s.total_cmp(&b.cost_s))
        });
        tasks
    }

    /// The room that stopping tasks makes on a machine, until one task of the job fits.
    fn room_on(
        &self,
        machine: usize,
        preemptor: &Preemptor,
        preemptible: Vec<usize>,
    ) -> PreemptionOption {
        let host = &self.snapshot.machines[machine];
        let (mut victims, mut cost_s) = (Vec::new(), 0.0);
        if !host.images.contains(&preemptor.image) {
            // The room is needed soon, and a fetch may take longer than the checkpoints of the stopped tasks.
            cost_s += IMAGE_FETCH_COST_S;
        }
        if host.slow {
            cost_s += SLOW_MACHINE_COST_S;
        }
        let mut room = host.free_after_stops;
        let mut teams = self.snapshot.teams.clone();
        for number in preemptible {
            if room.can_fit(&preemptor.task) {
                break;
            }
            let task = &self.snapshot.running[number];
            let by_guarantee = preemptor.entitled
                && task.team != preemptor.team
                && teams[task.team].borrows(&task.resources);
            if task.priority < preemptor.priority || by_guarantee {
                room.add(&task.resources);
                teams[task.team].stopping.add(&task.resources);
                cost_s += task.cost_s + STOP_COST_S;
                victims.push(number);
            }
        }
        PreemptionOption {
            cost_s,
            machine,
            victims,
            tasks: room.capacity_for(&preemptor.task, preemptor.needed),
        }
    }

    /// Keeps the options of the first zone with room for all tasks; false if there is none.
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

    /// Preempts tasks of the cheapest options, until there is room for all tasks needed.
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
                    .sub(&preemptor.task);
            }
            needed = needed.saturating_sub(option.tasks);
        }
    }

    /// Preempts a task, unless tasks preempted for the same job have used up what its team had beyond its guarantee.
    fn stop_victim(&mut self, preemptor: &Preemptor, victim: usize) {
        let task = self.snapshot.running[victim].clone();
        let by_guarantee =
            preemptor.entitled && self.snapshot.teams[task.team].borrows(&task.resources);
        if task.priority >= preemptor.priority && !by_guarantee {
            return;
        }
        self.snapshot.running[victim].preemptible = false;
        self.snapshot.machines[task.machine]
            .free_after_stops
            .add(&task.resources);
        self.snapshot.teams[task.team].stopping.add(&task.resources);
        self.decisions.push(Decision::Stop {
            job: task.job,
            task: task.task,
            by: preemptor.job,
        });
    }
}
