//! Who is to blame for failed tasks: the machine on which they failed, or the job that was submitted with a mistake.

use super::model::*;
use super::*;

/// What the failed tasks of a machine say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineHealth {
    /// Nothing.
    Trusted,
    /// Jobs failed there that have not been tried elsewhere yet: other machines go first.
    Suspect,
    /// It gets no more work and is given back.
    Faulty,
}

impl Leader {
    /// Whether a job does not fail everywhere: it is done, or has tasks that run on another machine. Cancelled jobs
    /// prove nothing and are taken out of the machines' lists.
    fn is_sound_beside(&self, id: &str, machine: &str, now: u64) -> bool {
        let job = self.jobs.get(id);
        job.is_none_or(|j| j.is_sound(now, |p| p.machine != machine))
    }

    /// What failed tasks say of a machine. Jobs that have failed elsewhere as well and are not known to be sound say
    /// nothing. Without the proof of a sound job, a few jobs that fail everywhere, submitted at the same time, had each
    /// machine taken for faulty before any of them had been tried on a third one, and the whole fleet given back.
    pub(super) fn health(&self, name: &str, m: &Machine, now: u64) -> MachineHealth {
        if m.failed_jobs.len() < FAULTY_JOBS {
            return MachineHealth::Trusted;
        }
        let is_sound = |id: &&String| self.is_sound_beside(id, name, now);
        let fails_only_here = |id: &&String| {
            let job = self.jobs.get(*id);
            job.is_none_or(|j| j.failed_machines.iter().all(|other| other == name))
        };
        let blames = |id: &&String| is_sound(id) || fails_only_here(id);
        if m.failed_jobs.iter().filter(blames).count() < FAULTY_JOBS {
            MachineHealth::Trusted
        } else if m.failed_jobs.iter().any(|id| is_sound(&id)) {
            MachineHealth::Faulty
        } else {
            MachineHealth::Suspect
        }
    }

    /// A job that was cancelled says nothing about the machines on which it failed.
    pub(super) fn forget_failures(&mut self, id: &str, job: &Job) {
        for name in &job.failed_machines {
            if let Some(m) = self.machines.get_mut(name) {
                m.failed_jobs.remove(id);
            }
        }
    }
}
