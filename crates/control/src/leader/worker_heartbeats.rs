//! Workers: what reports prove, what is answered, and when silence proves something too.

use super::model::*;
use super::*;
use wire::workers::*;

fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

pub(super) fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// Why a task is stopped whose room another job has a right to.
pub(super) const PREEMPTED: &str = "preempted";

/// What to do with an answer to a report.
pub(crate) enum ReportOutcome {
    /// Answer with these orders.
    Answer(HeartbeatResponse),
    /// Answer later, when [`Leader::deferred_answer`] says so.
    Hold(DeferredAnswer),
    /// The worker knows a newer term: we are not the leader.
    Newer(u64),
}

/// A report whose answer waits for what is about to be decided.
#[derive(Debug, Clone)]
pub(crate) struct DeferredAnswer {
    machine: String,
    tasks: Vec<TaskStatus>,
    seq: (u64, u64),
    /// Number of the last round when room became free by this report: the next one may use it.
    round: Option<u64>,
    /// Until when it may wait for records and a round.
    settle_until: u64,
    /// Until when it may wait for a task.
    idle_until: u64,
}

impl DeferredAnswer {
    /// The answer waits no longer for a task that may never come.
    pub fn do_not_idle(&mut self) {
        self.idle_until = 0;
    }
}

impl Leader {
    /// A worker's report. `active` tells whether starts may be sent.
    pub fn on_worker_heartbeat(
        &mut self,
        report: WorkerHeartbeat,
        active: bool,
        now: Now,
    ) -> ReportOutcome {
        if report.term > self.term {
            return ReportOutcome::Newer(report.term);
        }
        let term = self.term;
        let orders = Vec::new();
        if self.departed.contains_key(&report.machine) {
            // Sent before the machine went: it changes nothing.
            return ReportOutcome::Answer(HeartbeatResponse { term, orders });
        }
        let lease_ms = self.lease_expiry_ms();
        let silent_ms = self.silent_ms();
        let m = self.machines.get(&report.machine);
        let watched = m.is_some_and(|m| self.is_watched_by_owner(m, now.mono));
        let own_lease_ms = (self.settings.deployment.workers.lease_s / DRIFT * 1000.0) as u64;
        let m = self
            .machines
            .entry(report.machine.clone())
            .or_insert_with(|| Machine::new(now.mono));
        // A report that a cut held back until its session had ended looks new by its number alone: taken as current, it
        // made tasks that are long gone orphans, and a machine that is still cut off one that is reached.
        if m.is_outdated(report.incarnation, report.seq) {
            return ReportOutcome::Answer(HeartbeatResponse { term, orders });
        }
        // Whatever is answered counts for when the worker's lease may have run out.
        let answered = m.last_answer.replace(now.mono);
        m.describe(&report.kind, &report.zone, report.spot);
        m.addr = Some(report.addr.clone());
        if report.term < self.term {
            // The worker may still execute an earlier leader's answer, and this may be a late copy: only its next
            // report, with our term, says what is on the machine, or that it is there at all. But this answer renews
            // its lease, so what it says is there of cancelled jobs must not live on by it.
            let orders = self.cancelled_in(&report.tasks);
            return ReportOutcome::Answer(HeartbeatResponse { term, orders });
        }
        if m.token_seen && report.incarnation > m.incarnation {
            // A lease that runs out sooner than a lease after our last answer: that answer did not reach it. Once
            // may happen to any machine, when reports held up by a cut are answered late.
            let early = answered.is_some_and(|at| now.mono < at + own_lease_ms);
            m.early_expiries = if early { m.early_expiries + 1 } else { 0 };
            if m.early_expiries >= EARLY_EXPIRIES_MAX {
                m.mark_unreachable(now.mono, "its leases run out under our answers");
            }
        }
        if report.incarnation > m.incarnation {
            m.incarnation_since = now.mono;
        }
        if m.unreachable_since
            .is_some_and(|at| now.mono > at.max(m.incarnation_since) + lease_ms)
        {
            // A session outlives a lease only if answers arrive.
            m.unreachable_since = None;
            (m.undelivered_starts, m.early_expiries) = (0, 0);
            self.plan_due = true;
            log::info!("event=machine_reachable machine={}", report.machine);
        }
        (m.incarnation, m.seq) = (report.incarnation, report.seq);
        // Back from a cut or a hang, its room counts again.
        if !watched && m.last_heartbeat.is_none_or(|at| now.mono > at + silent_ms) {
            self.plan_due = true;
        }
        m.last_heartbeat = Some(now.mono);
        m.notice_at = report
            .notice_s
            .map(|s| now.mono + (s.max(0.0) * 1000.0) as u64);
        m.token_seen = true;
        m.held = false;
        let name = report.machine.clone();
        let before = self.machines.get(&name).map_or(0, |m| m.assignments.len());
        self.reconcile_tasks(&report, now);
        let report_ms = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        // An answer held is a lease renewed later: where something runs, only a small part of the lease is spent.
        let lease_ms = self.settings.deployment.workers.lease_s * 1000.0;
        let hold_ms = match report.tasks.is_empty() {
            true => IDLE_HOLD_MS.min(report_ms),
            false => IDLE_HOLD_MS.min((lease_ms * HOLD_LEASE_SHARE) as u64),
        };
        let after = self.machines.get(&name).map_or(0, |m| m.assignments.len());
        let held = DeferredAnswer {
            seq: (report.incarnation, report.seq),
            round: (after < before).then_some(self.rounds),
            machine: name.clone(),
            tasks: report.tasks,
            settle_until: now.mono + if active { SETTLE_MS } else { 0 },
            idle_until: now.mono
                + if active && self.has_room(&name) {
                    hold_ms
                } else {
                    0
                },
        };
        match self.deferred_answer(&held, active, now) {
            Some(answer) => ReportOutcome::Answer(answer),
            None => {
                if let Some(m) = self.machines.get_mut(&name) {
                    m.held = true;
                }
                ReportOutcome::Hold(held)
            }
        }
    }

