//! What happens without a report: leases that run out, notices, gangs that can't go on, stops that can't wait.

use super::model::*;
use super::worker_heartbeats::{stop, task_name, PREEMPTED};
use super::*;
use crate::effects::{Output, Target};
use wire::workers::DirectOrders;

impl Leader {
    /// Machines that are silent, under notice, faulty or gone; gangs that can't go on.
    pub(super) fn watch_machines(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now;
        let expiry_ms = self.lease_expiry_ms();
        let mut free: Vec<(String, &'static str)> = Vec::new();
        let delegation = self.delegation.as_ref();
        for (name, m) in &mut self.machines {
            let is_delegated = m.permit.is_some_and(|permit| {
                delegation.is_some_and(|d| d.is_granted(permit.partition, now.mono))
            });
            let delegated_until = || delegation.and_then(|d| d.answers_until(name));
            let expired = !is_delegated && m.lease_expired(now.mono, expiry_ms, delegated_until);
            if expired {
                m.ended_incarnation = m.incarnation;
            }
            if m.assignments.is_empty() && m.orphans.is_empty() {
                continue;
            }
            let why = match (m.failed, expired) {
                (true, _) => Some("its machine failed"),
                (_, true) => Some("its worker's lease ran out"),
                _ => None,
            };
            if let Some(why) = why {
                free.push((name.clone(), why));
            }
        }
        for (name, why) in free {
            self.free_machine(&name, why, now);
        }
        self.drain_noticed_machines(now);
        self.stop_broken_gangs(now);
        self.send_direct(active, effects);
    }

    /// Frees all places of a machine on which certainly nothing runs.
    pub(super) fn free_machine(&mut self, name: &str, why: &str, now: Now) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let assignments: Vec<(String, u32)> = m.assignments.iter().cloned().collect();
        let orphans = std::mem::take(&mut m.orphans);
        for (id, task, _) in orphans {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.orphans.remove(&(task, name.to_string()));
            }
            self.queue_write_if_final(&id);
        }
        for (id, task) in assignments {
            self.release_assignment(&id, task, why, now);
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.assignments.clear();
        }
        self.note_pending_orders(name.to_string());
    }

    /// Under notice, tasks that can save do so in time; others run on in the hope of completing.
    fn drain_noticed_machines(&mut self, now: Now) {
        let mut stops = Vec::new();
        for m in self.machines.values() {
            if m.returning {
                // It is silent or gone: there is nobody to tell, and the rest of a gang may still be completed.
                continue;
            }
            let left = match (m.notice_at, m.draining) {
                (Some(at), _) => at.saturating_sub(now.mono) as f64 / 1000.0,
                (None, Some(_)) => f64::MAX,
                _ => continue,
            };
            for (id, task) in &m.assignments {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let saves = job.spec.checkpoint_s > 0.0;
                let never_ran = job
                    .assignment(*task)
                    .is_some_and(|p| p.running_since.is_none());
                if saves || never_ran {
                    let grace = (job.spec.save_s + 1.0).min(left);
                    stops.push((id.clone(), *task, grace));
                }
            }
        }
        for (id, task, grace) in stops {
            self.stop_task(&id, task, grace, "its machine is drained", now);
        }
    }

    /// The rest of a gang that can't go on is stopped, so that it can start anew.
    fn stop_broken_gangs(&mut self, now: Now) {
        let mut stops = Vec::new();
        for (id, job) in &self.jobs {
            if !job.is_gang() || job.assigned == 0 || job.all_done() {
                continue;
            }
            let stopping = job.assignments().find_map(|(_, p)| p.stop);
            // A fetch that takes longer than the others wait must come to its end: given up, it would begin anew
            // with every attempt, and the gang would never start.
            let fetches = |p: &Assignment| p.phase == Some(TaskPhase::Fetching);
            if job.alone && stopping.is_none() && job.assignments().any(|(_, p)| fetches(p)) {
                continue;
            }
            if job.broken || stopping.is_some() {
                // An orderly stop goes to all; after a loss there is nothing left to save.
                let grace = match stopping {
                    Some(s) if !job.broken => s.grace_s,
                    _ => 0.0,
                };
                for (task, p) in job.assignments().filter(|(_, p)| p.stop.is_none()) {
                    let _ = p;
                    stops.push((id.clone(), task, grace));
                }
            }
        }
        for (id, task, grace) in stops {
            self.stop_task(&id, task, grace, "its gang stops", now);
        }
    }

    /// Stops that should not wait for the next report: of cancelled jobs and of gangs.
    ///
    /// Without its lease a leader still ends what is known as cancelled: that is final, so it is right whoever leads,
    /// and a worker that has seen a newer term refuses it. Such a worker may reach no controller, or a hung one may go
    /// on within its lease.
    fn send_direct(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now.mono;
        let report_ms = (self.settings.deployment.workers.report_s * 1250.0) as u64;
        let mut calls = Vec::new();
        for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.stops) {
            let (Some(addr), true) = (&m.addr, now > m.direct_at + KILL_REPEAT_MS) else {
                continue;
            };
            let mut orders = Vec::new();
            m.stops = false;
            for (id, task) in &m.assignments {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some((p, s)) = job.assignment(*task).and_then(|p| p.stop.map(|s| (p, s)))
                else {
                    continue;
                };
                m.stops = true;
                let fresh = now < s.since + KILL_REPEAT_MS;
                let undelivered_starts = m.last_heartbeat.is_none_or(|at| now > at + report_ms);
                let gang = job.is_gang() && job.tasks() > 1 && fresh;
                // Somebody waits for this room.
                let preempted = s.why == PREEMPTED && fresh;
                let decided = active && (gang || preempted);
                let cancelled = job.aborted && (fresh || undelivered_starts);
                if p.stage != AssignmentStage::Ready && (decided || cancelled) {
                    orders.push(stop(&task_name(id, *task), p.attempt, s.grace_s));
                }
            }
            if !orders.is_empty() && self.kill_budget.take(now, 1.0) {
                orders.truncate(ORDERS_PER_ANSWER);
                let body = wire::encode(&DirectOrders {
                    term: self.term,
                    incarnation: m.incarnation,
                    orders,
                });
                calls.push((name.clone(), addr.clone(), body));
            }
        }
        for (name, addr, body) in calls {
            if let Some(m) = self.machines.get_mut(&name) {
                m.direct_at = now;
            }
            effects.direct.push((addr, body));
        }
    }
}

/// A direct call to a worker; its answer is not needed, the next report tells.
pub(crate) fn direct_call(call: u64, addr: String, body: Vec<u8>) -> Output {
    Output::Call {
        call,
        target: Target::Worker(addr),
        method: "POST",
        path: "/orders".into(),
        body,
        timeout_ms: ORDERS_TIMEOUT_MS,
    }
}
