//! Whether task failures are attributed to the machine on which they occurred or to the job.

use super::model::{Job, Machine};
use super::Leader;
use constants::FAULTY_MACHINE_FAILED_JOBS;

/// Health of a machine, judged by the tasks that failed on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineHealth {
    /// Failed tasks give no reason to avoid it.
    Trusted,
    /// Jobs failed on it that have neither failed nor proved sound elsewhere yet. Other machines are preferred.
    Suspect,
    /// It gets no more tasks and is returned to the cloud.
    Faulty,
}

impl Leader {
    /// The health of a machine. Jobs that have also failed on other machines and are not known to be sound are no
    /// evidence.
    ///
    /// A machine is faulty only if a sound job failed on it. Without this rule, a few jobs that fail everywhere and
    /// were submitted at the same time made every machine count as faulty before any of the jobs had been tried on a
    /// third machine, and the whole fleet was returned.
    pub(super) fn machine_health(&self, name: &str, machine: &Machine, now: u64) -> MachineHealth {
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

    /// Whether a job is known not to fail everywhere: it is done, or tasks of it run on another machine. Cancelled jobs
    /// are no evidence and are removed from the machines' sets of failed jobs.
    fn is_sound_elsewhere(&self, id: &str, machine: &str, now: u64) -> bool {
        let job = self.jobs.get(id);
        job.is_none_or(|job| job.is_sound(now, |assignment| assignment.machine != machine))
    }

    /// Whether a job has failed on no other machine.
    fn has_failed_only_on(&self, id: &str, machine: &str) -> bool {
        let job = self.jobs.get(id);
        job.is_none_or(|job| job.failed_machines.iter().all(|other| other == machine))
    }

    /// Removes a cancelled job from the failed jobs of all machines: its failures are no evidence against them.
    pub(super) fn clear_job_failures(&mut self, id: &str, job: &Job) {
        for name in &job.failed_machines {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.failed_jobs.remove(id);
            }
        }
    }
}