    /// Orders to end what a report lists of jobs that are cancelled, or over: right whatever else is true of it.
    fn cancelled_in(&self, listed: &[TaskStatus]) -> Vec<Order> {
        let over = |t: &&TaskStatus| {
            let job = split_task(&t.task).and_then(|(id, _)| self.jobs.get(id));
            t.phase != TaskPhase::Ended && job.is_none_or(|j| j.aborted)
        };
        let over = listed.iter().filter(over).take(ORDERS_PER_ANSWER);
        over.map(|t| stop(&t.task, t.attempt, 0.0)).collect()
    }

    /// Milliseconds after our last answer at which a worker's lease has certainly run out.
    pub(super) fn lease_expiry_ms(&self) -> u64 {
        let lease_s = self.settings.deployment.workers.lease_s;
        (lease_s * 1000.0 * DRIFT) as u64 + LEASE_MARGIN_MS
    }

    /// Whether a machine has room for what its type is rented for: one GPU, or else one CPU.
    pub(super) fn has_room(&self, name: &str) -> bool {
        let Some(m) = self.machines.get(name).filter(|m| m.draining.is_none()) else {
            return false;
        };
        let mut types = self.types.desired.iter().flatten();
        let Some(t) = types.find(|t| t.name == m.kind) else {
            return m.assignments.is_empty();
        };
        let used = m.assignments.iter().filter_map(|(id, _)| self.jobs.get(id));
        let (cpus, gpus) = used.fold((0.0, 0.0), |(c, g), j| (c + j.spec.cpus, g + j.spec.gpus));
        t.cpus - cpus >= 1.0 && (t.gpus <= 0.0 || t.gpus - gpus >= 1.0)
    }

    /// The answer to a held report, once there is nothing left to wait for.
    pub fn deferred_answer(
        &mut self,
        held: &DeferredAnswer,
        active: bool,
        now: Now,
    ) -> Option<HeartbeatResponse> {
        let term = self.term;
        let answer = |orders| Some(HeartbeatResponse { term, orders });
        let Some(m) = self.machines.get(&held.machine) else {
            return answer(Vec::new());
        };
        if (m.incarnation, m.seq) != held.seq {
            // The worker has given up on this report.
            return answer(Vec::new());
        }
        let starts = |recorded: bool| {
            m.assignments.iter().any(|(job, task)| {
                let job = self.jobs.get(job);
                let assignment = job.and_then(|j| j.assignment(*task));
                assignment.is_some_and(|p| p.stage == AssignmentStage::Ready)
                    && job.is_some_and(|j| j.is_startable(*task) == recorded)
            })
        };
        let (coming, ready) = (starts(false), starts(true));
        let undecided = held
            .round
            .is_some_and(|r| r == self.rounds && self.plan_due);
        let wait = if coming || undecided {
            held.settle_until.max(held.idle_until)
        } else if m.draining.is_none() && !ready {
            held.idle_until
        } else {
            0
        };
        if active && now.mono < wait {
            return None;
        }
        if let Some(m) = self.machines.get_mut(&held.machine) {
            m.held = false;
        }
        answer(self.orders_for(&held.machine, &held.tasks, active, now))
    }

