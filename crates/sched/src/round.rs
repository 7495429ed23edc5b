//! One round of decisions: who gets free room, and who has to make room.
//!
//! Order of jobs: work that fits its team's guarantee, then priority, then pilots, queued jobs (by weighted
//! sharing between queues), and held tasks of arrays still being sampled. A round can be cut short by its time
//! budget; what it decided so far stands, and the next round works from a fresh view, starting with the job
//! after the one reached.

use crate::{weight_of, Policy, Res};
use constants::{COMING_S, FETCH_COST_S, REACH_COST, RESERVED_PART};

/// A machine that tasks could be placed on.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Type, as the caller numbers them.
    pub kind: usize,
    /// Zone, as the caller numbers them.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is free now.
    pub free: Res,
    /// What will be free once the tasks that are being stopped have gone.
    pub soon: Res,
    /// What it has in all.
    pub total: Res,
    /// Whether new tasks may go there.
    pub usable: bool,
    /// How many more tasks it may hold, whatever their size.
    pub slots: u32,
    /// Pilots running there.
    pub pilots: u32,
    /// Whether it is slower than its kin.
    pub slow: bool,
    /// Images it holds, as the caller numbers them.
    pub images: Vec<usize>,
    /// Seconds until its tasks are expected to be over.
    pub busy_s: f64,
    /// Seconds until a start can be sent there.
    pub reach_s: f64,
    /// Of a machine on its way: seconds until it is expected to be up. Nothing can be placed there yet, but a
    /// gang may keep it.
    pub coming_s: Option<f64>,
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// Guaranteed CPUs and GPUs; 0 for none.
    pub guarantee: (f64, f64),
    /// Most CPUs and GPUs; 0 for no limit.
    pub limit: (f64, f64),
    /// In use, unsure places included.
    pub used: Res,
    /// Of that, what is being stopped. It still counts against the limit until it has gone.
    pub leaving: Res,
}

impl TeamView {
    fn within(bound: (f64, f64), all: bool, used: &Res, more: &Res) -> bool {
        let ok = |bound: f64, used: f64, more: f64| {
            if bound <= 0.0 {
                all || more <= 1e-9
            } else {
                used + more <= bound + 1e-6
            }
        };
        ok(bound.0, used.cpus, more.cpus) && ok(bound.1, used.gpus, more.gpus)
    }

    /// Whether `more` stays within the limit.
    pub fn allows(&self, more: &Res) -> bool {
        Self::within(self.limit, true, &self.used, more)
    }

    /// Whether `more` stays within the guarantee. A resource without a guarantee does not count when the other
    /// has one: a team with GPUs guaranteed needs CPUs to use them.
    pub fn entitles(&self, more: &Res) -> bool {
        if self.guarantee.0 <= 0.0 && self.guarantee.1 <= 0.0 {
            return false;
        }
        if self.guarantee.1 > 0.0 && self.guarantee.0 <= 0.0 {
            return more.gpus > 0.0
                && Self::within((0.0, self.guarantee.1), true, &self.used, more);
        }
        Self::within(self.guarantee, self.guarantee.1 <= 0.0, &self.used, more)
    }

    /// Whether the team would still have its guarantee filled after losing `less`.
    fn borrows(&self, less: &Res) -> bool {
        let over = |bound: f64, used: f64, less: f64| used - less >= bound - 1e-6;
        if self.guarantee.1 > 0.0 || less.gpus > 0.0 {
            over(
                self.guarantee.1,
                self.used.gpus - self.leaving.gpus,
                less.gpus,
            )
        } else {
            over(
                self.guarantee.0,
                self.used.cpus - self.leaving.cpus,
                less.cpus,
            )
        }
    }
}

/// A job with tasks to place.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Team, as the caller numbers them.
    pub team: usize,
    /// Whether all its tasks start together.
    pub gang: bool,
    /// Whether it runs until cancelled: it skips the queues.
    pub service: bool,
    /// Priority, larger is more important.
    pub priority: u8,
    /// What a task takes.
    pub task: Res,
    /// Allowed types, `None` for any.
    pub kinds: Option<Vec<usize>>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most this many tasks in one zone.
    pub zone_cap: Option<u32>,
    /// Tasks that are or may be on machines, by zone.
    pub zones_used: Vec<(usize, u32)>,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Image, as the caller numbers them.
    pub image: usize,
    /// Tasks to place, in order; of a gang all that are missing. May be cut to what one round can use.
    pub waiting: Vec<u32>,
    /// How many of the first waiting tasks are pilots yet to be placed.
    pub pilots_due: u32,
    /// Whether the job's size is still being sampled.
    pub sampling: bool,
    /// Queue by estimated size.
    pub queue: usize,
    /// Order within a queue, smallest first.
    pub order: u64,
    /// Tasks of it on machines.
    pub running: u32,
    /// Machines its tasks should keep away from.
    pub avoid: Vec<usize>,
    /// Machines an earlier round kept for it.
    pub kept: Vec<usize>,
    /// Whether it has waited so long without a start that the queues' weights count no more.
    pub aged: bool,
}

