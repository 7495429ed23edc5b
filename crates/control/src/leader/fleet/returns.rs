//! Scale-in: which machines are returned to the cloud, and why.

mod reason;

use crate::effects::{Effects, Now};
use crate::leader::consolidation::{MachineDemand, CONSOLIDATED};
use crate::leader::machine_health::MachineHealth;
use crate::leader::model::Machine;
use crate::leader::Leader;
use crate::requests::{CloudOp, CloudPurpose};
use constants::{
    BOOT_TIMEOUT_EXTRA_S, BOOT_TIMEOUT_FACTOR, CLOUD_TIMEOUT_MS, IDLE_RESERVE_FLEET_DIVISOR,
    IDLE_RESERVE_MIN, IDLE_SURPLUS_RETURN_MS, MACHINES_PER_RETURN_MAX, ON_DEMAND_IDLE_FACTOR,
    SILENT_MACHINE_RETURN_LEASES, SILENT_WITH_TASKS_RETURN_DELAY_MS, SPOT_IDLE_FACTOR,
    SPOT_NOTICE_RETURN_DELAY_MS, UNREACHABLE_RETURN_LEASES,
};
use reason::ReturnReason;

/// Consecutive complete listings without a machine after which the machine may count as removed by the cloud.
const MISSED_LISTINGS_MIN: u32 = 2;
/// Milliseconds without a heartbeat, per second of the heartbeat interval, after which an unlisted machine is gone: one
/// and a half intervals.
const UNLISTED_MS_PER_REPORT_S: f64 = 1_500.0;
/// Milliseconds added to that time for heartbeats in transit.
const UNLISTED_EXTRA_MS: u64 = 500;
/// Assumed boot time of a machine of an unknown type, in seconds.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;
/// Milliseconds after which an unanswered return request is sent again.
const RETURN_RESEND_MS: u64 = 2 * CLOUD_TIMEOUT_MS;
/// Milliseconds after which a failed return request is sent again.
const RETURN_RETRY_MS: u64 = 2_000;

/// Timeouts in milliseconds that decide on returns, computed once for all machines of a decision.
struct ReturnTimeouts {
    /// After the leader's last answer, when a worker's lease has certainly expired.
    lease_expiry_ms: u64,
    heartbeat_timeout_ms: u64,
    unlisted_ms: u64,
    idle_spot_ms: u64,
    idle_on_demand_ms: u64,
}

impl ReturnTimeouts {
    fn new(leader: &Leader) -> Self {
        let report_s = leader.settings.deployment.workers.report_s;
        let idle_ms = |factor: f64| (leader.operator.idle_return_s * 1000.0 * factor) as u64;
        ReturnTimeouts {
            lease_expiry_ms: leader.lease_expiry_ms(),
            heartbeat_timeout_ms: leader.heartbeat_timeout_ms(),
            unlisted_ms: (report_s * UNLISTED_MS_PER_REPORT_S) as u64 + UNLISTED_EXTRA_MS,
            idle_spot_ms: idle_ms(SPOT_IDLE_FACTOR),
            idle_on_demand_ms: idle_ms(ON_DEMAND_IDLE_FACTOR),
        }
    }

    /// Silence after which a machine is returned. A machine that has stopped is soon listed as failed. One that stays
    /// silent without being listed as failed is cut off from the network or hangs, and mostly recovers, with its cached
    /// images, before a new machine would be up. There is no hurry to return one without tasks.
    fn silence_timeout_ms(&self, machine: &Machine) -> u64 {
        match has_no_tasks(machine) {
            true => (self.lease_expiry_ms as f64 * SILENT_MACHINE_RETURN_LEASES) as u64,
            false => self.occupied_silence_timeout_ms(),
        }
    }

    /// Silence after which a machine is returned if tasks may still run on it.
    fn occupied_silence_timeout_ms(&self) -> u64 {
        self.lease_expiry_ms + SILENT_WITH_TASKS_RETURN_DELAY_MS
    }

    fn idle_timeout_ms(&self, machine: &Machine) -> u64 {
        match machine.spot {
            true => self.idle_spot_ms,
            false => self.idle_on_demand_ms,
        }
    }
}