    /// Takes over what a report with our term proves.
    pub(super) fn reconcile_tasks(&mut self, report: &WorkerHeartbeat, now: Now) {
        let name = report.machine.clone();
        let Some(m) = self.machines.get_mut(&name) else {
            return;
        };
        if !m.synced {
            m.synced = true;
            self.plan_due = true;
            let boot_s = now.mono.saturating_sub(m.first_known) as f64 / 1000.0;
            let kind = self
                .types
                .desired
                .iter()
                .flatten()
                .find(|t| t.name == m.kind);
            // Of those that take several times as long, nothing is learnt for the usual ones.
            if m.rented && kind.is_some_and(|t| boot_s < t.boot_s * BOOT_OVERDUE) {
                self.boots.entry(m.kind.clone()).or_default().add(boot_s);
            }
            log::info!(
                "event=worker_registered machine={name} kind={} zone={} spot={} tasks={}",
                report.kind,
                report.zone,
                report.spot,
                report.tasks.len()
            );
        }
        if let Some(at) = m.notice_at {
            if m.draining.is_none() {
                m.draining = Some("notice");
                let left = at.saturating_sub(now.mono);
                log::info!("event=preemption_notice machine={name} left_ms={left}");
                self.plan_due = true;
            }
        }
        let mut listed: BTreeMap<(String, u32), &TaskStatus> = BTreeMap::new();
        for t in &report.tasks {
            if let Some((job, task)) = split_task(&t.task) {
                listed.insert((job.to_string(), task), t);
            }
        }
        let recorded: Vec<(String, u32)> = self
            .machines
            .get(&name)
            .map(|m| m.assignments.iter().cloned().collect())
            .unwrap_or_default();
        for (id, task) in &recorded {
            let assignment = self.jobs.get(id).and_then(|j| j.assignment(*task));
            let Some(assignment) = assignment.filter(|p| p.machine == name) else {
                if let Some(m) = self.machines.get_mut(&name) {
                    m.assignments.remove(&(id.clone(), *task));
                }
                continue;
            };
            let entry = listed
                .get(&(id.clone(), *task))
                .filter(|t| t.attempt == assignment.attempt);
            match entry {
                Some(t) if t.phase == TaskPhase::Ended => {
                    let cause = t.cause.unwrap_or(Cause::Other);
                    self.ended(id, *task, &name, cause, now);
                }
                Some(t) => self.seen(id, *task, t.phase, now),
                None => self.absent(id, *task, report, now),
            }
        }
        self.find_orphans(&name, &listed);
    }

    fn seen(&mut self, id: &str, task: u32, phase: TaskPhase, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (image, gb) = (job.spec.image.clone(), job.spec.image_gb);
        let Some(assignment) = job.assignment_mut(task) else {
            return;
        };
        // Only a start that we have watched from its beginning can be timed.
        let timed = assignment.stage != AssignmentStage::Recorded;
        let assigned_at = assignment.at;
        if matches!(assignment.stage, AssignmentStage::Sent { .. }) {
            if let Some(m) = self.machines.get_mut(&assignment.machine) {
                m.undelivered_starts = 0;
            }
            self.start_latencies
                .seen
                .add(now.mono.saturating_sub(assigned_at));
        }
        assignment.stage = AssignmentStage::Seen;
        let new = assignment.phase != Some(phase);
        if new && log::log_enabled!(log::Level::Debug) {
            log::debug!(
                "event=task_phase task={id}/{task} try={} machine={} phase={phase:?}",
                assignment.attempt,
                assignment.machine
            );
        }
        assignment.phase = Some(phase);
        let machine = assignment.machine.clone();
        let runs = matches!(phase, TaskPhase::Running | TaskPhase::Saving);
        if runs && assignment.running_since.is_none() && timed {
            assignment.running_since = Some(now.mono);
        }
        if runs && assignment.running_since == Some(now.mono) {
            self.start_latencies
                .ran
                .add(now.mono.saturating_sub(assigned_at));
        }
        if runs {
            job.started = true;
            if job.first_run.is_none() {
                job.first_run = Some(now.mono);
                log::info!(
                    "event=job_started job={id} class={} tasks={} waited_s={:.1} placed_ago_s={:.1}",
                    job.spec.class,
                    job.spec.tasks,
                    now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0,
                    now.mono.saturating_sub(assigned_at) as f64 / 1000.0
                );
            }
        }
        if new {
            self.plan_due = true;
        }
        if phase != TaskPhase::Fetching {
            if let Some(m) = self.machines.get_mut(&machine) {
                m.images.insert(image, (now.mono, gb));
                let cache = self
                    .types
                    .desired
                    .iter()
                    .flatten()
                    .find(|t| t.name == m.kind)
                    .map_or(f64::MAX, |t| t.cache_gb);
                let mut total: f64 = m.images.values().map(|(_, gb)| gb).sum();
                while total > cache && m.images.len() > 1 {
                    let oldest = m.images.iter().min_by_key(|(_, (at, _))| *at);
                    let Some((oldest, gb)) = oldest.map(|(k, (_, gb))| (k.clone(), *gb)) else {
                        break;
                    };
                    total -= gb;
                    m.images.remove(&oldest);
                }
            }
        }
    }

