//! From the leader's state to the scheduler's view, and from its decisions to places and stops.

use super::machine_health::MachineHealth;
use super::model::*;
use super::*;
use sched::{
    pilots_of, queue_of, ClusterSnapshot, Decision, JobSnapshot, MachineSnapshot, ResourceBounds,
    Resources, Round, RunningTask, TeamSnapshot, UNKNOWN_ZONE,
};

/// Numbers names for the scheduler.
#[derive(Default)]
pub(super) struct Names(HashMap<String, usize>);

impl Names {
    pub fn number(&mut self, name: &str) -> usize {
        let next = self.0.len();
        match self.0.get(name) {
            Some(n) => *n,
            None => {
                self.0.insert(name.to_string(), next);
                next
            }
        }
    }
}

/// A view, with what its numbers stand for.
pub(super) struct SchedulingSnapshot {
    pub view: ClusterSnapshot,
    pub jobs: Vec<String>,
    pub machines: Vec<String>,
    pub kinds: Names,
    pub zones: Names,
}

impl Leader {
    /// Seconds a task of the job is expected to run, and whether the job is still being sampled.
    pub(super) fn task_secs(&self, job: &Job) -> (f64, bool) {
        let (mean, timed) = job.sample();
        if job.is_service() {
            return (f64::MAX, false);
        }
        let pilots = if job.is_gang() {
            0
        } else {
            pilots_of(&self.operator.policy(), job.tasks())
        };
        if timed > 0 && timed >= pilots {
            (mean, false)
        } else {
            (job.spec.guess_s, pilots > 0)
        }
    }

