//! Assembly of the scheduler's snapshot, with its teams and machines.

use super::interner::Interner;
use crate::effects::Now;
use crate::leader::machine_health::MachineHealth;
use crate::leader::model::{BootTimes, Machine};
use crate::leader::Leader;
use crate::offers::type_resources;
use constants::{BOOT_OVERDUE_FACTOR, TASKS_PER_MACHINE_MAX};
use sched::{ClusterSnapshot, MachineSnapshot, Policy, TeamSnapshot};
use std::collections::HashMap;
use wire::cloud::MachineType;

/// A snapshot of the cluster, with the names behind its indices.
pub(in crate::leader) struct SchedulingSnapshot {
    /// The cluster as the scheduler sees it.
    pub cluster: ClusterSnapshot,
    /// Ids of the jobs, by index.
    pub job_ids: Vec<String>,
    /// Names of the machines, by index.
    pub machine_names: Vec<String>,
    /// Indices of the machine types.
    pub machine_types: Interner,
    /// Indices of the zones.
    pub zones: Interner,
}

/// A snapshot under construction.
pub(super) struct SnapshotBuilder<'a> {
    /// Source of the snapshot.
    pub leader: &'a Leader,
    /// Time of the snapshot.
    pub now: Now,
    /// The operators' scheduling parameters.
    pub policy: Policy,
    /// The part of the snapshot that has been built.
    pub cluster: ClusterSnapshot,
    /// Ids of the jobs, by index.
    pub job_ids: Vec<String>,
    /// Names of the machines, by index.
    pub machine_names: Vec<String>,
    /// Indices of the machines, by name.
    pub machine_indices: HashMap<&'a str, usize>,
    /// Indices of the machine types.
    pub machine_types: Interner,
    /// Indices of the zones.
    pub zones: Interner,
    /// Indices of the images.
    pub images: Interner,
    /// Indices of the teams.
    pub teams: Interner,
}

impl Leader {
    /// A snapshot of the current state, for one scheduling round or one plan of the fleet.
    pub(in crate::leader) fn scheduling_snapshot(&self, now: Now) -> SchedulingSnapshot {
        let mut builder = SnapshotBuilder::new(self, now);
        builder.add_teams();
        builder.add_machines();
        builder.add_jobs();
        SchedulingSnapshot {
            cluster: builder.cluster,
            job_ids: builder.job_ids,
            machine_names: builder.machine_names,
            machine_types: builder.machine_types,
            zones: builder.zones,
        }
    }

    /// Whether new tasks may be placed on a machine.
    fn is_usable(&self, machine: &Machine, health: MachineHealth, now: u64) -> bool {
        let silent_ms = self.heartbeat_timeout_ms();
        machine.is_described
            && machine.is_reconciled
            && machine.draining.is_none()
            && machine.unreachable_since.is_none()
            && machine.reclaim_at.is_none()
            && !machine.failed
            && !machine.returning
            && health != MachineHealth::Faulty
            && self
                .last_heartbeat_at(machine, now)
                .is_some_and(|at| now <= at + silent_ms)
    }

    /// Seconds until a start can be sent to a machine: 0 if the answer to a heartbeat is deferred, otherwise the time
    /// until its next heartbeat, whose answer carries the start.
    fn dispatch_delay_s(&self, machine: &Machine, now: u64) -> f64 {
        if machine.has_deferred_answer {
            return 0.0;
        }
        let report_s = self.settings.deployment.workers.report_s;
        let last_heartbeat = machine.last_heartbeat;
        let since_ms = last_heartbeat.map_or(0, |at| now.saturating_sub(at));
        (report_s - since_ms as f64 / 1000.0).max(0.0)
    }

    /// Seconds until a booting machine is expected to be up; `None` if it is not booting or is late.
    fn ready_in_s(&self, machine: &Machine, boot_s: f64, now: u64) -> Option<f64> {
        let age_s = now.saturating_sub(machine.known_since) as f64 / 1000.0;
        let booting = machine.confirmed_by_cloud
            && !machine.is_reconciled
            && !machine.failed
            && !machine.returning;
        let observed_late_after_s = self
            .boot_times
            .get(&machine.type_name)
            .and_then(BootTimes::late_after_s);
        let late_after_s = observed_late_after_s.unwrap_or(boot_s * BOOT_OVERDUE_FACTOR);
        let on_time = booting && machine.assignments.is_empty() && age_s < late_after_s;
        on_time.then(|| (boot_s - age_s).max(0.0))
    }
}

impl<'a> SnapshotBuilder<'a> {
    fn new(leader: &'a Leader, now: Now) -> Self {
        SnapshotBuilder {
            leader,
            now,
            policy: leader.operator.policy(),
            cluster: ClusterSnapshot::default(),
            job_ids: Vec::new(),
            machine_names: Vec::new(),
            machine_indices: HashMap::new(),
            machine_types: Interner::default(),
            zones: Interner::default(),
            images: Interner::default(),
            teams: Interner::default(),
        }
    }

    fn add_teams(&mut self) {
        for team in &self.leader.settings.deployment.teams {
            self.teams.intern(&team.name);
            self.cluster.teams.push(TeamSnapshot {
                guarantee: team.guarantee(),
                limit: team.limit(),
                ..TeamSnapshot::default()
            });
        }
    }

    /// Adds the machines whose type, zone and `spot` are known and whose type is offered.
    fn add_machines(&mut self) {
        let types = self.leader.machine_types.desired.iter().flatten();
        let types: HashMap<&str, &MachineType> = types.map(|t| (t.name.as_str(), t)).collect();
        for (name, machine) in &self.leader.machines {
            let Some(machine_type) = types
                .get(machine.type_name.as_str())
                .filter(|_| machine.is_described)
            else {
                continue;
            };
            self.machine_indices.insert(name, self.machine_names.len());
            self.machine_names.push(name.clone());
            let snapshot = self.machine_snapshot(name, machine, machine_type);
            self.cluster.machines.push(snapshot);
        }
    }

    /// The snapshot of a machine as if it were empty. The resources of running tasks are subtracted when their jobs are
    /// added.
    fn machine_snapshot(
        &mut self,
        name: &str,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> MachineSnapshot {
        let (leader, now) = (self.leader, self.now.mono);
        let total = type_resources(machine_type);
        let health = leader.machine_health(name, machine, now);
        let assigned = machine.assignments.len() as u32;
        let images = machine.cached_images.keys();
        MachineSnapshot {
            machine_type: self.machine_types.intern(&machine.type_name),
            zone: self.zones.intern(&machine.zone),
            spot: machine.spot,
            free: total,
            free_after_stops: total,
            total,
            usable: leader.is_usable(machine, health, now),
            free_slots: TASKS_PER_MACHINE_MAX.saturating_sub(assigned),
            pilots: 0,
            slow: machine.is_slow() || health == MachineHealth::Suspect,
            images: images.map(|image| self.images.intern(image)).collect(),
            busy_s: 0.0,
            dispatch_delay_s: leader.dispatch_delay_s(machine, now),
            ready_in_s: leader.ready_in_s(machine, machine_type.boot_s, now),
        }
    }
}
