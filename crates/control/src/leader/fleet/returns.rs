//! Scale in: which machines are returned to the cloud, and why.

mod reason;

use crate::effects::{Effects, Now};
use crate::leader::consolidation::{WantedMachines, CONSOLIDATED};
use crate::leader::machine_health::MachineHealth;
use crate::leader::model::Machine;
use crate::leader::Leader;
use crate::requests::{CloudOp, CloudPurpose};
use constants::{
    BOOT_PATIENCE, BOOT_PATIENCE_S, CLOUD_TIMEOUT_MS, IDLE_LEAST, IDLE_ORDINARY, IDLE_PART,
    IDLE_SPOT, IDLE_SURPLUS_MS, NOTICE_OVER_MS, RETURN_MAX, SILENT_LEASES, SILENT_UNSURE_MS,
    UNREACHABLE_LEASES,
};
use reason::ReturnReason;

/// Complete listings in a row without a machine after which it may count as taken away.
const MISSED_LISTINGS: u32 = 2;
/// Milliseconds without a report, for each second between reports, after which an unlisted machine is gone: one and a
/// half reports.
const UNLISTED_MS_PER_REPORT_S: f64 = 1_500.0;
/// Milliseconds added to that, for reports on their way.
const UNLISTED_EXTRA_MS: u64 = 500;
/// Seconds that a machine of an unknown type is taken to boot for.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// Milliseconds after which a return that is not answered is sent again.
const RETURN_RESEND_MS: u64 = 2 * CLOUD_TIMEOUT_MS;
/// Milliseconds after which a return that has failed is sent again.
const RETURN_RETRY_MS: u64 = 2_000;

/// Times in milliseconds that decide on returns, the same for all machines of a decision.
struct ReturnLimits {
    /// After our last answer a worker's lease has certainly expired.
    lease_expiry_ms: u64,
    silent_ms: u64,
    unlisted_ms: u64,
    idle_spot_ms: u64,
    idle_ordinary_ms: u64,
}

impl ReturnLimits {
    fn of(leader: &Leader) -> Self {
        let report_s = leader.settings.deployment.workers.report_s;
        let idle_ms = |factor: f64| (leader.operator.idle_return_s * 1000.0 * factor) as u64;
        ReturnLimits {
            lease_expiry_ms: leader.lease_expiry_ms(),
            silent_ms: leader.silent_ms(),
            unlisted_ms: (report_s * UNLISTED_MS_PER_REPORT_S) as u64 + UNLISTED_EXTRA_MS,
            idle_spot_ms: idle_ms(IDLE_SPOT),
            idle_ordinary_ms: idle_ms(IDLE_ORDINARY),
        }
    }

    /// Silence after which a machine is returned. Machines that have stopped are soon listed as failed. What is silent
    /// for longer is cut off or hangs, and mostly comes back with its images sooner than a new machine would be up:
    /// where nothing runs on it, it has time.
    fn silence_ms(&self, machine: &Machine) -> u64 {
        match is_empty(machine) {
            true => (self.lease_expiry_ms as f64 * SILENT_LEASES) as u64,
            false => self.unsure_ms(),
        }
    }

    /// Silence after which a machine is returned on which tasks may still run.
    fn unsure_ms(&self) -> u64 {
        self.lease_expiry_ms + SILENT_UNSURE_MS
    }

    fn idle_ms(&self, machine: &Machine) -> u64 {
        match machine.spot {
            true => self.idle_spot_ms,
            false => self.idle_ordinary_ms,
        }
    }
}

/// Idle machines that may be returned.
struct IdleMachines {
    /// Machines that waiting work could use.
    wanted: Vec<WantedMachines>,
    /// Idle machines beyond the part of the fleet that may idle for longer: that part serves the next work as well as
    /// all of them would.
    surplus: usize,
}

/// What is known of a machine's silence.
#[derive(Clone, Copy)]
struct Contact {
    /// When it was last heard, or when this leader could first have heard it.
    last_heartbeat_at: u64,
    /// Milliseconds since then.
    quiet_ms: u64,
}

/// Whether no task runs or may run on the machine.
fn is_empty(machine: &Machine) -> bool {
    machine.assignments.is_empty() && machine.orphans.is_empty()
}

impl Leader {
    /// Decides which machines are returned, and sends the returns, as many at a time as the cloud takes.
    pub(super) fn return_machines(&mut self, effects: &mut Effects) {
        for (name, reason) in self.choose_returns(effects.now) {
            self.mark_returning(&name, reason);
        }
        self.send_returns(effects);
    }

    fn choose_returns(&self, now: Now) -> Vec<(String, ReturnReason)> {
        let limits = ReturnLimits::of(self);
        let mut idle = self.idle_machines(now);
        let staying = self.machines.iter().filter(|(_, m)| !m.returning);
        staying
            .filter_map(|(name, machine)| {
                let reason = self.return_reason(name, machine, &limits, &mut idle, now.mono)?;
                Some((name.clone(), reason))
            })
            .collect()
    }

    fn idle_machines(&self, now: Now) -> IdleMachines {
        let is_idle = |m: &&Machine| m.is_reconciled && m.assignments.is_empty() && !m.returning;
        let may_idle = IDLE_LEAST + self.machines.len() / IDLE_PART;
        let idle = self.machines.values().filter(is_idle).count();
        IdleMachines {
            wanted: self.wanted_machines(now),
            surplus: idle.saturating_sub(may_idle),
        }
    }

