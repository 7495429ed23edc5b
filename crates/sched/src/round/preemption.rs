//! Tasks stopped to make room: those of lower priority, or, for a guarantee, what another team runs beyond its own.

use super::{Decision, Round};
use crate::{JobSnapshot, Resources, RunningTask, TeamSnapshot};
use constants::FETCH_COST_S;

/// Cost of stopping a task besides the work that is lost, in seconds.
const STOP_COST_S: f64 = 5.0;

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
    /// Stops tasks that have to give way to the job; false if that does not make enough room.
    pub(super) fn preempt(&mut self, job: usize, entitled: bool) -> bool {
        if self.victims.is_none() {
            self.victims = Some(self.stoppable_by_machine());
        }
        let preemptor = self.snapshot.jobs[job].clone();
        if !self.may_find_victims(&preemptor, entitled) {
            return false;
        }
        let needed = if preemptor.gang {
            self.tasks_left(job) as u32
        } else {
            1
        };
        let mut options = self.preemption_options(job, &preemptor, entitled, needed);
        options.sort_by(|a, b| a.cost_s.total_cmp(&b.cost_s));
        if preemptor.one_zone && !self.retain_one_zone(&mut options, needed) {
            return false;
        }
        if options.iter().map(|option| option.tasks).sum::<u32>() < needed {
            return false;
        }
        self.stop_victims(job, &preemptor, entitled, needed, options);
        true
    }

    fn stoppable_by_machine(&self) -> Vec<Vec<usize>> {
        let mut by_machine = vec![Vec::new(); self.snapshot.machines.len()];
        for (number, task) in self.snapshot.running.iter().enumerate() {
            if task.movable {
                by_machine[task.machine].push(number);
            }
        }
        by_machine
    }

    /// Most jobs that wait have no right to anybody's room: no need to look at every machine for them.
    fn may_find_victims(&self, preemptor: &JobSnapshot, entitled: bool) -> bool {
        let lower = |task: &RunningTask| task.movable && task.priority < preemptor.priority;
        let lends = |team: &TeamSnapshot| team.borrows(&Resources::default());
        self.snapshot.running.iter().any(lower) || entitled && self.snapshot.teams.iter().any(lends)
    }

    fn preemption_options(
        &self,
        job: usize,
        preemptor: &JobSnapshot,
        entitled: bool,
        needed: u32,
    ) -> Vec<PreemptionOption> {
        let mut options = Vec::new();
        for (machine, stoppable) in self.victims.iter().flatten().enumerate() {
            if !self.is_allowed(job, machine)
                || !self.is_available(job, machine)
                || self.zone_capacity(job, self.snapshot.machines[machine].zone) == 0
            {
                continue;
            }
            let stoppable = self.cheapest_first(job, stoppable);
            if stoppable.is_empty() && !self.snapshot.machines[machine].soon.fits(&preemptor.task) {
                continue;
            }
            let option = self.room_on(machine, preemptor, entitled, needed, stoppable);
            if option.tasks > 0 {
                options.push(option);
            }
        }
        options
    }

    /// Tasks of other jobs that may still be stopped: lowest priority first, then by the work that is lost.
    fn cheapest_first(&self, job: usize, stoppable: &[usize]) -> Vec<usize> {
        let running = &self.snapshot.running;
        let may_stop = |&task: &usize| running[task].movable && running[task].job != job;
        let mut tasks: Vec<usize> = stoppable.iter().copied().filter(may_stop).collect();
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
        preemptor: &JobSnapshot,
        entitled: bool,
        needed: u32,
        stoppable: Vec<usize>,
    ) -> PreemptionOption {
        let host = &self.snapshot.machines[machine];
        let (mut victims, mut cost_s) = (Vec::new(), 0.0);
        if !host.images.contains(&preemptor.image) {
            // The room is wanted soon, and a fetch may take longer than the stopped tasks do to save.
            cost_s += FETCH_COST_S;
        }
        if host.slow {
            cost_s += 2.0 * FETCH_COST_S;
        }
        let mut room = host.soon;
        let mut teams = self.snapshot.teams.clone();
        for number in stoppable {
            if room.fits(&preemptor.task) {
                break;
            }
            let task = &self.snapshot.running[number];
            let by_guarantee = entitled
                && task.team != preemptor.team
                && teams[task.team].borrows(&task.resources);
            if task.priority < preemptor.priority || by_guarantee {
                room.add(&task.resources);
                teams[task.team].leaving.add(&task.resources);
                cost_s += task.cost_s + STOP_COST_S;
                victims.push(number);
            }
        }
        PreemptionOption {
            cost_s,
            machine,
            victims,
            tasks: room.holds(&preemptor.task, needed),
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

    fn stop_victims(
        &mut self,
        job: usize,
        preemptor: &JobSnapshot,
        entitled: bool,
        mut needed: u32,
        options: Vec<PreemptionOption>,
    ) {
        for option in options {
            if needed == 0 {
                break;
            }
            for victim in option.victims {
                self.stop_victim(job, preemptor, entitled, victim);
            }
            if preemptor.gang {
                self.reserved_for[option.machine] = Some(job);
            } else {
                self.snapshot.machines[option.machine]
                    .soon
                    .sub(&preemptor.task);
            }
            needed = needed.saturating_sub(option.tasks);
        }
    }

    /// Stops a task, unless its team has lost its surplus to an earlier machine of this very choice.
    fn stop_victim(&mut self, job: usize, preemptor: &JobSnapshot, entitled: bool, victim: usize) {
        let task = self.snapshot.running[victim].clone();
        let by_guarantee = entitled && self.snapshot.teams[task.team].borrows(&task.resources);
        if task.priority >= preemptor.priority && !by_guarantee {
            return;
        }
        self.snapshot.running[victim].movable = false;
        self.snapshot.machines[task.machine]
            .soon
            .add(&task.resources);
        self.snapshot.teams[task.team].leaving.add(&task.resources);
        self.decisions.push(Decision::Stop {
            job: task.job,
            task: task.task,
            by: job,
        });
    }
}
