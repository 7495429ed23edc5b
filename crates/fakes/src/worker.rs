//! A worker, as the protocol page describes it: tokens, lease, commands, gangs.

use std::collections::{BTreeMap, BTreeSet};
use wire::workers::*;

/// A task on a fake machine.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// State.
    pub phase: TaskPhase,
    /// Why it ended.
    pub cause: Option<Cause>,
    /// When it goes on to the next state.
    pub next_at: u64,
    /// Since when it misses others of its gang.
    alone_since: Option<u64>,
}

/// Who of a gang's attempt is there, on machines that don't hang.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gang {
    /// Tasks that have their image and have not ended.
    pub present: u32,
    /// Those of them that wait for the others.
    pub waiting: u32,
    /// Those of them whose run time is over: they complete together.
    pub due: u32,
}

/// How tasks of a job behave.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Milliseconds of image fetch.
    pub fetch_ms: u64,
    /// Milliseconds of running.
    pub run_ms: u64,
    /// Milliseconds to save, 0 for tasks that never save.
    pub save_ms: u64,
    /// Size of its gang, 0 for arrays.
    pub gang: u32,
    /// Whether it ends with `error` when its run time is over, on every machine.
    pub fails: bool,
}

/// One machine's worker.
pub struct FakeWorker {
    /// Machine name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Session.
    pub incarnation: u64,
    /// Number of the last message.
    pub seq: u64,
    /// Highest token seen.
    pub term: u64,
    /// Tasks by name and attempt.
    pub tasks: BTreeMap<(String, u64), FakeTask>,
    /// Node it reports to.
    pub node: usize,
    /// When the next report is due.
    pub report_at: u64,
    /// Sent-time and number of the report in flight.
    pub in_flight: Option<(u64, u64)>,
    /// Sent-time of the last answered report, or start of the session.
    pub lease_from: u64,
    /// Cut from the network until then.
    pub cut_until: u64,
    /// When the cloud takes it, if it gave notice.
    pub taken_at: Option<u64>,
    /// Answers still to be lost on their way here.
    pub lose_answers: u32,
    /// Its reports arrive, but neither answers nor commands reach it.
    pub one_way: bool,
    /// Its reports reach no node, but direct commands reach it.
    pub mute: bool,
    /// It hangs until then: it does nothing, and executes afterwards what came meanwhile.
    pub hung_until: u64,
    /// When it last did something.
    awake_at: u64,
    /// The only node that it reaches and that reaches it.
    pub only: Option<usize>,
    /// Jobs whose image it has.
    pub images: BTreeSet<String>,
    /// Attempts started on this machine, in order.
    pub started: Vec<(String, u64)>,
    /// Every task ends with `error` here as soon as it has its image.
    pub faulty: bool,
    /// Redirects that it has followed since its last answer, and the most there were.
    pub redirects: u32,
    /// The most redirects that it followed until it was answered.
    pub most_redirects: u32,
}

impl FakeWorker {
    /// A machine that has just come up.
    pub fn new(name: &str, zone: &str, spot: bool, now: u64) -> Self {
        FakeWorker {
            name: name.to_string(),
            zone: zone.to_string(),
            spot,
            incarnation: 1,
            seq: 0,
            term: 0,
            tasks: BTreeMap::new(),
            node: 0,
            report_at: now,
            in_flight: None,
            lease_from: now,
            cut_until: 0,
            taken_at: None,
            lose_answers: 0,
            one_way: false,
            mute: false,
            hung_until: 0,
            awake_at: now,
            only: None,
            images: BTreeSet::new(),
            started: Vec::new(),
            faulty: false,
            redirects: 0,
            most_redirects: 0,
        }
    }

    /// Whether nodes reach it and are reached, as far as it lies with itself.
    pub fn is_reached(&self, now: u64) -> bool {
        let whole = !self.one_way && !self.mute && self.only.is_none();
        whole && now >= self.cut_until && now >= self.hung_until
    }

    /// Ends its troubles, apart from the notice that it has.
    pub fn heal(&mut self, now: u64) {
        self.cut_until = self.cut_until.min(now);
        self.hung_until = self.hung_until.min(now);
        self.lose_answers = 0;
        self.one_way = false;
        self.mute = false;
        self.only = None;
    }

    /// Adds a task to what is known of its gang's attempt.
    pub fn join(&self, task: &str, attempt: u64, gang: &mut Gang, now: u64) {
        if let Some(t) = self.tasks.get(&(task.to_string(), attempt)) {
            gang.present += 1;
            gang.waiting += u32::from(t.phase == TaskPhase::Waiting);
            gang.due += u32::from(t.phase == TaskPhase::Running && now >= t.next_at);
        }
    }