/// Counts that limit how many idle machines are returned.
struct IdleMachines {
    /// Machines that waiting tasks could use.
    demand: Vec<MachineDemand>,
    /// Number of idle machines beyond the part of the fleet that may be idle for longer. That part serves the next
    /// tasks as well as all idle machines would.
    surplus: usize,
}

/// The time since a machine's last heartbeat.
#[derive(Clone, Copy)]
struct Silence {
    /// When the last heartbeat arrived, or when this leader could first have received one, if that is later.
    since: u64,
    /// Milliseconds since then.
    duration_ms: u64,
}

/// Whether the machine has neither assigned tasks nor orphans.
fn has_no_tasks(machine: &Machine) -> bool {
    machine.assignments.is_empty() && machine.orphans.is_empty()
}

impl Leader {
    /// Decides which machines are returned, and sends a return request for as many as the cloud accepts at a time.
    pub(super) fn return_machines(&mut self, effects: &mut Effects) {
        for (name, reason) in self.choose_returns(effects.now) {
            self.mark_returning(&name, reason);
        }
        self.send_returns(effects);
    }

    fn choose_returns(&self, now: Now) -> Vec<(String, ReturnReason)> {
        let timeouts = ReturnTimeouts::new(self);
        let mut idle = self.idle_machines(now);
        let staying = self.machines.iter().filter(|(_, m)| !m.returning);
        staying
            .filter_map(|(name, machine)| {
                let reason = self.return_reason(name, machine, &timeouts, &mut idle, now.mono)?;
                Some((name.clone(), reason))
            })
            .collect()
    }

    fn idle_machines(&self, now: Now) -> IdleMachines {
        let is_idle = |m: &&Machine| m.is_reconciled && m.assignments.is_empty() && !m.returning;
        let allowed_idle = IDLE_RESERVE_MIN + self.machines.len() / IDLE_RESERVE_FLEET_DIVISOR;
        let idle = self.machines.values().filter(is_idle).count();
        IdleMachines {
            demand: self.machine_demand(now),
            surplus: idle.saturating_sub(allowed_idle),
        }
    }

    /// How long a machine has been silent. Time before the process last resumed from a stall doesn't count: a leader
    /// that was suspended during an outage and still leads would otherwise return its whole fleet.
    fn silence(&self, machine: &Machine, now: u64) -> Silence {
        let listening_since = self.ready_at.max(self.resumed_at);
        let last_heartbeat_at = self.last_heartbeat_at(machine, now).unwrap_or(0);
        let last_heartbeat_at = last_heartbeat_at.max(listening_since);
        Silence {
            since: last_heartbeat_at,
            duration_ms: now.saturating_sub(last_heartbeat_at),
        }
    }

    fn return_reason(
        &self,
        name: &str,
        machine: &Machine,
        timeouts: &ReturnTimeouts,
        idle: &mut IdleMachines,
        now: u64,
    ) -> Option<ReturnReason> {
        let silence = self.silence(machine, now);
        if machine.failed {
            return Some(ReturnReason::Failed);
        }
        if machine.missed_listings >= MISSED_LISTINGS_MIN
            && silence.duration_ms > timeouts.unlisted_ms
        {
            return Some(ReturnReason::Unlisted);
        }
        // It is returned whether or not it is already gone. Once the cloud confirms the return, its tasks are certainly
        // over and can be released, and waiting longer gains nothing.
        let is_notice_expired = |at: u64| {
            now > at + SPOT_NOTICE_RETURN_DELAY_MS
                && now > silence.since + SPOT_NOTICE_RETURN_DELAY_MS
        };
        if machine.reclaim_at.is_some_and(is_notice_expired) {
            return Some(ReturnReason::NoticeExpired);
        }
        if machine.last_heartbeat.is_none() {
            let limit = self.registration_timeout_ms(machine, timeouts);
            let is_late = now > machine.known_since + limit && silence.duration_ms > limit;
            return is_late.then_some(ReturnReason::NeverRegistered);
        }
        if silence.duration_ms > timeouts.silence_timeout_ms(machine) {
            return Some(ReturnReason::Silent);
        }
        if !has_no_tasks(machine) {
            return None;
        }
        self.empty_return_reason(name, machine, timeouts, now)
            .or_else(|| {
                self.is_idle_too_long(machine, silence, timeouts, idle, now)
                    .then_some(ReturnReason::Idle)
            })
    }