/// A task on a machine that could be stopped.
#[derive(Debug, Clone)]
pub struct RunningView {
    /// Job, by its number among all jobs of the view.
    pub job: usize,
    /// Task.
    pub task: u32,
    /// Machine.
    pub machine: usize,
    /// Team.
    pub team: usize,
    /// Priority.
    pub priority: u8,
    /// What it takes.
    pub res: Res,
    /// Whether it may be stopped: not a gang's, not being stopped, not about to end.
    pub movable: bool,
    /// Seconds of work that stopping would cost.
    pub cost_s: f64,
    /// Seconds it is expected to go on for.
    pub left_s: f64,
}

/// The cluster as one round sees it.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Machines.
    pub machines: Vec<MachineView>,
    /// Teams.
    pub teams: Vec<TeamView>,
    /// Jobs, those without waiting tasks included.
    pub jobs: Vec<JobView>,
    /// Tasks on machines.
    pub running: Vec<RunningView>,
}

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
    /// Keep machines from filling up until a gang finds room on them.
    Keep {
        /// Gang.
        job: usize,
        /// Machines.
        machines: Vec<usize>,
    },
}

#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    entitled: u8,
    priority: u8,
    class: u8,
    share: f64,
    order: u64,
}

/// A round under way.
pub struct Round<'a> {
    policy: &'a Policy,
    view: View,
    queue_use: Vec<f64>,
    next_task: Vec<usize>,
    blocked: Vec<bool>,
    reserved: Vec<Option<usize>>,
    decisions: Vec<Decision>,
    /// The least that any waiting task takes, resource by resource.
    least: Res,
    /// Machines that may still take a task: most of a busy fleet is full, and a round looks at these for each task.
    open: Vec<usize>,
    /// Tasks that may be stopped, by machine; filled when they are first looked for.
    victims: Option<Vec<Vec<usize>>>,
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

impl<'a> Round<'a> {
    /// A round over a view.
    pub fn new(policy: &'a Policy, view: View) -> Self {
        let mut queue_use = vec![0.0; policy.queues.max(1)];
        for job in &view.jobs {
            if let Some(q) = queue_use.get_mut(job.queue) {
                *q += f64::from(job.running) * weight_of_task(&job.task);
            }
        }
        let (jobs, machines) = (view.jobs.len(), view.machines.len());
        // A gang keeps what was kept for it: machines chosen anew each round would fill up again in between.
        let mut reserved = vec![None; machines];
        for (number, job) in view.jobs.iter().enumerate() {
            for &m in job.kept.iter().filter(|_| !job.waiting.is_empty()) {
                if view.machines[m].usable || view.machines[m].coming_s.is_some() {
                    reserved[m] = Some(number);
                }
            }
        }
        let mut least: Option<Res> = None;
        for job in view.jobs.iter().filter(|j| !j.waiting.is_empty()) {
            least = Some(least.map_or(job.task, |l| Res {
                cpus: l.cpus.min(job.task.cpus),
                gpus: l.gpus.min(job.task.gpus),
                mem: l.mem.min(job.task.mem),
            }));
        }
        let least = least.unwrap_or_default();
        let mut round = Round {
            policy,
            view,
            queue_use,
            next_task: vec![0; jobs],
            blocked: vec![false; jobs],
            reserved,
            decisions: Vec::new(),
            least,
            open: Vec::new(),
            victims: None,
        };
        round.open = (0..machines).filter(|&m| round.is_open(m)).collect();
        round
    }

    /// Passes over jobs for which an earlier round, cut short since, found no room: it goes on behind them.
    pub fn skip(&mut self, jobs: impl Iterator<Item = usize>) {
        for job in jobs {
            self.blocked[job] = true;
        }
    }

    fn is_open(&self, machine: usize) -> bool {
        let m = &self.view.machines[machine];
        m.usable && m.slots > 0 && m.free.fits(&self.least)
    }

    fn left(&self, job: usize) -> usize {
        self.view.jobs[job].waiting.len() - self.next_task[job]
    }

    /// What the job would ask for next: one task, or the whole gang.
    fn demand(&self, job: usize) -> Res {
        let j = &self.view.jobs[job];
        let n = if j.gang { self.left(job) } else { 1 };
        j.task.times(n as f64)
    }

