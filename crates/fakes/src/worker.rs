//! A worker, as the protocol page describes it: tokens, lease, orders, gangs.

mod orders;
mod progress;

use std::collections::{BTreeMap, BTreeSet};
use wire::workers::{EndCause, TaskPhase, TaskStatus, WorkerHeartbeat};

/// A task on a fake machine.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// State.
    pub phase: TaskPhase,
    /// Why it ended.
    pub cause: Option<EndCause>,
    /// When it changes to the next state.
    pub next_at: u64,
    /// Since when other tasks of its gang are missing.
    incomplete_since: Option<u64>,
}

/// Tasks of a gang's attempt on machines that don't hang.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gang {
    /// Tasks that have their image and have not ended.
    pub present: u32,
    /// Those of them that wait for the others.
    pub waiting: u32,
    /// Those of them whose run time is over. They complete together.
    pub due: u32,
}

/// How tasks of a job behave.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Milliseconds of image fetch.
    pub fetch_ms: u64,
    /// Milliseconds of running.
    pub run_ms: u64,
    /// Milliseconds to save a checkpoint, 0 for tasks that take none.
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
    /// Until when it is cut off from the network.
    pub cut_until: u64,
    /// When the cloud takes it away, if it has given notice.
    pub taken_at: Option<u64>,
    /// Answers still to be lost on their way here.
    pub lose_answers: u32,
    /// Its reports arrive, but neither answers nor orders reach it.
    pub one_way: bool,
    /// Its reports reach no node, but direct orders reach it.
    pub mute: bool,
    /// Until when it hangs. Meanwhile it does nothing, and afterwards it executes what has arrived.
    pub hung_until: u64,
    /// When it was last active.
    active_at: u64,
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

impl FakeTask {
    fn end(&mut self, cause: EndCause) {
        self.phase = TaskPhase::Ended;
        self.cause = Some(cause);
        self.next_at = u64::MAX;
    }
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
            active_at: now,
            only: None,
            images: BTreeSet::new(),
            started: Vec::new(),
            faulty: false,
            redirects: 0,
            most_redirects: 0,
        }
    }

    /// Whether the worker itself can exchange messages with all nodes.
    pub fn is_reached(&self, now: u64) -> bool {
        let is_connected = !self.one_way && !self.mute && self.only.is_none();
        is_connected && now >= self.cut_until && now >= self.hung_until
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

    /// Adds a task to the counts of its gang's attempt.
    pub fn join(&self, task: &str, attempt: u64, gang: &mut Gang, now: u64) {
        if let Some(state) = self.tasks.get(&(task.to_string(), attempt)) {
            gang.present += 1;
            gang.waiting += u32::from(state.phase == TaskPhase::Waiting);
            gang.due += u32::from(state.phase == TaskPhase::Running && now >= state.next_at);
        }
    }

    /// Its present report, under the next number.
    pub fn report(&mut self, kind: &str, now: u64) -> WorkerHeartbeat {
        self.seq += 1;
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: format!("{}:1", self.name),
            machine_type: kind.to_string(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            term: self.term,
            reclaim_in_s: self
                .taken_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), state)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: state.phase,
                    cause: state.cause,
                    checkpoint_written: None,
                })
                .collect(),
        }
    }

    /// Tasks that occupy their place.
    pub fn live(&self) -> impl Iterator<Item = (&String, u64)> {
        let is_live =
            |state: &FakeTask| !matches!(state.phase, TaskPhase::Ended | TaskPhase::Fetching);
        self.tasks
            .iter()
            .filter(move |(_, state)| is_live(state))
            .map(|((task, attempt), _)| (task, *attempt))
    }

    /// Checks its clock. Ends its session if no report was answered for the time of a lease, also while it hangs.
    /// After it has hung, its tasks continue where they were.
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
        let hung_ms = self.hung_until.saturating_sub(self.active_at);
        self.active_at = now.max(self.hung_until);
        if hung_ms > 0 && self.hung_until > 0 {
            for task in self.tasks.values_mut() {
                task.next_at = task.next_at.saturating_add(hung_ms);
            }
        }
    }
}
