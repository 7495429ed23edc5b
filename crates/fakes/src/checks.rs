//! What is checked at every step, and what may not happen once all troubles are over.

use super::*;

impl World {
    /// Looks for broken rules.
    pub(crate) fn check(&mut self) {
        for (job, at) in &self.cancelled {
            if self.rules.cancelled_at(job).is_none() {
                self.rules.told_cancelled(job, *at);
            }
        }
        let mut placed = Vec::new();
        for w in self.workers.values() {
            placed.extend(w.live().map(|(task, attempt)| Placed {
                machine: &w.name,
                kind: KIND,
                zone: &w.zone,
                spot: w.spot,
                task,
                attempt,
            }));
        }
        let state = &self.state;
        let ended = |id: &str| state.read::<Final>(&final_key(id)) == Some(Final::Done);
        self.rules.look(&placed, &self.jobs, ended, self.now);
        if self.over && self.now.is_multiple_of(1_000) {
            self.check_waiting();
        }
        self.broken.append(&mut self.rules.broken);
    }

    /// Whether jobs of one task wait although a machine that fits has room and their team may use more.
    pub(crate) fn check_waiting(&mut self) {
        let mut on: BTreeMap<&str, u32> = BTreeMap::new();
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut free = Vec::new();
        for w in self.workers.values() {
            let mut room = MACHINE;
            let live = w.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Ended);
            for ((task, _), _) in live {
                let id = task.split('/').next().unwrap_or_default();
                *on.entry(id).or_default() += 1;
                if let Some(job) = self.jobs.get(id) {
                    let team = used.entry(&job.team).or_default();
                    *team = (team.0 + job.cpus, team.1 + job.gpus);
                    room = (room.0 - job.cpus, room.1 - job.gpus, room.2 - job.mem_gb);
                }
            }
            if w.is_reached(self.now) && w.taken_at.is_none() {
                free.push((w, room));
            }
        }
        let teams = &self.settings[0].deployment.teams;
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.tasks == 1) {
            let open = self.rules.is_accepted(id)
                && self.rules.end(id).is_none()
                && !self.rules.is_called_off(id)
                && self.state.read::<Final>(&final_key(id)).is_none();
            let (cpus, gpus) = used.get(job.team.as_str()).copied().unwrap_or_default();
            let under = |sum: f64, max: f64| max <= 0.0 || sum <= max + 1e-6;
            let team = teams.iter().find(|t| t.name == job.team);
            let may = team.is_some_and(|t| {
                under(cpus + job.cpus, t.cpus_max) && under(gpus + job.gpus, t.gpus_max)
            });
            let fits = |(w, room): &(&FakeWorker, (f64, f64, f64))| {
                room.0 >= job.cpus
                    && room.1 >= job.gpus
                    && room.2 >= job.mem_gb
                    && job.zone.as_ref().is_none_or(|z| *z == w.zone)
                    && job
                        .types
                        .as_ref()
                        .is_none_or(|t| t.iter().any(|t| t == KIND))
                    && (job.spot || !w.spot)
            };
            let waits = open
                && may
                && job.needs.is_empty()
                && !on.contains_key(id.as_str())
                && free.iter().any(fits);
            self.rules.waits_beside_room(id, waits, self.now);
        }
    }
}