    fn rank(&self, job: usize) -> Rank {
        let j = &self.view.jobs[job];
        let entitled = self.view.teams[j.team].entitles(&self.demand(job));
        let pilot = (self.next_task[job] as u32) < j.pilots_due;
        let class = match (pilot || j.service, j.sampling) {
            (true, _) => 0,
            (_, false) => 1,
            (false, true) => 2,
        };
        let share = if class == 1 && !j.aged {
            self.queue_use.get(j.queue).copied().unwrap_or(0.0) / weight_of(self.policy, j.queue)
        } else {
            0.0
        };
        Rank {
            entitled: u8::from(!entitled),
            priority: u8::MAX - j.priority,
            class,
            share,
            order: j.order,
        }
    }

    fn allowed(&self, job: usize, machine: usize) -> bool {
        self.view.machines[machine].usable && self.suits(job, machine)
    }

    /// Whether it is allowed there now, or will be within moments.
    fn allowed_soon(&self, job: usize, machine: usize) -> bool {
        let m = &self.view.machines[machine];
        (m.usable || m.coming_s.is_some_and(|s| s <= COMING_S)) && self.suits(job, machine)
    }

    fn suits(&self, job: usize, machine: usize) -> bool {
        let (j, m) = (&self.view.jobs[job], &self.view.machines[machine]);
        m.slots > 0
            && (j.spot || !m.spot)
            && j.zone.is_none_or(|z| z == m.zone)
            && j.kinds.as_ref().is_none_or(|k| k.contains(&m.kind))
            && !j.avoid.contains(&machine)
            && m.total.fits(&j.task)
    }

    fn zone_room(&self, job: usize, zone: usize) -> u32 {
        let j = &self.view.jobs[job];
        if j.one_zone && j.zones_used.iter().any(|(z, n)| *z != zone && *n > 0) {
            return 0;
        }
        let used = j
            .zones_used
            .iter()
            .find(|(z, _)| *z == zone)
            .map_or(0, |(_, n)| *n);
        j.zone_cap.map_or(u32::MAX, |cap| cap.saturating_sub(used))
    }

    fn open_to(&self, job: usize, machine: usize) -> bool {
        self.reserved[machine].is_none_or(|holder| holder == job)
    }

    /// How well a machine suits a task of the job, smaller is better.
    fn misfit(&self, job: usize, machine: usize, pilot: bool) -> f64 {
        let (j, m) = (&self.view.jobs[job], &self.view.machines[machine]);
        let mut misfit = 0.0;
        if pilot {
            misfit += 1000.0 * f64::from(m.pilots);
        }
        if m.slow {
            misfit += 400.0;
        }
        if !m.images.contains(&j.image) {
            misfit += 100.0;
        }
        if j.spot && !m.spot {
            // Room that gangs and other work bound to ordinary machines can use is given last.
            misfit += 40.0;
        }
        misfit += REACH_COST * m.reach_s;
        let mut rest = m.free;
        rest.sub(&j.task);
        misfit + weight_of_task(&rest).max(0.0)
    }