    /// Why a machine without tasks is returned, for reasons other than being idle.
    fn empty_return_reason(
        &self,
        name: &str,
        machine: &Machine,
        timeouts: &ReturnTimeouts,
        now: u64,
    ) -> Option<ReturnReason> {
        if machine.reclaim_at.is_some() {
            return Some(ReturnReason::EmptyUnderNotice);
        }
        if machine.draining == Some(CONSOLIDATED) {
            return Some(ReturnReason::Consolidated);
        }
        if self.machine_health(name, machine, now) == MachineHealth::Faulty {
            return Some(ReturnReason::Faulty);
        }
        let unreachable_ms = UNREACHABLE_RETURN_LEASES * timeouts.lease_expiry_ms;
        let unreachable_since = machine.unreachable_since?;
        (now > unreachable_since + unreachable_ms).then_some(ReturnReason::Unreachable)
    }

    /// Milliseconds after which a machine that has not sent a heartbeat yet is returned.
    fn registration_timeout_ms(&self, machine: &Machine, timeouts: &ReturnTimeouts) -> u64 {
        if !machine.assignments.is_empty() {
            return timeouts.occupied_silence_timeout_ms();
        }
        let mut types = self.machine_types.desired.iter().flatten();
        let machine_type = types.find(|t| t.name == machine.type_name);
        let boot_s = machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |t| t.boot_s);
        ((boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S) * 1000.0) as u64
    }

    /// Whether a machine without tasks has been idle for too long and waiting tasks can't use it. Such a machine is
    /// subtracted from the surplus in `idle`; one that waiting tasks can use is subtracted from their demand.
    fn is_idle_too_long(
        &self,
        machine: &Machine,
        silence: Silence,
        timeouts: &ReturnTimeouts,
        idle: &mut IdleMachines,
        now: u64,
    ) -> bool {
        let is_reporting =
            machine.is_reconciled && silence.duration_ms <= timeouts.heartbeat_timeout_ms;
        if !self.settings.minimizes_cost() || !is_reporting {
            return false;
        }
        let limit = match idle.surplus > 0 {
            true => IDLE_SURPLUS_RETURN_MS,
            false => timeouts.idle_timeout_ms(machine),
        };
        if now <= machine.idle_since + limit {
            return false;
        }
        if idle.demand.iter_mut().any(|demand| demand.claim(machine)) {
            return false;
        }
        idle.surplus = idle.surplus.saturating_sub(1);
        true
    }

    fn mark_returning(&mut self, name: &str, reason: ReturnReason) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let why = reason.as_str();
        log::info!(
            "event=return_machine machine={name} kind={} spot={} places={} why={why:?}",
            machine.type_name,
            machine.spot,
            machine.assignments.len()
        );
        machine.draining.get_or_insert(why);
        machine.returning = true;
    }

    fn send_returns(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let mut names = Vec::new();
        for (name, machine) in &mut self.machines {
            let is_due = machine
                .return_requested_at
                .is_none_or(|at| now > at + RETURN_RESEND_MS);
            let is_allowed =
                names.len() < MACHINES_PER_RETURN_MAX && !self.departed_machines.contains_key(name);
            if machine.returning && is_due && is_allowed {
                machine.return_requested_at = Some(now);
                names.push(name.clone());
            }
        }
        if !names.is_empty() {
            let op = CloudOp::Return(names.clone());
            self.send_cloud_request(op, CloudPurpose::Return(names), effects);
        }
    }

    /// Handles the cloud's confirmation that a machine is gone: nothing runs on it any more.
    pub(super) fn on_machine_removed(&mut self, name: &str, now: Now) {
        self.release_machine(name, "its machine was returned", now);
        self.departed_machines.insert(name.to_string(), now.mono);
        log::info!("event=machine_gone machine={name}");
        self.machines.remove(name);
        self.round_due = true;
    }

    /// Schedules failed return requests to be sent again after [`RETURN_RETRY_MS`].
    pub(super) fn retry_returns(&mut self, names: &[String], now: Now) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                let sent_at = now.mono.saturating_sub(RETURN_RESEND_MS - RETURN_RETRY_MS);
                machine.return_requested_at = Some(sent_at);
            }
        }
    }
}
