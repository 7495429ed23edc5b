//! Room for jobs that have a right to it: on machines that empty anyway, kept for gangs, or by stopping tasks.

use super::{Decision, Round, RunningView, TeamView};
use crate::Res;
use constants::{FETCH_COST_S, RESERVED_PART};

impl Round<'_> {
    /// Keeps room for a job that has the right to it: on machines that empty anyway, else by stopping tasks.
    pub(super) fn make_room(&mut self, job: usize) {
        let j = &self.view.jobs[job];
        let pilot = (self.next_task[job] as u32) < j.pilots_due;
        if !j.gang && (pilot || j.sampling) {
            return;
        }
        if j.resting {
            self.reserved
                .iter_mut()
                .filter(|r| **r == Some(job))
                .for_each(|r| *r = None);
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
}