    /// How long a machine has been silent. A leader that was suspended during an outage, and still leads, would return
    /// its whole fleet if the time before it resumed counted.
    fn contact(&self, machine: &Machine, now: u64) -> Contact {
        let listening_since = self.ready_at.max(self.resumed_at);
        let last_heartbeat_at = self.last_heartbeat_at(machine, now).unwrap_or(0);
        let last_heartbeat_at = last_heartbeat_at.max(listening_since);
        Contact {
            last_heartbeat_at,
            quiet_ms: now.saturating_sub(last_heartbeat_at),
        }
    }

    fn return_reason(
        &self,
        name: &str,
        machine: &Machine,
        limits: &ReturnLimits,
        idle: &mut IdleMachines,
        now: u64,
    ) -> Option<ReturnReason> {
        let contact = self.contact(machine, now);
        if machine.failed {
            return Some(ReturnReason::Failed);
        }
        if machine.missed_listings >= MISSED_LISTINGS && contact.quiet_ms > limits.unlisted_ms {
            return Some(ReturnReason::Unlisted);
        }
        // Whether it is gone or not: the answer frees its tasks for sure, and nothing is left to wait for.
        let notice_over =
            |at: u64| now > at + NOTICE_OVER_MS && now > contact.last_heartbeat_at + NOTICE_OVER_MS;
        if machine.notice_at.is_some_and(notice_over) {
            return Some(ReturnReason::NoticeOver);
        }
        if machine.last_heartbeat.is_none() {
            let limit = self.never_up_ms(machine, limits);
            let is_late = now > machine.known_since + limit && contact.quiet_ms > limit;
            return is_late.then_some(ReturnReason::NeverUp);
        }
        if contact.quiet_ms > limits.silence_ms(machine) {
            return Some(ReturnReason::Silent);
        }
        if !is_empty(machine) {
            return None;
        }
        self.empty_return_reason(name, machine, limits, now)
            .or_else(|| {
                self.is_idle_too_long(machine, contact, limits, idle, now)
                    .then_some(ReturnReason::Idle)
            })
    }

    /// Why a machine without tasks is returned, idleness apart.
    fn empty_return_reason(
        &self,
        name: &str,
        machine: &Machine,
        limits: &ReturnLimits,
        now: u64,
    ) -> Option<ReturnReason> {
        if machine.notice_at.is_some() {
            return Some(ReturnReason::EmptyUnderNotice);
        }
        if machine.draining == Some(CONSOLIDATED) {
            return Some(ReturnReason::Consolidated);
        }
        if self.health(name, machine, now) == MachineHealth::Faulty {
            return Some(ReturnReason::Faulty);
        }
        let unreachable_ms = UNREACHABLE_LEASES * limits.lease_expiry_ms;
        let unreachable_since = machine.unreachable_since?;
        (now > unreachable_since + unreachable_ms).then_some(ReturnReason::Unreachable)
    }

    /// Milliseconds after which a machine that has not reported yet is returned.
    fn never_up_ms(&self, machine: &Machine, limits: &ReturnLimits) -> u64 {
        if !machine.assignments.is_empty() {
            return limits.unsure_ms();
        }
        let mut types = self.types.desired.iter().flatten();
        let machine_type = types.find(|t| t.name == machine.kind);
        let boot_s = machine_type.map_or(UNKNOWN_BOOT_S, |t| t.boot_s);
        ((boot_s * BOOT_PATIENCE + BOOT_PATIENCE_S) * 1000.0) as u64
    }

    /// Whether an empty machine has been idle for too long and waiting work can't use it. Such a machine, or one that
    /// the work can use, is counted off in `idle`.
    fn is_idle_too_long(
        &self,
        machine: &Machine,
        contact: Contact,
        limits: &ReturnLimits,
        idle: &mut IdleMachines,
        now: u64,
    ) -> bool {
        let reports = machine.is_reconciled && contact.quiet_ms <= limits.silent_ms;
        if !self.settings.minimizes_cost() || !reports {
            return false;
        }
        let limit = match idle.surplus > 0 {
            true => IDLE_SURPLUS_MS,
            false => limits.idle_ms(machine),
        };
        if now <= machine.idle_since + limit {
            return false;
        }
        if idle.wanted.iter_mut().any(|wanted| wanted.take(machine)) {
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
            machine.kind,
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
            let due = machine
                .return_sent
                .is_none_or(|at| now > at + RETURN_RESEND_MS);
            let may_send = names.len() < RETURN_MAX && !self.departed.contains_key(name);
            if machine.returning && due && may_send {
                machine.return_sent = Some(now);
                names.push(name.clone());
            }
        }
        if !names.is_empty() {
            let op = CloudOp::Return(names.clone());
            self.send_cloud_request(op, CloudPurpose::Return(names), effects);
        }
    }

    /// The cloud has confirmed that the machine is gone: nothing runs there any more.
    pub(super) fn on_machine_removed(&mut self, name: &str, now: Now) {
        self.release_machine(name, "its machine was given back", now);
        self.departed.insert(name.to_string(), now.mono);
        log::info!("event=machine_gone machine={name}");
        self.machines.remove(name);
        self.plan_due = true;
    }

    /// Lets returns that have failed be sent again soon.
    pub(super) fn retry_returns(&mut self, names: &[String], now: Now) {
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                let sent_at = now.mono.saturating_sub(RETURN_RESEND_MS - RETURN_RETRY_MS);
                machine.return_sent = Some(sent_at);
            }
        }
    }
}
