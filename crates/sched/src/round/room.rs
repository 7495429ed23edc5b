//! Room for a job that is entitled to it: on machines that are draining anyway, by preemption, or reserved for a gang.

use super::Round;

impl Round<'_> {
    /// Makes room for a job that found none. The room is free in a later round.
    pub(super) fn make_room(&mut self, job: usize) {
        let spec = &self.snapshot.jobs[job];
        if !spec.gang && (self.next_is_pilot(job) || spec.sampling) {
            return;
        }
        if spec.backed_off {
            return self.release_reservations(job);
        }
        let is_gang = spec.gang;
        let entitled = self.snapshot.teams[spec.team].entitles(&self.demand(job));
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

    /// Reserves machines that are draining or booting, if they have room for the whole gang.
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

    /// Uses room that tasks being stopped are about to leave, if some machine has enough for a task.
    fn use_expected_room(&mut self, job: usize) -> bool {
        let task = self.snapshot.jobs[job].task;
        let machine = (0..self.snapshot.machines.len()).find(|&machine| {
            self.snapshot.machines[machine]
                .free_after_stops
                .can_fit(&task)
                && self.is_allowed(job, machine)
                && self.is_available(job, machine)
        });
        let Some(machine) = machine else {
            return false;
        };
        // Only `free_after_stops` is used up; the room that is free now stays open to all.
        self.snapshot.machines[machine].free_after_stops.sub(&task);
        true
    }
}
