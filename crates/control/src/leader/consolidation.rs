//! Where money counts: machines that are emptied, and those that must stay because work waits for them.

use super::model::*;
use super::*;
use sched::Resources;

/// Machines that waiting work could use.
pub(super) struct Wanted {
    kind: String,
    zone: String,
    spot: bool,
    /// How many of them all that work fills.
    machines: usize,
}

impl Wanted {
    /// Whether the machine is one of these. Each is counted once: a few waiting tasks are no reason to keep all
    /// the machines they could use.
    pub(super) fn takes(&mut self, m: &Machine) -> bool {
        let suits = self.kind == m.kind && self.zone == m.zone && self.spot == m.spot;
        let takes = suits && self.machines > 0;
        self.machines -= usize::from(takes);
        takes
    }
}

/// Why a machine is drained whose tasks fit elsewhere.
pub(super) const CONSOLIDATED: &str = "consolidated";

impl Leader {
    /// Where money counts, empties ordinary machines whose few tasks fit on others, so that they can go back. A
    /// small part of the fleet at a time, and only while nothing waits.
    pub(super) fn consolidate(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if !self.settings.minimizes_cost() || now.mono < self.next_consolidation {
            return;
        }
        self.next_consolidation = now.mono + (CONSOLIDATE_S * 1000.0) as u64;
        let scheduling_snapshot = self.scheduling_snapshot(now);
        let view = &scheduling_snapshot.view;
        let waiting = view.jobs.iter().any(|j| !j.waiting.is_empty());
        let emptying = self
            .machines
            .values()
            .filter(|m| m.draining == Some(CONSOLIDATED) && !m.returning)
            .count();
        let most = 1 + view.machines.len() / CONSOLIDATE_PART;
        if waiting || emptying >= most {
            return;
        }
        let mut on: Vec<Vec<&sched::RunningTask>> = vec![Vec::new(); view.machines.len()];
        for r in &view.running {
            on[r.machine].push(r);
        }
        let mut rooms: Vec<(usize, Resources)> = (0..view.machines.len())
            .filter(|&o| view.machines[o].usable && (view.machines[o].spot || !on[o].is_empty()))
            .filter(|&o| view.machines[o].free.gpus > 0.0 || view.machines[o].total.gpus <= 0.0)
            .map(|o| (o, view.machines[o].free))
            .collect();
        // Fullest first: what is moved fills up what stays.
        rooms.sort_by(|a, b| a.1.gpus.total_cmp(&b.1.gpus));
        let mut candidates: Vec<usize> = (0..view.machines.len())
            .filter(|&m| {
                let machine = &view.machines[m];
                let few = machine.free.gpus >= machine.total.gpus * 0.5
                    && machine.free.cpus >= machine.total.cpus * 0.4;
                let long = machine.busy_s >= CONSOLIDATE_LEFT_S;
                let movable = || {
                    on[m].iter().all(|r| {
                        let job = self.jobs.get(&scheduling_snapshot.jobs[r.job]);
                        r.preemptible && job.is_some_and(|j| !j.is_gang() && j.spec.checkpoint_s > 0.0)
                    })
                };
                let busy = !on[m].is_empty();
                machine.usable && !machine.spot && busy && few && long && movable()
            })
            .collect();
        candidates.sort_by(|&a, &b| {
            let free = |m: usize| view.machines[m].free.gpus;
            free(b).total_cmp(&free(a))
        });
        let mut filled = BTreeSet::new();
        let mut chosen: Vec<usize> = Vec::new();
        for m in candidates {
            if chosen.len() + emptying >= most {
                break;
            }
            if filled.contains(&m) {
                continue;
            }
            let mut taken: Vec<(usize, Resources)> = Vec::new();
            let all = on[m].iter().all(|r| {
                let job = &view.jobs[r.job];
                let plain = job.spot && job.zone.is_none() && !job.one_zone;
                let fits = |(o, room): &&mut (usize, Resources)| {
                    *o != m && !chosen.contains(o) && room.can_fit(&r.resources)
                };
                let found = rooms.iter_mut().find(fits).map(|(o, room)| {
                    room.sub(&r.resources);
                    taken.push((*o, r.resources));
                });
                found.is_some() && plain && job.max_per_zone.is_none()
            });
            if all {
                filled.extend(taken.iter().map(|(o, _)| *o));
                chosen.push(m);
                continue;
            }
            for (o, res) in taken {
                if let Some((_, room)) = rooms.iter_mut().find(|(at, _)| *at == o) {
                    room.add(&res);
                }
            }
        }
        for m in chosen {
            if let Some(m) = self.machines.get_mut(&scheduling_snapshot.machines[m]) {
                log::info!(
                    "event=consolidate kind={} tasks={}",
                    m.kind,
                    m.assignments.len()
                );
                m.draining = Some(CONSOLIDATED);
            }
        }
    }

    /// What waits for machines, so that none is given back that the next round may need: the machines of a large
    /// gang come up one by one, and the first would otherwise be gone before the last is there.
    pub(super) fn wanted(&self, now: Now) -> Vec<Wanted> {
        let teams = &self.settings.deployment.teams;
        let mut used: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let all = job.res().times(f64::from(job.assigned));
            used.entry(&job.spec.team).or_default().add(&all);
        }
        let full = |job: &Job| {
            let Some(team) = teams.iter().find(|t| t.name == job.spec.team) else {
                return false;
            };
            let used = used
                .get(job.spec.team.as_str())
                .copied()
                .unwrap_or_default();
            let n = if job.is_gang() {
                job.spec.tasks as f64
            } else {
                1.0
            };
            let over = |max: f64, used: f64, more: f64| max > 0.0 && used + more * n > max;
            over(team.cpus_max, used.cpus, job.spec.cpus)
                || over(team.gpus_max, used.gpus, job.spec.gpus)
        };
        let waits = |job: &&Job| {
            !job.aborted
                && !job.awaits_dependencies()
                && u64::from(job.assigned) + job.done < job.spec.tasks
                && job.failures == 0
                && !job.is_resting(now.unix)
                && !full(job)
        };
        let types = self.types.desired.iter().flatten();
        let jobs: Vec<&Job> = self.jobs.values().filter(waits).collect();
        let mut wanted: Vec<Wanted> = Vec::new();
        for t in types {
            for zone in &t.zones {
                for spot in [false, true] {
                    let suits = |j: &&&Job| {
                        let s = &j.spec;
                        (s.spot || !spot)
                            && s.zone.as_ref().is_none_or(|z| z == zone)
                            && s.types.as_ref().is_none_or(|k| k.contains(&t.name))
                            && s.cpus <= t.cpus
                            && s.gpus <= t.gpus
                            && s.mem_gb <= t.mem_gb
                    };
                    let total = Resources {
                        cpus: t.cpus,
                        gpus: t.gpus,
                        memory_gb: t.mem_gb,
                    };
                    let filled = |j: &&Job| {
                        let waiting = (j.spec.tasks - j.done) as u32 - j.assigned;
                        waiting.div_ceil(total.capacity_for(&j.res(), waiting).max(1)) as usize
                    };
                    let machines = jobs.iter().filter(suits).map(filled).sum();
                    if machines > 0 {
                        wanted.push(Wanted {
                            kind: t.name.clone(),
                            zone: zone.clone(),
                            spot,
                            machines,
                        });
                    }
                }
            }
        }
        wanted
    }
}