    /// A recorded task that a report with our term does not list.
    fn absent(&mut self, id: &str, task: u32, report: &WorkerHeartbeat, now: Now) {
        let Some(assignment) = self.jobs.get_mut(id).and_then(|j| j.assignment_mut(task)) else {
            return;
        };
        match assignment.stage {
            AssignmentStage::Ready => {}
            AssignmentStage::Sent { incarnation, seq } => {
                if (report.incarnation, report.seq) <= (incarnation, seq) {
                    return;
                }
                // One report is in flight at a time, so this one was written after the answer with the
                // `launch` was executed or dropped.
                let undelivered_starts = self.machines.get_mut(&report.machine).is_some_and(|m| {
                    m.undelivered_starts += 1;
                    if m.undelivered_starts >= UNDELIVERED_STARTS_MAX {
                        m.mark_unreachable(now.mono, "starts do not reach it");
                    }
                    m.unreachable_since.is_some()
                });
                if incarnation == report.incarnation
                    && assignment.stop.is_none()
                    && !undelivered_starts
                {
                    assignment.stage = AssignmentStage::Ready;
                } else {
                    self.release_assignment(id, task, "the start never arrived", now);
                }
            }
            AssignmentStage::Recorded => {
                self.release_assignment(id, task, "recorded but not on its machine", now)
            }
            AssignmentStage::Seen => {
                self.release_assignment(id, task, "no longer on its machine", now)
            }
        }
    }

    fn ended(&mut self, id: &str, task: u32, machine: &str, cause: Cause, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(assignment) = job.assignment(task).cloned() else {
            return;
        };
        log::info!(
            "event=task_ended task={id}/{task} try={} machine={machine} cause={cause:?} ran_ms={}",
            assignment.attempt,
            assignment.running_since.map_or(0, |t| now.mono - t)
        );
        let gang = job.is_gang();
        match cause {
            Cause::Done => {
                let secs = assignment
                    .running_since
                    .map(|t| now.mono.saturating_sub(t) as f64 / 1000.0);
                let (mean, timed) = job.sample();
                job.failures = 0;
                job.failed_under_earlier_leaders = false;
                job.failed_machines.clear();
                if gang {
                    // A gang completes together: one done task proves all of them.
                    for t in 0..job.tasks() {
                        job.complete(t, if t == task { secs } else { None });
                    }
                } else {
                    job.complete(task, secs);
                }
                if let Some(m) = self.machines.get_mut(machine) {
                    m.failed_jobs.clear();
                    if let (Some(secs), true) = (secs, timed > 0 && mean > 0.0) {
                        m.pace.0 += secs / mean;
                        m.pace.1 += 1;
                    }
                }
            }
            Cause::Error | Cause::Other => {
                job.failures += 1;
                job.pause_until = now.mono + job.error_pause_ms();
                job.failed_machines.insert(machine.to_string());
                // A job that fails on one machine after the other blames no machine.
                let suspect = !job.seems_to_fail_everywhere();
                if let (Some(m), true) = (self.machines.get_mut(machine), suspect) {
                    m.failed_jobs.insert(id.to_string());
                }
            }
            Cause::NoRoom | Cause::Busy | Cause::Unknown => {
                job.pause_until = job.pause_until.max(now.mono + ERROR_PAUSE_MS / 2);
            }
            Cause::Alone | Cause::Peers if gang => {
                job.broken = true;
                job.alone |= cause == Cause::Alone && !job.started;
            }
            _ => {}
        }
        if gang && cause != Cause::Done {
            let broken = job.started || cause != Cause::NoRoom;
            job.broken |= broken;
        }
        self.release_assignment(id, task, "ended", now);
    }