    fn best(&self, job: usize, pilot: bool) -> Option<usize> {
        let j = &self.view.jobs[job];
        let fits = |&m: &usize| {
            let view = &self.view.machines[m];
            view.free.fits(&j.task)
                && self.allowed(job, m)
                && self.open_to(job, m)
                && self.zone_room(job, view.zone) > 0
        };
        let open = self.open.iter().copied();
        open.filter(fits)
            .map(|m| (self.misfit(job, m, pilot), m))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, m)| m)
    }

    fn take(&mut self, job: usize, machine: usize, pilot: bool) {
        let task = self.view.jobs[job].task;
        let m = &mut self.view.machines[machine];
        m.free.sub(&task);
        m.soon.sub(&task);
        m.pilots += u32::from(pilot);
        m.slots = m.slots.saturating_sub(1);
        let zone = m.zone;
        let j = &mut self.view.jobs[job];
        match j.zones_used.iter_mut().find(|(z, _)| *z == zone) {
            Some((_, n)) => *n += 1,
            None => j.zones_used.push((zone, 1)),
        }
        if let Some(q) = self.queue_use.get_mut(j.queue) {
            *q += weight_of_task(&task);
        }
        self.view.teams[j.team].used.add(&task);
        if !self.is_open(machine) {
            if let Some(at) = self.open.iter().position(|&m| m == machine) {
                self.open.swap_remove(at);
            }
        }
    }

    /// Machines for all the waiting tasks of a gang, on what `room` says is there.
    fn gang_fit(
        &self,
        job: usize,
        room: impl Fn(&MachineView) -> Res,
        soon: bool,
    ) -> Option<Vec<usize>> {
        let j = &self.view.jobs[job];
        let need = self.left(job) as u32;
        let mut spots: Vec<(f64, usize, u32)> = (0..self.view.machines.len())
            .filter(|&m| room(&self.view.machines[m]).fits(&j.task))
            .filter(|&m| self.open_to(job, m))
            .filter(|&m| self.allowed(job, m) || soon && self.allowed_soon(job, m))
            .map(|m| {
                let view = &self.view.machines[m];
                (
                    // What is there goes before what is on its way, and of each what is kept stays kept.
                    self.misfit(job, m, false)
                        + match (view.coming_s, self.reserved[m].is_some()) {
                            (None, true) => -2_000.0,
                            (None, false) => 0.0,
                            (Some(s), true) => 2_000.0 + s,
                            (Some(s), false) => 4_000.0 + s,
                        },
                    m,
                    room(view).holds(&j.task, need.min(view.slots)),
                )
            })
            .filter(|(_, _, n)| *n > 0)
            .collect();
        spots.sort_by(|a, b| a.0.total_cmp(&b.0));
        let fill = |only: Option<usize>| {
            let mut chosen = Vec::new();
            let mut by_zone: Vec<(usize, u32)> = Vec::new();
            for &(_, m, n) in &spots {
                let zone = self.view.machines[m].zone;
                if only.is_some_and(|z| z != zone) {
                    continue;
                }
                let taken = by_zone
                    .iter()
                    .find(|(z, _)| *z == zone)
                    .map_or(0, |(_, n)| *n);
                let left = need - chosen.len() as u32;
                let n = n
                    .min(self.zone_room(job, zone).saturating_sub(taken))
                    .min(left);
                chosen.extend(std::iter::repeat_n(m, n as usize));
                match by_zone.iter_mut().find(|(z, _)| *z == zone) {
                    Some((_, t)) => *t += n,
                    None => by_zone.push((zone, n)),
                }
            }
            (chosen.len() as u32 == need).then_some(chosen)
        };
        if !j.one_zone {
            return fill(None);
        }
        let mut zones: Vec<usize> = Vec::new();
        for &(_, m, _) in &spots {
            let zone = self.view.machines[m].zone;
            if !zones.contains(&zone) {
                zones.push(zone);
            }
        }
        let cost = |chosen: &Vec<usize>| -> f64 {
            chosen.iter().map(|&m| self.misfit(job, m, false)).sum()
        };
        let whole = zones.into_iter().filter_map(|z| fill(Some(z)));
        whole
            .map(|chosen| (cost(&chosen), chosen))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, chosen)| chosen)
    }

    /// Places the next task or the gang; false if there is no room.
    fn place(&mut self, job: usize) -> bool {
        let demand = self.demand(job);
        let team = &self.view.teams[self.view.jobs[job].team];
        if !team.allows(&demand) {
            self.blocked[job] = true;
            return false;
        }
        let entitled = team.entitles(&demand);
        if self.view.jobs[job].gang {
            let Some(chosen) = self.gang_fit(job, |m| m.free, false) else {
                return false;
            };
            let first = self.next_task[job];
            let tasks: Vec<(u32, usize)> = self.view.jobs[job].waiting[first..]
                .iter()
                .copied()
                .zip(chosen)
                .collect();
            for &(_, machine) in &tasks {
                self.take(job, machine, false);
            }
            for r in self.reserved.iter_mut().filter(|r| **r == Some(job)) {
                *r = None;
            }
            self.next_task[job] += tasks.len();
            self.decisions.push(Decision::Place {
                job,
                tasks,
                pilots: false,
                entitled,
            });
            return true;
        }
        let pilot = (self.next_task[job] as u32) < self.view.jobs[job].pilots_due;
        let Some(machine) = self.best(job, pilot) else {
            return false;
        };
        let task = self.view.jobs[job].waiting[self.next_task[job]];
        self.take(job, machine, pilot);
        self.next_task[job] += 1;
        self.decisions.push(Decision::Place {
            job,
            tasks: vec![(task, machine)],
            pilots: pilot,
            entitled,
        });
        true
    }

    /// Keeps room for a job that has the right to it: on machines that empty anyway, else by stopping tasks.
    fn make_room(&mut self, job: usize) {
        let j = &self.view.jobs[job];
        let pilot = (self.next_task[job] as u32) < j.pilots_due;
        if !j.gang && (pilot || j.sampling) {
            return;
        }
        let entitled = self.view.teams[j.team].entitles(&self.demand(job));
        if j.gang {
            if let Some(chosen) = self.gang_fit(job, |m| m.soon, true) {
                for r in self.reserved.iter_mut().filter(|r| **r == Some(job)) {
                    *r = None;
                }
                for m in chosen {
                    self.reserved[m] = Some(job);
                }
                return;
            }
        } else {
            let task = j.task;
            let coming = (0..self.view.machines.len()).find(|&m| {
                let view = &self.view.machines[m];
                view.soon.fits(&task) && self.allowed(job, m) && self.open_to(job, m)
            });
            if let Some(m) = coming {
                // Only what is on its way out is counted on; the machine's free room stays open to all.
                self.view.machines[m].soon.sub(&task);
                return;
            }
        }
        if self.preempt(job, entitled) {
            return;
        }
        if self.view.jobs[job].gang {
            self.reserve(job);
        }
    }

    /// Keeps the machines that empty soonest from filling up with small tasks again, all in one zone for a gang
    /// that needs one. A gang that can't have all it lacks keeps nothing: two that each hold half of what both
    /// need would wait for ever.
    fn reserve(&mut self, job: usize) {
        let one_zone = self.view.jobs[job].one_zone;
        let mut zones: Vec<(usize, Vec<usize>, usize)> = Vec::new();
        for m in 0..self.view.machines.len() {
            let ours = self.reserved[m] == Some(job);
            let zone = self.view.machines[m].zone;
            if !(ours || self.reserved[m].is_none() && self.allowed(job, m))
                || self.zone_room(job, zone) == 0
            {
                continue;
            }
            let group = if one_zone { zone } else { 0 };
            let at = zones.iter().position(|(z, ..)| *z == group);
            let at = at.unwrap_or_else(|| {
                zones.push((group, Vec::new(), 0));
                zones.len() - 1
            });
            if ours {
                zones[at].2 += 1;
            } else {
                zones[at].1.push(m);
            }
        }
        let taken = self.reserved.iter().filter(|r| r.is_some()).count();
        let held = self.reserved.iter().filter(|r| **r == Some(job)).count();
        // Never more than a part of the fleet stands half empty for gangs, unless a single one needs more.
        let part = self.view.machines.len() / RESERVED_PART;
        let room = part.saturating_sub(taken - held);
        let whole = self.left(job);
        let task = self.view.jobs[job].task;
        let busy = |m: usize| self.view.machines[m].busy_s;
        let mut best: Option<(f64, Vec<usize>)> = None;
        for (_, mut list, ours) in zones {
            let each = |m: usize| self.view.machines[m].total.holds(&task, whole as u32) as usize;
            list.sort_by(|&a, &b| busy(a).total_cmp(&busy(b)));
            let mut lack = whole.saturating_sub(ours);
            let mut chosen = Vec::new();
            for m in list {
                if lack == 0 {
                    break;
                }
                lack = lack.saturating_sub(each(m));
                chosen.push(m);
            }
            if lack > 0 || (ours + chosen.len() > room && taken > held) {
                continue;
            }
            // What it holds in a zone already speaks for that zone.
            let cost = chosen.last().map_or(0.0, |&m| busy(m)) - ours as f64;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, chosen));
            }
        }
        let zone_of = |m: usize| self.view.machines[m].zone;
        let home = best.as_ref().and_then(|b| b.1.first()).map(|&m| zone_of(m));
        for m in 0..self.reserved.len() {
            let elsewhere = one_zone && home.is_some_and(|z| z != zone_of(m));
            if self.reserved[m] == Some(job) && (best.is_none() || elsewhere) {
                self.reserved[m] = None;
            }
        }
        for m in best.into_iter().flat_map(|b| b.1) {
            self.reserved[m] = Some(job);
        }
    }

    fn preempt(&mut self, job: usize, entitled: bool) -> bool {
        if self.victims.is_none() {
            let mut by_machine = vec![Vec::new(); self.view.machines.len()];
            for (r, v) in self.view.running.iter().enumerate().filter(|r| r.1.movable) {
                by_machine[v.machine].push(r);
            }
            self.victims = Some(by_machine);
        }
        let Some(by_machine) = &self.victims else {
            return false;
        };
        let j = self.view.jobs[job].clone();
        // Most jobs that wait have no right to anybody's room: no need to look at every machine for them.
        let lower = |v: &RunningView| v.movable && v.priority < j.priority;
        let lends = |team: &TeamView| team.borrows(&Res::default());
        let somebody =
            self.view.running.iter().any(lower) || entitled && self.view.teams.iter().any(lends);
        if !somebody {
            return false;
        }
        let mut need = if j.gang { self.left(job) as u32 } else { 1 };
        // Zones: a one-zone gang must find all its room in one of them.
        let mut options: Vec<(f64, usize, Vec<usize>, u32)> = Vec::new();
        for (m, here) in by_machine.iter().enumerate() {
            if !self.allowed(job, m)
                || !self.open_to(job, m)
                || self.zone_room(job, self.view.machines[m].zone) == 0
            {
                continue;
            }
            let mut victims: Vec<usize> = here
                .iter()
                .copied()
                .filter(|&r| self.view.running[r].movable && self.view.running[r].job != job)
                .collect();
            if victims.is_empty() && !self.view.machines[m].soon.fits(&j.task) {
                continue;
            }
            victims.sort_by(|&a, &b| {
                let key = |r: usize| {
                    let v = &self.view.running[r];
                    (v.priority, v.cost_s)
                };
                let (a, b) = (key(a), key(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            let mut room = self.view.machines[m].soon;
            let (mut chosen, mut cost) = (Vec::new(), 0.0);
            if !self.view.machines[m].images.contains(&j.image) {
                // The room is wanted soon, and a fetch may take longer than the stopped tasks do to save.
                cost += FETCH_COST_S;
            }
            if self.view.machines[m].slow {
                cost += 2.0 * FETCH_COST_S;
            }
            let mut teams = self.view.teams.clone();
            for r in victims {
                if room.fits(&j.task) {
                    break;
                }
                let v = &self.view.running[r];
                let by_guarantee = entitled && v.team != j.team && teams[v.team].borrows(&v.res);
                if v.priority < j.priority || by_guarantee {
                    room.add(&v.res);
                    teams[v.team].leaving.add(&v.res);
                    cost += v.cost_s + 5.0;
                    chosen.push(r);
                }
            }
            let held = room.holds(&j.task, need);
            if held > 0 {
                options.push((cost, m, chosen, held));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0));
        if j.one_zone {
            let zone_of = |m: usize| self.view.machines[m].zone;
            let enough = options.iter().map(|o| zone_of(o.1)).find(|&z| {
                let sum: u32 = options
                    .iter()
                    .filter(|o| zone_of(o.1) == z)
                    .map(|o| o.3)
                    .sum();
                sum >= need
            });
            let Some(zone) = enough else { return false };
            options.retain(|o| zone_of(o.1) == zone);
        }
        if options.iter().map(|o| o.3).sum::<u32>() < need {
            return false;
        }
        for (_, m, victims, held) in options {
            if need == 0 {
                break;
            }
            // A team may have lost its surplus to an earlier machine of this very choice.
            for r in victims {
                let v = self.view.running[r].clone();
                let by_guarantee = entitled && self.view.teams[v.team].borrows(&v.res);
                if v.priority >= j.priority && !by_guarantee {
                    continue;
                }
                self.view.running[r].movable = false;
                self.view.machines[m].soon.add(&v.res);
                self.view.teams[v.team].leaving.add(&v.res);
                self.decisions.push(Decision::Stop {
                    job: v.job,
                    task: v.task,
                    by: job,
                });
            }
            if j.gang {
                self.reserved[m] = Some(job);
            } else {
                self.view.machines[m].soon.sub(&j.task);
            }
            need = need.saturating_sub(held);
        }
        true
    }

    /// Decides until nothing is left to decide or `go_on` says stop.
    pub fn run(mut self, go_on: impl FnMut() -> bool) -> Outcome {
        let finished = self.decide(go_on);
        let mut kept: Vec<Vec<usize>> = vec![Vec::new(); self.view.jobs.len()];
        for (m, holder) in self.reserved.iter().enumerate() {
            if let Some(job) = holder.filter(|&j| self.left(j) > 0) {
                kept[job].push(m);
            }
        }
        for (job, machines) in kept.into_iter().enumerate() {
            if !machines.is_empty() {
                self.decisions.push(Decision::Keep { job, machines });
            }
        }
        Outcome {
            blocked: (0..self.blocked.len())
                .filter(|&j| self.blocked[j] && self.left(j) > 0)
                .collect(),
            decisions: self.decisions,
            finished,
        }
    }

    fn decide(&mut self, mut go_on: impl FnMut() -> bool) -> bool {
        let mut alive: Vec<usize> = (0..self.view.jobs.len()).collect();
        loop {
            if !go_on() {
                return false;
            }
            alive.retain(|&j| !self.blocked[j] && self.left(j) > 0);
            let mut first: Option<(Rank, usize)> = None;
            let mut second: Option<(Rank, usize)> = None;
            for &j in &alive {
                let this = (self.rank(j), j);
                if first.is_none_or(|f| this < f) {
                    (first, second) = (Some(this), first);
                } else if second.is_none_or(|s| this < s) {
                    second = Some(this);
                }
            }
            let Some((_, job)) = first else {
                return true;
            };
            // What is placed makes no other job's rank better, so this one goes on while it stays ahead of what
            // was the second.
            loop {
                if !self.place(job) {
                    if !self.blocked[job] {
                        self.make_room(job);
                    }
                    self.blocked[job] = true;
                    break;
                }
                if self.left(job) == 0 || second.is_some_and(|s| s < (self.rank(job), job)) {
                    break;
                }
                if !go_on() {
                    return false;
                }
            }
        }
    }
}

/// One number for what a task or machine takes: GPUs are what is scarce wherever there are any.
fn weight_of_task(res: &Res) -> f64 {
    res.gpus + res.cpus / 16.0 + res.mem / 256.0
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine(zone: usize, gpus: f64) -> MachineView {
        let total = Res {
            cpus: 32.0,
            gpus,
            mem: 256.0,
        };
        MachineView {
            kind: 0,
            zone,
            spot: false,
            free: total,
            soon: total,
            total,
            usable: true,
            slots: 400,
            pilots: 0,
            slow: false,
            images: vec![0],
            busy_s: 0.0,
            reach_s: 0.0,
            coming_s: None,
        }
    }

    fn job(order: u64, gang: bool, tasks: u32, gpus: f64) -> JobView {
        JobView {
            team: 0,
            gang,
            service: false,
            priority: 1,
            task: Res {
                cpus: 1.0,
                gpus,
                mem: 1.0,
            },
            kinds: None,
            zone: None,
            one_zone: false,
            zone_cap: None,
            zones_used: vec![],
            spot: true,
            image: 0,
            waiting: (0..tasks).collect(),
            pilots_due: 0,
            sampling: false,
            queue: 0,
            order,
            running: 0,
            avoid: vec![],
            kept: vec![],
            aged: false,
        }
    }

    fn decide(view: View) -> Vec<Decision> {
        let policy = Policy::default();
        Round::new(&policy, view).run(|| true).decisions
    }

    fn placed(decisions: &[Decision], job: usize) -> Vec<(u32, usize)> {
        let mut out = Vec::new();
        for d in decisions {
            if let Decision::Place { job: j, tasks, .. } = d {
                if *j == job {
                    out.extend(tasks.iter().copied());
                }
            }
        }
        out
    }

    #[test]
    fn pilots_go_first_where_fewest_pilots_run_and_held_tasks_get_idle_room_last() {
        let mut sampled = job(5, false, 8, 1.0);
        sampled.pilots_due = 1;
        sampled.sampling = true;
        let estimated = job(9, false, 6, 1.0);
        let mut busy = machine(0, 4.0);
        busy.pilots = 1;
        let view = View {
            machines: vec![busy, machine(0, 4.0)],
            teams: vec![TeamView::default()],
            jobs: vec![sampled, estimated],
            running: vec![],
        };
        let d = decide(view);
        assert_eq!(
            placed(&d, 0)[0],
            (0, 1),
            "the pilot, on the machine without one"
        );
        assert!(matches!(d[0], Decision::Place { pilots: true, .. }));
        assert_eq!(placed(&d, 1).len(), 6, "the estimated job comes next");
        assert_eq!(placed(&d, 0).len(), 2, "one held task takes what is left");
    }

    #[test]
    fn queues_share_by_weight_and_are_fifo_inside() {
        let small_late = job(9, false, 20, 1.0);
        let small_early = job(2, false, 20, 1.0);
        let mut large = job(1, false, 20, 1.0);
        large.queue = 1;
        let view = View {
            machines: vec![machine(0, 22.0)],
            teams: vec![TeamView::default()],
            jobs: vec![small_late, small_early, large],
            running: vec![],
        };
        let d = decide(view);
        let counts = [0, 1, 2].map(|j| placed(&d, j).len());
        assert_eq!(counts, [0, 20, 2], "ten to one, the earlier job first");
    }

    #[test]
    fn gangs_start_whole_in_one_zone_and_spread_ones_stay_under_half() {
        let mut together = job(1, true, 2, 4.0);
        together.one_zone = true;
        let mut apart = job(2, true, 3, 4.0);
        apart.zone_cap = Some(2);
        let view = View {
            machines: vec![
                machine(0, 4.0),
                machine(1, 4.0),
                machine(1, 4.0),
                machine(2, 4.0),
            ],
            teams: vec![TeamView::default()],
            jobs: vec![together, apart],
            running: vec![],
        };
        let d = decide(view);
        assert_eq!(placed(&d, 0), vec![(0, 1), (1, 2)]);
        assert!(placed(&d, 1).is_empty(), "two machines hold no gang of 3");
    }

    #[test]
    fn old_attempts_still_on_machines_bind_the_zone() {
        let mut gang = job(1, true, 1, 4.0);
        gang.one_zone = true;
        gang.zones_used = vec![(1, 1)];
        let view = View {
            machines: vec![machine(0, 4.0)],
            teams: vec![TeamView::default()],
            jobs: vec![gang],
            running: vec![],
        };
        assert!(decide(view).is_empty());
    }

    #[test]
    fn a_limit_holds_and_a_guarantee_takes_back_what_was_lent() {
        let lender = TeamView {
            guarantee: (0.0, 4.0),
            limit: (0.0, 4.0),
            used: Res::default(),
            leaving: Res::default(),
        };
        let borrower = TeamView {
            guarantee: (0.0, 2.0),
            limit: (0.0, 8.0),
            used: Res {
                cpus: 4.0,
                gpus: 4.0,
                mem: 4.0,
            },
            leaving: Res::default(),
        };
        let mut full = machine(0, 4.0);
        full.free.gpus = 0.0;
        full.soon.gpus = 0.0;
        let mut theirs = job(1, false, 0, 1.0);
        theirs.team = 1;
        let running = (0..4)
            .map(|task| RunningView {
                job: 1,
                task,
                machine: 0,
                team: 1,
                priority: 1,
                res: theirs.task,
                movable: true,
                cost_s: f64::from(task),
                left_s: 60.0,
            })
            .collect();
        let view = View {
            machines: vec![full],
            teams: vec![lender, borrower],
            jobs: vec![job(3, false, 6, 1.0), theirs],
            running,
        };
        let mut stops = Vec::new();
        // Each round makes room for one task; the borrower keeps its own guarantee of 2.
        let mut view = view;
        for _ in 0..4 {
            let d = decide(view.clone());
            for x in d {
                if let Decision::Stop { job, task, by } = x {
                    assert_eq!((job, by), (1, 0));
                    stops.push(task);
                    let v = view.running.iter_mut().find(|r| r.task == task);
                    let v = v.expect("running");
                    v.movable = false;
                    let res = v.res;
                    view.teams[1].used.sub(&res);
                    view.teams[0].used.add(&res);
                    view.jobs[0].waiting.remove(0);
                }
            }
        }
        assert_eq!(stops, vec![0, 1]);
        let mut limited = View {
            machines: vec![machine(0, 32.0)],
            teams: vec![TeamView {
                guarantee: (0.0, 0.0),
                limit: (0.0, 3.0),
                used: Res::default(),
                leaving: Res::default(),
            }],
            jobs: vec![job(1, false, 9, 1.0)],
            running: vec![],
        };
        assert_eq!(placed(&decide(limited.clone()), 0).len(), 3);
        limited.teams[0].used.gpus = 3.0;
        assert!(decide(limited).is_empty());
    }

    /// Found on a simulated day: a team over its limit for the seconds that a preempted task took to save.
    #[test]
    fn room_that_is_being_vacated_still_counts_against_the_limit() {
        let res = |gpus: f64| Res {
            cpus: gpus,
            gpus,
            mem: gpus,
        };
        let owner = TeamView {
            guarantee: (0.0, 4.0),
            ..TeamView::default()
        };
        let at_limit = TeamView {
            guarantee: (0.0, 1.0),
            limit: (0.0, 4.0),
            used: res(4.0),
            leaving: Res::default(),
        };
        let mut full = machine(0, 4.0);
        full.free = Res::default();
        full.soon = Res::default();
        let mut elsewhere = machine(1, 4.0);
        elsewhere.kind = 1;
        let mut wants_room = job(1, false, 1, 1.0);
        wants_room.kinds = Some(vec![0]);
        let mut wants_more = job(2, false, 1, 1.0);
        wants_more.team = 1;
        let running = vec![RunningView {
            job: 1,
            task: 9,
            machine: 0,
            team: 1,
            priority: 1,
            res: res(1.0),
            movable: true,
            cost_s: 0.0,
            left_s: 60.0,
        }];
        let d = decide(View {
            machines: vec![full, elsewhere],
            teams: vec![owner, at_limit],
            jobs: vec![wants_room, wants_more],
            running,
        });
        let stop = Decision::Stop {
            job: 1,
            task: 9,
            by: 0,
        };
        assert_eq!(d, vec![stop], "and nothing new for the team that gives way");
    }

    /// Found on a simulated day: gangs waited for minutes while small tasks refilled every machine that had
    /// begun to empty for them.
    #[test]
    fn a_gang_keeps_the_machine_that_empties_for_it() {
        let mut emptying = machine(0, 4.0);
        emptying.free.gpus = 2.0;
        emptying.soon.gpus = 2.0;
        emptying.busy_s = 9.0;
        let mut full = machine(0, 4.0);
        full.free.gpus = 0.0;
        full.soon.gpus = 0.0;
        full.busy_s = 5.0;
        let mut waiting = job(1, true, 1, 4.0);
        waiting.kept = vec![0];
        let view = View {
            machines: vec![emptying, full],
            teams: vec![TeamView::default()],
            jobs: vec![waiting, job(2, false, 8, 1.0)],
            running: vec![],
        };
        let keep = Decision::Keep {
            job: 0,
            machines: vec![0],
        };
        assert_eq!(decide(view), vec![keep]);
    }

    #[test]
    fn a_round_cut_short_keeps_what_it_decided() {
        let policy = Policy::default();
        let view = View {
            machines: vec![machine(0, 32.0)],
            teams: vec![TeamView::default()],
            jobs: vec![job(1, false, 9, 1.0)],
            running: vec![],
        };
        let mut steps = 0;
        let cut = Round::new(&policy, view).run(|| {
            steps += 1;
            steps <= 4
        });
        assert_eq!((placed(&cut.decisions, 0).len(), cut.finished), (4, false));
    }
}
