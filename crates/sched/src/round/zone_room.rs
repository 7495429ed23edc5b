//! Counts the tasks that are chosen for a job by zone, so that no zone is chosen for more tasks than it may take.

use super::{add_to_zone, Round};

/// Room that the zones have left for tasks of a job.
pub(super) struct ZoneRoom<'r, 'a> {
    round: &'r Round<'a>,
    job: usize,
    /// Number of tasks chosen so far, by zone.
    chosen: Vec<(usize, u32)>,
}

impl<'r, 'a> ZoneRoom<'r, 'a> {
    /// All zones, with no tasks chosen.
    pub(super) fn new(round: &'r Round<'a>, job: usize) -> Self {
        ZoneRoom {
            round,
            job,
            chosen: Vec::new(),
        }
    }

    /// Chooses as many of `tasks` tasks on a machine as its zone may take, and returns how many.
    pub(super) fn take(&mut self, machine: usize, tasks: u32) -> u32 {
        let zone = self.round.snapshot.machines[machine].zone;
        let in_zone = self.chosen.iter().find(|(known, _)| *known == zone);
        let in_zone = in_zone.map_or(0, |(_, tasks)| *tasks);
        let left = self.round.zone_capacity(self.job, zone);
        let taken = tasks.min(left.saturating_sub(in_zone));
        add_to_zone(&mut self.chosen, zone, taken);
        taken
    }
}
