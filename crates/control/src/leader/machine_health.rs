//! Whether failed tasks are the fault of the machine on which they failed, or of the job that was submitted.

use super::model::{Job, Machine};
use super::Leader;
use constants::FAULTY_MACHINE_FAILED_JOBS;

/// What the failed tasks of a machine say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineHealth {
    /// Nothing.
    Trusted,
    /// Jobs failed there that have not been tried elsewhere yet: other machines are preferred.
    Suspect,
    /// It gets no more work and is given back.
    Faulty,
}

impl Leader {
    /// What failed tasks say about a machine. Jobs that have failed elsewhere as well and are not known to be sound
    /// say nothing.
    ///
    /// A machine is faulty only if a sound job failed there. Without that rule, a few jobs that fail everywhere,
    /// submitted at the same time, made each machine count as faulty before any of them had been tried on a third one,
    /// and the whole fleet was given back.
    pub(super) fn health(&self, name: &str, machine: &Machine, now: u64) -> MachineHealth {
        if machine.failed_jobs.len() < FAULTY_MACHINE_FAILED_JOBS {
            return MachineHealth::Trusted;
        }
        let is_sound = |id: &String| self.is_sound_elsewhere(id, name, now);
        let is_evidence = |id: &&String| is_sound(id) || self.has_failed_only_on(id, name);
        if machine.failed_jobs.iter().filter(is_evidence).count() < FAULTY_MACHINE_FAILED_JOBS {
            MachineHealth::Trusted
        } else if machine.failed_jobs.iter().any(is_sound) {
            MachineHealth::Faulty
        } else {
            MachineHealth::Suspect
        }
    }

    /// Whether a job is known not to fail everywhere: it is done, or has tasks that run on another machine. Cancelled
    /// jobs prove nothing and are removed from the machines' lists.
    fn is_sound_elsewhere(&self, id: &str, machine: &str, now: u64) -> bool {
        let job = self.jobs.get(id);
        job.is_none_or(|job| job.is_sound(now, |assignment| assignment.machine != machine))
    }

    /// Whether a job has failed on no other machine.
    fn has_failed_only_on(&self, id: &str, machine: &str) -> bool {
        let job = self.jobs.get(id);
        job.is_none_or(|job| job.failed_machines.iter().all(|other| other == machine))
    }

    /// Forgets the failures of a cancelled job: they say nothing about the machines on which it failed.
    pub(super) fn forget_failures(&mut self, id: &str, job: &Job) {
        for name in &job.failed_machines {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.failed_jobs.remove(id);
            }
        }
    }
}