    /// Tasks on the machine that the records don't place there.
    fn find_orphans(&mut self, name: &str, listed: &BTreeMap<(String, u32), &TaskStatus>) {
        let mut orphans = BTreeSet::new();
        for ((id, task), t) in listed {
            let here = self
                .jobs
                .get(id)
                .and_then(|j| j.assignment(*task))
                .is_some_and(|p| p.machine == name && p.attempt == t.attempt);
            if !here && t.phase != TaskPhase::Ended {
                orphans.insert((id.clone(), *task, t.attempt));
            }
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let old = std::mem::replace(&mut m.orphans, orphans.clone());
        for (id, task, attempt) in orphans.difference(&old) {
            log::info!("event=orphan_task task={id}/{task} try={attempt} machine={name}");
            if let Some(job) = self.jobs.get_mut(id) {
                job.orphans.insert((*task, name.to_string()));
            }
        }
        for (id, task, _) in old.difference(&orphans) {
            if orphans.iter().any(|(i, t, _)| i == id && t == task) {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.orphans.remove(&(*task, name.to_string()));
            }
            self.plan_due = true;
            self.queue_write_if_final(id);
        }
    }

    /// Orders for a worker whose present report lists these tasks.
    fn orders_for(
        &mut self,
        name: &str,
        listed: &[TaskStatus],
        active: bool,
        now: Now,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(m) = self.machines.get(name) else {
            return orders;
        };
        let (incarnation, seq) = (m.incarnation, m.seq);
        let (draining, returning) = (m.draining.is_some(), m.returning);
        for t in listed {
            let (Some((id, task)), true) = (split_task(&t.task), orders.len() < ORDERS_PER_ANSWER)
            else {
                continue;
            };
            let job = self.jobs.get(id);
            let assignment = job
                .and_then(|j| j.assignment(task))
                .filter(|p| p.machine == name && p.attempt == t.attempt);
            let order = match (t.phase, assignment) {
                // The result of an ended task is forgotten only once it is recorded.
                (TaskPhase::Ended, None) if job.is_none_or(|j| j.is_saved(task)) => Order::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                },
                (TaskPhase::Ended, _) => continue,
                (_, None) => stop(&t.task, t.attempt, 0.0),
                (phase, Some(p)) => match p.stop {
                    // Saving goes on unless the job is of no use any more.
                    Some(s) if phase == TaskPhase::Saving && s.grace_s > 0.0 => continue,
                    Some(s) => stop(&t.task, t.attempt, s.grace_s),
                    None => continue,
                },
            };
            orders.push(order);
        }
        if !active || draining || returning {
            return orders;
        }
        let assignments: Vec<(String, u32)> = m.assignments.iter().cloned().collect();
        for (id, task) in assignments {
            if orders.len() >= ORDERS_PER_ANSWER {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.aborted) else {
                continue;
            };
            let saved = job.chunk(task).map_or(0, |c| c.saved);
            let Some(assignment) = job.assignment_mut(task) else {
                continue;
            };
            if assignment.stage == AssignmentStage::Ready
                && assignment.seq <= saved
                && assignment.stop.is_none()
            {
                self.start_latencies
                    .sent
                    .add(now.mono.saturating_sub(assignment.at));
                log::debug!(
                    "event=launch task={id}/{task} machine={name} after_ms={}",
                    now.mono.saturating_sub(assignment.at)
                );
                assignment.stage = AssignmentStage::Sent { incarnation, seq };
                orders.push(Order::Start {
                    task: task_name(&id, task),
                    attempt: assignment.attempt,
                });
            }
        }
        orders
    }

    /// Asks a task to stop.
    pub(super) fn stop_task(
        &mut self,
        id: &str,
        task: u32,
        grace_s: f64,
        why: &'static str,
        now: Now,
    ) {
        let Some(assignment) = self.jobs.get_mut(id).and_then(|j| j.assignment_mut(task)) else {
            return;
        };
        if assignment.stop.is_some() {
            return;
        }
        if assignment.stage == AssignmentStage::Ready {
            return self.release_assignment(id, task, why, now);
        }
        let since = now.mono;
        assignment.stop = Some(Stop {
            since,
            grace_s,
            why,
        });
        log::info!(
            "event=stop task={id}/{task} machine={} grace_s={grace_s} why={why:?}",
            assignment.machine
        );
        let machine = assignment.machine.clone();
        if let Some(m) = self.machines.get_mut(&machine) {
            m.stops = true;
        }
        self.note_pending_orders(machine);
        self.plan_due = true;
    }
}

pub(super) fn stop(task: &str, attempt: u64, grace_s: f64) -> Order {
    Order::Stop {
        task: task.to_string(),
        attempt,
        grace_s,
    }
}
