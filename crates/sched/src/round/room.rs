//! Room for a job that has a right to it: on machines that empty anyway, by stopping tasks, or reserved for a gang.

use super::Round;

impl Round<'_> {
    /// Makes room for a job that found none. What is asked for here is free in a later round.
    pub(super) fn make_room(&mut self, job: usize) {
        let spec = &self.snapshot.jobs[job];
        if !spec.gang && (self.next_is_pilot(job) || spec.sampling) {
            return;
        }
        if spec.resting {
            return self.release_reservations(job);
        }
        let is_gang = spec.gang;
        let entitled = self.snapshot.teams[spec.team].entitles(&self.demand(job));
        let emptying = if is_gang {
            self.wait_for_gang_room(job)
        } else {
            self.wait_for_task_room(job)
        };
        if emptying || self.preempt(job, entitled) {
            return;
        }
        if is_gang {
            self.reserve_emptying(job);
        }
    }

    /// Reserves machines that are emptying or on their way, if they have room for the whole gang.
    fn wait_for_gang_room(&mut self, job: usize) -> bool {
        let Some(chosen) = self.gang_machines(job, |machine| machine.soon, true) else {
            return false;
        };
        self.release_reservations(job);
        for machine in chosen {
            self.reserved_for[machine] = Some(job);
        }
        true
    }

    /// Counts on a machine that is emptying, if there is one with room for a task.
    fn wait_for_task_room(&mut self, job: usize) -> bool {
        let task = self.snapshot.jobs[job].task;
        let emptying = (0..self.snapshot.machines.len()).find(|&machine| {
            self.snapshot.machines[machine].soon.fits(&task)
                && self.is_allowed(job, machine)
                && self.is_available(job, machine)
        });
        let Some(machine) = emptying else {
            return false;
        };
        // Only what is on its way out is counted on; the machine's free room stays open to all.
        self.snapshot.machines[machine].soon.sub(&task);
        true
    }
}
