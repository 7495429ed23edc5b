//! One round of decisions: who gets free room, and who has to make room.
//!
//! Order of jobs: work that fits its team's guarantee, then priority, then pilots, queued jobs (by weighted
//! sharing between queues), and held tasks of arrays still being sampled, those without any aim last. A round can be cut
//! short by its time budget; what it decided so far stands, and the next round works from a fresh view, starting with the
//! job after the one reached.

mod room;

use crate::{weight_of, Policy, Res};
use constants::{COMING_S, FRAGILE_COST, LASTING_S, REACH_COST};

/// Number of the zone of a place whose machine has not been heard of yet.
pub const UNKNOWN_ZONE: usize = usize::MAX;

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
    /// Its tasks never save and take no GPU: all is lost with a spot machine, and room beside GPU work costs nothing.
    pub fragile: bool,
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
    /// Whether anybody asks when it is over: it has a deadline, or its class an aim.
    pub aims: bool,
    /// Tasks of it on machines.
    pub running: u32,
    /// Machines its tasks should keep away from.
    pub avoid: Vec<usize>,
    /// Machines an earlier round kept for it.
    pub kept: Vec<usize>,
    /// Whether it has waited so long without a start that the queues' weights count no more.
    pub aged: bool,
    /// A gang that has waited in vain for long: nothing is kept, stopped or rented for it for a while.
    pub resting: bool,
    /// Whether a gang may at this time keep its team's other work from what is left of the team's limit.
    pub claims: bool,
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
    /// The gang of each team that the team's limit keeps waiting and that is left what it needs, with that.
    promised: Vec<Option<(usize, Res)>>,
    /// What of each team's use is expected to go on for long.
    lasting: Vec<Res>,
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
        let (jobs, machines, teams) = (view.jobs.len(), view.machines.len(), view.teams.len());
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
        let mut lasting = vec![Res::default(); teams];
        for r in view.running.iter().filter(|r| r.left_s > LASTING_S) {
            lasting[r.team].add(&r.res);
        }
        let mut round = Round {
            policy,
            view,
            queue_use,
            next_task: vec![0; jobs],
            blocked: vec![false; jobs],
            reserved,
            promised: vec![None; teams],
            lasting,
            decisions: Vec::new(),
            least,
            open: Vec::new(),
            victims: None,
        };
        round.open = (0..machines).filter(|&m| round.is_open(m)).collect();
        // A gang larger than its team's guarantee ranks behind all that fits into it, and would never get in.
        let mut gangs: Vec<usize> = (0..jobs).filter(|&j| round.is_kept_out(j)).collect();
        gangs.sort_by(|a, b| round.before_in_team(*a, *b));
        for gang in gangs {
            round.promise(gang);
        }
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
            (false, true) if j.aims => 2,
            // By arrival it would go before all that has an aim, for as long as its pilots run.
            (false, true) => 3,
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
        let Some(cap) = j.zone_cap else {
            return u32::MAX;
        };
        // What is in a zone that nobody knows yet may be in this one.
        let here = |z: usize| z == zone || z == UNKNOWN_ZONE;
        let used = j.zones_used.iter().filter(|(z, _)| here(*z));
        cap.saturating_sub(used.map(|(_, n)| n).sum())
    }

    fn open_to(&self, job: usize, machine: usize) -> bool {
        self.reserved[machine].is_none_or(|holder| holder == job)
    }

    /// Gangs that have kept machines and rank behind this one, which may take them over. Otherwise each large gang
    /// sits on most of what it needs, waiting for its last machine, while all of them together hold enough for
    /// some to begin.
    fn behind(&self, job: usize) -> Vec<bool> {
        let mut behind = vec![false; self.view.jobs.len()];
        let mine = (self.rank(job), job);
        let mut holders: Vec<usize> = self.reserved.iter().flatten().copied().collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders {
            behind[holder] = mine < (self.rank(holder), holder);
        }
        behind
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
        if j.fragile {
            // An idle machine of ours may go back, unless something runs there.
            let idle = m.total.gpus > 0.0 && m.free.gpus >= m.total.gpus;
            misfit += match (m.spot, idle) {
                (true, _) => FRAGILE_COST,
                (false, true) => 2.0 * FRAGILE_COST,
                (false, false) => 0.0,
            };
        } else if j.spot && !m.spot {
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
        let behind = self.behind(job);
        let open = |m: usize| self.reserved[m].is_none_or(|holder| holder == job || behind[holder]);
        let mut spots: Vec<(f64, usize, u32)> = (0..self.view.machines.len())
            .filter(|&m| room(&self.view.machines[m]).fits(&j.task))
            .filter(|&m| open(m))
            .filter(|&m| self.allowed(job, m) || soon && self.allowed_soon(job, m))
            .map(|m| {
                let view = &self.view.machines[m];
                (
                    // What is there goes before what is on its way, and of each what is kept stays kept.
                    self.misfit(job, m, false)
                        + match (view.coming_s, self.reserved[m]) {
                            (None, Some(holder)) if holder == job => -2_000.0,
                            (None, None) => 0.0,
                            (None, Some(_)) => 1_000.0,
                            (Some(s), Some(holder)) if holder == job => 2_000.0 + s,
                            (Some(s), None) => 4_000.0 + s,
                            (Some(s), Some(_)) => 6_000.0 + s,
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

    /// Whether a gang waits for its team's limit alone to let it in.
    fn is_kept_out(&self, job: usize) -> bool {
        let j = &self.view.jobs[job];
        j.gang && self.left(job) > 0 && !self.view.teams[j.team].allows(&self.demand(job))
    }

    /// Order within a team, where its guarantee is of no account.
    fn before_in_team(&self, a: usize, b: usize) -> std::cmp::Ordering {
        let rank = |job: usize| Rank {
            entitled: 0,
            ..self.rank(job)
        };
        let order = rank(a).partial_cmp(&rank(b));
        order.unwrap_or(std::cmp::Ordering::Equal).then(a.cmp(&b))
    }

    /// Small tasks that rank behind would keep a team at its limit, and a gang out for ever: what it needs is left to
    /// it, one gang a team at a time. Not if what runs on for long, other gangs mostly, keeps it out in any case.
    fn promise(&mut self, job: usize) {
        let j = &self.view.jobs[job];
        let demand = self.demand(job);
        let limit = self.view.teams[j.team].limit;
        let open = TeamView::within(limit, true, &self.lasting[j.team], &demand);
        if j.gang && j.claims && !j.resting && open && self.promised[j.team].is_none() {
            self.promised[j.team] = Some((job, demand));
        }
    }

    /// What of its team's limit is left to a gang that goes before this job: only of what the job takes itself, or a
    /// task without GPUs would wait for those of a gang.
    fn left_to_gang(&self, job: usize) -> Res {
        let j = &self.view.jobs[job];
        let first = |gang: usize| gang != job && self.before_in_team(gang, job).is_lt();
        let Some((_, kept)) = self.promised[j.team].filter(|(gang, _)| first(*gang)) else {
            return Res::default();
        };
        let of = |kept: f64, takes: f64| if takes > 0.0 { kept } else { 0.0 };
        Res {
            cpus: of(kept.cpus, j.task.cpus),
            gpus: of(kept.gpus, j.task.gpus),
            mem: 0.0,
        }
    }

    /// Places the next task or the gang; false if there is no room.
    fn place(&mut self, job: usize) -> bool {
        let demand = self.demand(job);
        let number = self.view.jobs[job].team;
        let team = &self.view.teams[number];
        let mut with = demand;
        with.add(&self.left_to_gang(job));
        if !team.allows(&with) {
            self.blocked[job] = true;
            self.promise(job);
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
                self.reserved[machine] = None;
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
                        if self.reserved.contains(&Some(job)) {
                            self.promise(job);
                        }
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
mod tests;
