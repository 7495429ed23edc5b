//! The scheduler's snapshot: teams and machines, and its assembly.

use super::numbering::Numbering;
use crate::effects::Now;
use crate::leader::machine_health::MachineHealth;
use crate::leader::model::{BootTimes, Machine};
use crate::leader::Leader;
use constants::{BOOT_OVERDUE_FACTOR, TASKS_PER_MACHINE_MAX};
use sched::{ClusterSnapshot, MachineSnapshot, Policy, ResourceBounds, Resources, TeamSnapshot};
use std::collections::HashMap;
use wire::cloud::MachineType;

/// A snapshot, with what its numbers stand for.
pub(in crate::leader) struct SchedulingSnapshot {
    /// What the scheduler sees.
    pub view: ClusterSnapshot,
    /// Ids of the jobs, by number.
    pub jobs: Vec<String>,
    /// Names of the machines, by number.
    pub machines: Vec<String>,
    /// Numbers of the machine types.
    pub kinds: Numbering,
    /// Numbers of the zones.
    pub zones: Numbering,
}

/// Resources of a machine of the type.
pub(in crate::leader) fn type_resources(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.mem_gb,
    }
}

/// A snapshot that is being assembled.
pub(super) struct SnapshotBuilder<'a> {
    /// The state that is shown.
    pub leader: &'a Leader,
    /// The moment for which it is shown.
    pub now: Now,
    /// The operators' scheduling parameters.
    pub policy: Policy,
    /// What is complete of the snapshot.
    pub view: ClusterSnapshot,
    /// Ids of the jobs, by number.
    pub jobs: Vec<String>,
    /// Names of the machines, by number.
    pub machines: Vec<String>,
    /// Numbers of the machines.
    pub machine_numbers: HashMap<&'a str, usize>,
    /// Numbers of the machine types.
    pub kinds: Numbering,
    /// Numbers of the zones.
    pub zones: Numbering,
    /// Numbers of the images.
    pub images: Numbering,
    /// Numbers of the teams.
    pub teams: Numbering,
}

impl Leader {
    /// The present state, for one round of decisions or one plan of the fleet.
    pub(in crate::leader) fn scheduling_snapshot(&self, now: Now) -> SchedulingSnapshot {
        let mut builder = SnapshotBuilder::new(self, now);
        builder.add_teams();
        builder.add_machines();
        builder.add_jobs();
        SchedulingSnapshot {
            view: builder.view,
            jobs: builder.jobs,
            machines: builder.machines,
            kinds: builder.kinds,
            zones: builder.zones,
        }
    }

    /// Whether tasks may be sent to a machine.
    fn is_usable(&self, machine: &Machine, health: MachineHealth, now: u64) -> bool {
        let silent_ms = self.silent_ms();
        machine.known
            && machine.is_reconciled
            && machine.draining.is_none()
            && machine.unreachable_since.is_none()
            && machine.notice_at.is_none()
            && !machine.failed
            && !machine.returning
            && health != MachineHealth::Faulty
            && self
                .last_heartbeat_at(machine, now)
                .is_some_and(|at| now <= at + silent_ms)
    }

    /// Seconds until a start can be sent to a machine: at once where a report waits for its answer, else with the
    /// answer to its next report.
    fn dispatch_delay_s(&self, machine: &Machine, now: u64) -> f64 {
        if machine.has_deferred_answer {
            return 0.0;
        }
        let report_s = self.settings.deployment.workers.report_s;
        let last_heartbeat = machine.last_heartbeat;
        let since_ms = last_heartbeat.map_or(0, |at| now.saturating_sub(at));
        (report_s - since_ms as f64 / 1000.0).max(0.0)
    }

    /// Seconds until a booting machine is expected to be up; nothing if it is not booting, or takes longer than usual.
    fn ready_in_s(&self, machine: &Machine, boot_s: f64, now: u64) -> Option<f64> {
        let age_s = now.saturating_sub(machine.known_since) as f64 / 1000.0;
        let booting =
            machine.expected && !machine.is_reconciled && !machine.failed && !machine.returning;
        let seen_late_s = self.boots.get(&machine.kind).and_then(BootTimes::late_s);
        let late_s = seen_late_s.unwrap_or(boot_s * BOOT_OVERDUE_FACTOR);
        let on_time = booting && machine.assignments.is_empty() && age_s < late_s;
        on_time.then(|| (boot_s - age_s).max(0.0))
    }
}

impl<'a> SnapshotBuilder<'a> {
    fn new(leader: &'a Leader, now: Now) -> Self {
        SnapshotBuilder {
            leader,
            now,
            policy: leader.operator.policy(),
            view: ClusterSnapshot::default(),
            jobs: Vec::new(),
            machines: Vec::new(),
            machine_numbers: HashMap::new(),
            kinds: Numbering::default(),
            zones: Numbering::default(),
            images: Numbering::default(),
            teams: Numbering::default(),
        }
    }

    fn add_teams(&mut self) {
        for team in &self.leader.settings.deployment.teams {
            self.teams.number(&team.name);
            self.view.teams.push(TeamSnapshot {
                guarantee: ResourceBounds::from_settings(team.cpus, team.gpus),
                limit: ResourceBounds::from_settings(team.cpus_max, team.gpus_max),
                ..TeamSnapshot::default()
            });
        }
    }

    /// Adds the machines whose type is known.
    fn add_machines(&mut self) {
        let types = self.leader.types.desired.iter().flatten();
        let types: HashMap<&str, &MachineType> = types.map(|t| (t.name.as_str(), t)).collect();
        for (name, machine) in &self.leader.machines {
            let Some(machine_type) = types.get(machine.kind.as_str()).filter(|_| machine.known)
            else {
                continue;
            };
            self.machine_numbers.insert(name, self.machines.len());
            self.machines.push(name.clone());
            let snapshot = self.machine_snapshot(name, machine, machine_type);
            self.view.machines.push(snapshot);
        }
    }

    /// A machine as if nothing ran there: running tasks are subtracted with their jobs.
    fn machine_snapshot(
        &mut self,
        name: &str,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> MachineSnapshot {
        let (leader, now) = (self.leader, self.now.mono);
        let total = type_resources(machine_type);
        let health = leader.health(name, machine, now);
        let assigned = machine.assignments.len() as u32;
        let images = machine.images.keys();
        MachineSnapshot {
            kind: self.kinds.number(&machine.kind),
            zone: self.zones.number(&machine.zone),
            spot: machine.spot,
            free: total,
            free_after_stops: total,
            total,
            usable: leader.is_usable(machine, health, now),
            free_slots: TASKS_PER_MACHINE_MAX.saturating_sub(assigned),
            pilots: 0,
            slow: machine.is_slow() || health == MachineHealth::Suspect,
            images: images.map(|image| self.images.number(image)).collect(),
            busy_s: 0.0,
            dispatch_delay_s: leader.dispatch_delay_s(machine, now),
            ready_in_s: leader.ready_in_s(machine, machine_type.boot_s, now),
        }
    }
}