    /// Its present report, numbered anew.
    pub fn report(&mut self, kind: &str, now: u64) -> WorkerHeartbeat {
        self.seq += 1;
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: format!("{}:1", self.name),
            kind: kind.to_string(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            term: self.term,
            notice_s: self
                .taken_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Whether a task occupies its place.
    pub fn live(&self) -> impl Iterator<Item = (&String, u64)> {
        let live = |t: &FakeTask| !matches!(t.phase, TaskPhase::Ended | TaskPhase::Fetching);
        self.tasks
            .iter()
            .filter(move |(_, t)| live(t))
            .map(|((n, a), _)| (n, *a))
    }

    /// Executes commands in order; returns the starts that took effect.
    pub fn execute(
        &mut self,
        orders: &[Order],
        behave: impl Fn(&str) -> Option<Behaviour>,
        now: u64,
    ) -> Vec<(String, u64)> {
        let mut fresh_starts = Vec::new();
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let busy = self
                        .tasks
                        .iter()
                        .any(|((n, _), t)| n == task && t.phase != TaskPhase::Ended);
                    let b = behave(task);
                    let refused = match (busy, b) {
                        (true, _) => Some(Cause::Busy),
                        (_, None) => Some(Cause::Unknown),
                        _ => None,
                    };
                    let (phase, next_at) = match b {
                        Some(b) if refused.is_none() => {
                            let has = self.images.contains(job_of(task));
                            let fetch_ms = if has { 0 } else { b.fetch_ms };
                            (TaskPhase::Fetching, now + fetch_ms)
                        }
                        _ => (TaskPhase::Ended, u64::MAX),
                    };
                    if refused.is_none() {
                        self.started.push((task.clone(), *attempt));
                        fresh_starts.push((task.clone(), *attempt));
                    }
                    let fresh = FakeTask {
                        phase,
                        cause: refused,
                        next_at,
                        alone_since: None,
                    };
                    self.tasks.insert((task.clone(), *attempt), fresh);
                }
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let save_ms = behave(task).map_or(0, |b| b.save_ms);
                    if let Some(t) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        let saves = save_ms > 0 && *grace_s * 1000.0 >= save_ms as f64;
                        match t.phase {
                            TaskPhase::Ended => {}
                            TaskPhase::Running if saves => {
                                t.phase = TaskPhase::Saving;
                                t.next_at = now + save_ms;
                            }
                            TaskPhase::Saving if saves => {}
                            _ => end(t, Cause::Stopped),
                        }
                        self.report_at = self.report_at.min(now + 100);
                    }
                }
                Order::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let ended = self.tasks.get(&key).map(|t| t.phase);
                    if ended == Some(TaskPhase::Ended) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        fresh_starts
    }

    /// Looks at its clock: ends its session if no report was answered for too long, by itself also while it hangs, and
    /// goes on with its tasks where they were when it hung.
    pub fn wake(&mut self, now: u64, lease_ms: u64) {
        if now > self.lease_from + lease_ms {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_from = now;
            self.in_flight = None;
        }
        if now < self.hung_until {
            return;
        }
        let hung_ms = self.hung_until.saturating_sub(self.awake_at);
        self.awake_at = now.max(self.hung_until);
        if hung_ms > 0 && self.hung_until > 0 {
            for t in self.tasks.values_mut() {
                t.next_at = t.next_at.saturating_add(hung_ms);
            }
        }
    }

    /// Lets time pass for its tasks, given the time after which a gang's tasks miss each other. `gang`
    /// tells who of an attempt is there, `has_result` which tasks have completed before. Returns tasks that completed.
    pub fn advance(
        &mut self,
        now: u64,
        peer_ms: u64,
        behave: impl Fn(&str) -> Option<Behaviour>,
        has_result: impl Fn(&str) -> bool,
        gang: impl Fn(&str, u64) -> Gang,
    ) -> Vec<String> {
        if now < self.hung_until {
            return Vec::new();
        }
        let mut completed = Vec::new();
        let mut changed = false;
        for ((name, attempt), t) in &mut self.tasks {
            let Some(b) = behave(name) else { continue };
            let there = match b.gang {
                0 => Gang::default(),
                _ => gang(job_of(name), *attempt),
            };
            let whole = there.present >= b.gang;
            match t.phase {
                TaskPhase::Fetching if now >= t.next_at => {
                    changed = true;
                    self.images.insert(job_of(name).to_string());
                    if self.faulty {
                        end(t, Cause::Error);
                    } else if has_result(name) {
                        end(t, Cause::Done);
                    } else if b.gang > 0 {
                        t.phase = TaskPhase::Waiting;
                        t.next_at = now + 35_000;
                    } else {
                        t.phase = TaskPhase::Running;
                        t.next_at = now + b.run_ms;
                    }
                }
                TaskPhase::Waiting => {
                    if there.waiting >= b.gang {
                        changed = true;
                        t.phase = TaskPhase::Running;
                        t.next_at = now + b.run_ms;
                    } else if now >= t.next_at {
                        changed = true;
                        end(t, Cause::Alone);
                    }
                }
                TaskPhase::Running if b.fails && now >= t.next_at => {
                    changed = true;
                    end(t, Cause::Error);
                }
                TaskPhase::Running if !whole => {
                    let since = *t.alone_since.get_or_insert(now);
                    if now >= since + peer_ms {
                        changed = true;
                        end(t, Cause::Peers);
                    }
                }
                TaskPhase::Running if now >= t.next_at && there.due >= b.gang => {
                    changed = true;
                    end(t, Cause::Done);
                    completed.push(name.clone());
                }
                TaskPhase::Saving if now >= t.next_at => {
                    changed = true;
                    end(t, Cause::Stopped);
                }
                _ => {}
            }
        }
        if changed {
            self.report_at = self.report_at.min(now + 100);
        }
        completed
    }
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

fn end(t: &mut FakeTask, cause: Cause) {
    t.phase = TaskPhase::Ended;
    t.cause = Some(cause);
    t.next_at = u64::MAX;
}
