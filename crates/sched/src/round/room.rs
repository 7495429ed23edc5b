//! Capacity for a job that could not be placed: resources of tasks that are already being stopped, preemption of
//! running tasks, or, for a gang, reserved machines.

use super::Round;

impl Round<'_> {
    /// Finds capacity for a job that could not be placed. The capacity becomes free in a later round.
    pub(super) fn make_room(&mut self, job: usize) {
        let job_snapshot = &self.snapshot.jobs[job];
        if !job_snapshot.gang && (self.next_is_pilot(job) || job_snapshot.sampling) {
            return;
        }
        if job_snapshot.backed_off {
            return self.release_reservations(job);
        }
        let is_gang = job_snapshot.gang;
        let entitled =
            self.snapshot.teams[job_snapshot.team].is_within_guarantee(&self.next_demand(job));
        let has_expected_room = if is_gang {
            self.reserve_expected_room(job)
        } else {
            self.use_expected_room(job)
        };
        if has_expected_room || self.preempt(job, entitled) {
            return;
        }
        if is_gang {
            self.reserve_draining(job);
        }
    }

    /// Reserves machines for a whole gang, counting resources of tasks that are being stopped and machines that are
    /// booting; false if these have too little capacity.
    fn reserve_expected_room(&mut self, job: usize) -> bool {
        let Some(chosen) = self.gang_machines(job, |machine| machine.free_after_stops, true) else {
            return false;
        };
        self.release_reservations(job);
        for machine in chosen {
            self.reserved_for[machine] = Some(job);
        }
        true
    }

    /// Uses resources that tasks being stopped are about to free; false if no machine will have capacity for a task.
    fn use_expected_room(&mut self, job: usize) -> bool {
        let task = self.snapshot.jobs[job].task_resources;
        let machine = (0..self.snapshot.machines.len()).find(|&machine| {
            self.snapshot.machines[machine]
                .free_after_stops
                .can_fit(&task)
                && self.is_allowed(job, machine)
                && self.is_available(job, machine)
                && self.zone_capacity(job, self.snapshot.machines[machine].zone) > 0
        });
        let Some(machine) = machine else {
            return false;
        };
        // Only `free_after_stops` is reduced. The resources that are free now stay available to all jobs.
        self.snapshot.machines[machine].free_after_stops.sub(&task);
        true
    }
}