    /// How many times its deadline a job may take for an aim still to count it, where one says so.
    pub(super) fn late_times(&self, job: &Job) -> Option<f64> {
        let aims = self.settings.deployment.objectives.iter();
        aims.filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(&job.spec.class))
            .filter_map(|o| o.times.filter(|t| *t > 1.0))
            .next_back()
    }

    /// Latest moment (time of day, ms) at which what is left of a job must start to meet the first of its aims
    /// that it still can: its own deadline, that of jobs which need it, and those of its class in the objectives.
    /// Those count from when it may begin, a deadline from its submission. Nothing if there is no aim at all.
    fn latest_start(&self, job: &Job, secs: f64, now: Now) -> Option<u64> {
        let takes = self.expected_ms(job, secs);
        let since = |at: u64, s: f64| at + (s.max(0.0) * 1000.0) as u64;
        let due = |times: f64| {
            Some(since(job.submitted_at, job.spec.due_s? * times).saturating_sub(takes))
        };
        let reached = job.downstream.and_then(|r| r.ends);
        let reached = reached.into_iter().flat_map(|(first, last)| [first, last]);
        let of_class =
            |o: &&crate::settings::Objective| o.class.as_deref() == Some(job.spec.class.as_str());
        let aims = self.settings.deployment.objectives.iter().filter(of_class);
        let starts = aims.filter_map(|o| match (o.kind.as_str(), o.within_s) {
            ("wait", Some(s)) => Some(since(job.ready_at, s - START_LAG_S)),
            ("finished", Some(s)) => Some(since(job.ready_at, s).saturating_sub(takes)),
            _ => None,
        });
        let own = due(1.0).into_iter();
        let late = self.late_times(job).and_then(due);
        let mut starts: Vec<u64> = starts
            .chain(own)
            .chain(late)
            .chain(reached.map(|end| end.saturating_sub(takes)))
            .collect();
        starts.sort_unstable();
        let last = (*starts.last()?).max(job.ready_at);
        let next = starts.iter().copied().find(|s| *s >= now.unix);
        Some(next.unwrap_or(since(last, HOPELESS_S)))
    }

    /// Whether tasks may be sent to a machine.
    pub(super) fn usable(
        &self,
        m: &Machine,
        heard_at: Option<u64>,
        health: MachineHealth,
        now: u64,
    ) -> bool {
        let silent_ms = self.silent_ms();
        m.known
            && m.synced
            && m.draining.is_none()
            && m.unreachable_since.is_none()
            && m.notice_at.is_none()
            && !m.failed
            && !m.returning
            && health != MachineHealth::Faulty
            && heard_at.is_some_and(|at| now <= at + silent_ms)
    }

    pub(super) fn scheduling_snapshot(&self, now: Now) -> SchedulingSnapshot {
        let (mut kinds, mut zones, mut images, mut teams) = (
            Names::default(),
            Names::default(),
            Names::default(),
            Names::default(),
        );
        let mut view = ClusterSnapshot::default();
        for t in &self.settings.deployment.teams {
            teams.number(&t.name);
            view.teams.push(TeamSnapshot {
                guarantee: ResourceBounds::from_settings(t.cpus, t.gpus),
                limit: ResourceBounds::from_settings(t.cpus_max, t.gpus_max),
                ..TeamSnapshot::default()
            });
        }
        let types: HashMap<&str, &MachineType> = self
            .types
            .desired
            .iter()
            .flatten()
            .map(|t| (t.name.as_str(), t))
            .collect();
        let report_s = self.settings.deployment.workers.report_s;
        let mut machines = Vec::new();
        let mut index: HashMap<&str, usize> = HashMap::new();
        for (name, m) in &self.machines {
            let Some(t) = types.get(m.kind.as_str()).filter(|_| m.known) else {
                continue;
            };
            let total = Resources {
                cpus: t.cpus,
                gpus: t.gpus,
                memory_gb: t.mem_gb,
            };
            let health = self.health(name, m, now.mono);
            index.insert(name, machines.len());
            machines.push(name.clone());
            view.machines.push(MachineSnapshot {
                kind: kinds.number(&m.kind),
                zone: zones.number(&m.zone),
                spot: m.spot,
                free: total,
                free_after_stops: total,
                total,
                usable: self.usable(m, self.heard_at(m, now.mono), health, now.mono),
                free_slots: TASKS_PER_MACHINE.saturating_sub(m.assignments.len() as u32),
                pilots: 0,
                slow: m.is_slow() || health == MachineHealth::Suspect,
                images: m.images.keys().map(|i| images.number(i)).collect(),
                busy_s: 0.0,
                dispatch_delay_s: if m.held {
                    0.0
                } else {
                    let since = m.last_heartbeat.map_or(0, |at| now.mono.saturating_sub(at));
                    (report_s - since as f64 / 1000.0).max(0.0)
                },
                ready_in_s: {
                    let age = now.mono.saturating_sub(m.first_known) as f64 / 1000.0;
                    let coming = m.expected && !m.synced && !m.failed && !m.returning;
                    let seen = self.boots.get(&m.kind).and_then(Boots::late_s);
                    let late_s = seen.unwrap_or(t.boot_s * BOOT_OVERDUE);
                    (coming && m.assignments.is_empty() && age < late_s)
                        .then(|| (t.boot_s - age).max(0.0))
                },
            });
        }
        let mut jobs = Vec::new();
        for (id, job) in &self.jobs {
            // A job that waits for others is as good as not there.
            if job.awaits_dependencies() && job.assigned == 0 && job.orphans.is_empty() {
                continue;
            }
            let team = teams.number(&job.spec.team);
            if team >= view.teams.len() {
                view.teams.push(TeamSnapshot::default());
            }
            let number = jobs.len();
            jobs.push(id.clone());
            let mut used: Vec<(usize, u32)> = Vec::new();
            let task = job.res();
            let (secs, sampling) = self.task_secs(job);
            let mut pilots = 0;
            let mut ran = 0.0;
            let assigned = job
                .assignments()
                .map(|(t, p)| (t, p.machine.as_str(), Some(p)));
            let orphans = job.orphans.iter().map(|(t, m)| (*t, m.as_str(), None));
            for (number_of_task, machine, assignment) in assigned.chain(orphans) {
                view.teams[team].used.add(&task);
                if assignment.is_some_and(|p| p.stop.is_some()) {
                    view.teams[team].stopping.add(&task);
                }
                pilots += u32::from(assignment.is_some_and(|p| p.pilot));
                let known = self.machines.get(machine).filter(|m| m.known);
                // A place whose zone is not known yet counts as a zone of its own: nothing is near it.
                let zone = known.map_or(UNKNOWN_ZONE, |m| zones.number(&m.zone));
                match used.iter_mut().find(|(z, _)| *z == zone) {
                    Some((_, n)) => *n += 1,
                    None => used.push((zone, 1)),
                }
                let Some(&m) = index.get(machine) else {
                    continue;
                };
                view.machines[m].free.sub(&task);
                let Some(assignment) = assignment else {
                    continue;
                };
                if assignment.stop.is_none() {
                    view.machines[m].free_after_stops.sub(&task);
                }
                view.machines[m].pilots += u32::from(assignment.pilot && sampling);
                let elapsed = assignment
                    .running_since
                    .map_or(0.0, |t| now.mono.saturating_sub(t) as f64 / 1000.0);
                ran += elapsed;
                // A task that has outrun its estimate may well go on for a while.
                let left = (secs - elapsed).max(secs * 0.25);
                view.machines[m].busy_s = view.machines[m].busy_s.max(left);
                let saves = job.spec.checkpoint_s > 0.0;
                view.running.push(RunningTask {
                    job: number,
                    task: number_of_task,
                    machine: m,
                    team,
                    priority: job.priority() as u8,
                    resources: task,
                    remaining_s: left,
                    preemptible: assignment.stop.is_none()
                        && assignment.stage == AssignmentStage::Seen
                        && (!job.is_gang() || job.tasks() == 1)
                        && (assignment.running_since.is_none() || left > job.spec.save_s + 3.0),
                    // A gang finds room for itself again only with difficulty.
                    cost_s: if job.is_gang() { 60.0 } else { 0.0 }
                        + if saves { job.spec.save_s } else { elapsed },
                });
            }
            let open = !job.aborted
                && !job.awaits_dependencies()
                && job.pause_until <= now.mono
                && job.orphans.is_empty();
            let waiting = if open {
                self.waiting_tasks(job, now.mono)
            } else {
                Vec::new()
            };
            // A gang that lost its places by no fault of its own goes on with what it saved before others begin.
            let lost = job.is_gang()
                && job.assigned == 0
                && job.failures == 0
                && job.highest_attempt() > 0;
            let latest = match lost {
                true => Some(job.submitted_at),
                false => self.latest_start(job, secs, now),
            };
            let todo = job.spec.tasks.saturating_sub(job.done) as f64;
            let policy = self.operator.policy();
            let wanted_pilots = pilots_of(&policy, job.tasks());
            let known_pilots = pilots + job.sample().1;
            view.jobs.push(JobSnapshot {
                team,
                gang: job.is_gang(),
                priority: job.priority() as u8,
                task,
                kinds: job
                    .spec
                    .types
                    .as_ref()
                    .map(|t| t.iter().map(|t| kinds.number(t)).collect()),
                zone: job.spec.zone.as_ref().map(|z| zones.number(z)),
                one_zone: job.spec.one_zone,
                max_per_zone: job.spec.spread.then(|| job.tasks().div_ceil(2)),
                tasks_by_zone: used,
                spot: job.spec.spot,
                uncheckpointed: job.spec.checkpoint_s <= 0.0 && job.spec.gpus <= 0.0,
                image: images.number(&job.spec.image),
                pilots_due: if sampling {
                    wanted_pilots.saturating_sub(known_pilots)
                } else {
                    0
                },
                waiting,
                sampling,
                queue: if job.is_service() {
                    0
                } else {
                    queue_of(&policy, (secs * todo - ran).max(0.0))
                },
                service: job.is_service(),
                order: latest.unwrap_or(job.ready_at),
                has_objective: latest.is_some(),
                running: job.assigned,
                reserved_machines: job
                    .reserved_machines
                    .iter()
                    .filter_map(|m| index.get(m.as_str()).copied())
                    .collect(),
                backed_off: job.is_resting(now.unix),
                may_claim_limit: now.unix / 1000 % (CLAIM_S + CLAIM_PAUSE_S) < CLAIM_S,
                urgent: {
                    let begun = job.first_run.is_some() || job.assigned > 0 || job.done > 0;
                    let age_s = now.unix.saturating_sub(job.ready_at) as f64 / 1000.0;
                    // What nobody waits for is never urgent: it would go before all that has an aim, for ever.
                    let soon = now.unix + (URGENT_S * 1000.0) as u64;
                    let urgent = latest.is_some_and(|latest| soon >= latest);
                    urgent || !begun && age_s > AGED_S
                },
                avoid: if job.seems_to_fail_everywhere() {
                    Vec::new()
                } else {
                    job.failed_machines
                        .iter()
                        .filter_map(|m| index.get(m.as_str()).copied())
                        .collect()
                },
            });
        }
        SchedulingSnapshot {
            view,
            jobs,
            machines,
            kinds,
            zones,
        }
    }

    /// Tasks without a place, as many as one round can use.
    fn waiting_tasks(&self, job: &Job, now: u64) -> Vec<u32> {
        if job.is_gang() {
            let halfway = job.assigned > 0;
            let unsure = job
                .assignments()
                .any(|(_, p)| p.stop.is_some() || matches!(p.stage, AssignmentStage::Recorded));
            if halfway && (job.started || job.broken || unsure) {
                return Vec::new();
            }
        }
        // A wide array submitted with a mistake filled all free room again after each pause: until one of its tasks
        // runs on, a single one is tried.
        let on_trial = job.seems_to_fail_everywhere() && !job.is_sound(now, |_| true);
        let most = match (job.is_gang(), on_trial) {
            (true, _) => usize::MAX,
            (false, true) => usize::from(job.assigned == 0),
            // No more than what could be placed on an empty fleet, with a margin.
            (false, false) => 256,
        };
        let mut out = Vec::new();
        let mut next = 0;
        while out.len() < most {
            next = job.busy.next_missing(next);
            if next >= job.tasks() {
                break;
            }
            out.push(next);
            next += 1;
        }
        out
    }

    /// One round of decisions.
    pub(super) fn plan(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let started = (self.stopwatch)();
        self.plan_due = false;
        self.rounds += 1;
        self.propagate_downstream_demand();
        let scheduling_snapshot = self.scheduling_snapshot(now);
        let policy = self.operator.policy();
        let stopwatch = self.stopwatch;
        let SchedulingSnapshot {
            view,
            jobs: names,
            machines,
            ..
        } = scheduling_snapshot;
        let about: Vec<(usize, bool)> = view.jobs.iter().map(|j| (j.queue, j.sampling)).collect();
        let (waiting, running) = (
            view.jobs.iter().filter(|j| !j.waiting.is_empty()).count(),
            view.running.len(),
        );
        let mut round = Round::new(&policy, view);
        let skipped_jobs = std::mem::take(&mut self.skipped_jobs);
        round.exclude((0..names.len()).filter(|&j| skipped_jobs.contains(&names[j])));
        let viewed = stopwatch();
        // The whole round is held to the budget; the decisions get their least share even so.
        let until = (started + ROUND_BUDGET_MS * 1000).max(viewed + ROUND_LEAST_MS * 1000);
        let sched::Outcome {
            decisions,
            finished,
            blocked,
        } = round.run(|| stopwatch() < until);
        let decided = stopwatch();
        if !finished || !skipped_jobs.is_empty() {
            self.plan_due = true;
        }
        if !finished {
            self.skipped_jobs = blocked.into_iter().map(|j| names[j].clone()).collect();
        }
        let is_long = !finished || decided - started > ROUND_LEAST_MS * 1000;
        let level = match is_long {
            true => log::Level::Info,
            false => log::Level::Debug,
        };
        log::log!(
            level,
                "event=round finished={finished} view_ms={} decide_ms={} decisions={} jobs={} waiting={waiting} \
                 machines={} running={running} took_us={}",
                (viewed - started) / 1000,
                (decided - viewed) / 1000,
                decisions.len(),
                names.len(),
                machines.len(),
                decided - started
        );
        for job in self.jobs.values_mut() {
            job.reserved_machines.clear();
        }
        for decision in decisions {
            match decision {
                Decision::Reserve {
                    job,
                    machines: reserved_machines,
                } => {
                    if let Some(job) = self.jobs.get_mut(&names[job]) {
                        job.reserved_machines = reserved_machines
                            .iter()
                            .map(|m| machines[*m].clone())
                            .collect();
                    }
                }
                Decision::Place {
                    job,
                    tasks,
                    pilots,
                    entitled,
                } => {
                    let id = &names[job];
                    let (queue, sampling) = about[job];
                    log::info!(
                        "event=place job={id} tasks={} first={:?} pilot={pilots} entitled={entitled} \
                         queue={queue} sampling={sampling}",
                        tasks.len(),
                        tasks.first().map(|(t, m)| (*t, &machines[*m]))
                    );
                    self.assignment(id, &tasks, pilots, &machines, now.mono);
                }
                Decision::Stop { job, task, by } => {
                    let id = names[job].clone();
                    let grace = self.jobs.get(&id).map_or(0.0, |j| j.spec.save_s + 1.0);
                    log::info!("event=preempt task={id}/{task} by={}", names[by]);
                    self.stop_task(&id, task, grace, super::worker_heartbeats::PREEMPTED, now);
                    self.next_housekeeping = now.mono;
                }
            }
        }
        // Users and workers are served between rounds, however long those take.
        let costs = (self.stopwatch)().saturating_sub(started) / 1000;
        self.next_round = now.mono + costs + ROUND_EVERY_MS.max(costs * ROUND_REST);
        self.has_new_decisions = true;
    }

    fn assignment(
        &mut self,
        id: &str,
        tasks: &[(u32, usize)],
        pilot: bool,
        machines: &[String],
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let whole = job.highest_attempt();
        // Missing tasks of a gang that still gathers join its present attempt.
        let joined = job.assignments().map(|(_, p)| p.attempt).max();
        for &(task, machine) in tasks {
            let attempt = if job.is_gang() {
                joined.unwrap_or(whole + 1)
            } else {
                job.chunk(task).map_or(0, |c| c.hi) + 1
            };
            job.put(task, &machines[machine], attempt, pilot, now);
            if let Some(m) = self.machines.get_mut(&machines[machine]) {
                m.assignments.insert((id.to_string(), task));
            }
        }
        for (_, machine) in tasks {
            self.note_pending_orders(machines[*machine].clone());
        }
        self.queue_write(RecordId::Job(id.to_string()));
    }
}
