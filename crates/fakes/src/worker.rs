//! A simulated worker that follows the worker protocol: terms, lease, orders, gangs.

mod orders;
mod progress;

use crate::fleet::REPORT_TIMEOUT_MS;
use crate::MACHINE_TYPE;
use std::collections::{BTreeMap, BTreeSet};
use wire::workers::{EndCause, TaskPhase, TaskStatus, WorkerHeartbeat};

/// An attempt of a task on a simulated machine.
#[derive(Debug, Clone)]
pub struct FakeTask {
    /// Phase of the attempt.
    pub phase: TaskPhase,
    /// Cause of the end, if it has ended.
    pub cause: Option<EndCause>,
    /// Time at which the current phase ends.
    pub next_phase_at: u64,
    /// Time since which other tasks of its gang have been missing.
    incomplete_since: Option<u64>,
}

/// Numbers of tasks of one attempt of a gang, on machines that do not hang.
#[derive(Debug, Clone, Copy, Default)]
pub struct GangState {
    /// Tasks that have their image and have not ended.
    pub present: u32,
    /// Present tasks that wait for the others.
    pub waiting: u32,
    /// Present tasks whose run time is over. The tasks of a gang complete together.
    pub due: u32,
}

/// Behaviour of the tasks of a job.
#[derive(Debug, Clone, Copy)]
pub struct TaskBehaviour {
    /// Duration of the image fetch in milliseconds.
    pub image_fetch_ms: u64,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Milliseconds to write a checkpoint, 0 for tasks without checkpoints.
    pub checkpoint_write_ms: u64,
    /// Number of tasks of the gang, 0 for arrays.
    pub gang_size: u32,
    /// Whether the tasks end with `error` after their run time, on every machine.
    pub fails_after_run: bool,
}

/// The simulated worker of one machine.
pub struct FakeWorker {
    /// Name of the machine.
    pub name: String,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Number of the session. A new session begins when the lease has expired.
    pub incarnation: u64,
    /// Sequence number of the last report.
    pub seq: u64,
    /// Highest term seen. Orders and responses of lower terms are ignored.
    pub term: u64,
    /// Tasks by name and attempt.
    pub tasks: BTreeMap<(String, u64), FakeTask>,
    /// Index of the node that the worker reports to.
    pub node: usize,
    /// Time at which the next report is due.
    pub next_report_at: u64,
    /// Send times of the session's recent reports, by sequence number.
    recent_reports: BTreeMap<u64, u64>,
    /// Send time and sequence number of the report that awaits a response.
    pub report_in_flight: Option<(u64, u64)>,
    /// Start of the current lease: send time of the last answered report, or start of the session.
    pub lease_start: u64,
    /// Time until which the worker is disconnected from the network.
    pub disconnected_until: u64,
    /// Time at which the cloud reclaims the machine, if it has given notice.
    pub reclaim_at: Option<u64>,
    /// Number of responses to this worker that are still to be lost.
    pub responses_to_lose: u32,
    /// Whether responses and orders to the worker are lost, while its reports arrive.
    pub receives_nothing: bool,
    /// Whether the reports of the worker are lost, while direct orders reach it.
    pub reports_lost: bool,
    /// Time until which the worker hangs. It processes the messages that arrive meanwhile after this time.
    pub hung_until: u64,
    /// Time at which the worker was last active.
    active_at: u64,
    /// The only node that can exchange messages with the worker, if not all can.
    pub only_node: Option<usize>,
    /// Jobs whose image is on the machine.
    pub cached_images: BTreeSet<String>,
    /// Attempts started on this machine, in order.
    pub started_attempts: Vec<(String, u64)>,
    /// Whether every task ends with `error` on this machine as soon as it has its image.
    pub fails_all_tasks: bool,
    /// Redirects followed since the last response of a leader or an owner.
    pub redirect_count: u32,
    /// Highest value of `redirect_count` so far.
    pub max_redirect_count: u32,
}

impl FakeTask {
    fn end(&mut self, cause: EndCause) {
        self.phase = TaskPhase::Ended;
        self.cause = Some(cause);
        self.next_phase_at = u64::MAX;
    }
}

impl FakeWorker {
    /// The worker of a machine of type [`MACHINE_TYPE`] that has just booted.
    pub fn new(name: &str, zone: &str, spot: bool, now: u64) -> Self {
        FakeWorker {
            name: name.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: zone.to_string(),
            spot,
            incarnation: 1,
            seq: 0,
            term: 0,
            tasks: BTreeMap::new(),
            node: 0,
            next_report_at: now,
            recent_reports: BTreeMap::new(),
            report_in_flight: None,
            lease_start: now,
            disconnected_until: 0,
            reclaim_at: None,
            responses_to_lose: 0,
            receives_nothing: false,
            reports_lost: false,
            hung_until: 0,
            active_at: now,
            only_node: None,
            cached_images: BTreeSet::new(),
            started_attempts: Vec::new(),
            fails_all_tasks: false,
            redirect_count: 0,
            max_redirect_count: 0,
        }
    }

    /// Whether the worker can exchange messages with all nodes, disregarding faults of the nodes and of the network.
    pub fn is_reachable(&self, now: u64) -> bool {
        let is_connected = !self.receives_nothing && !self.reports_lost && self.only_node.is_none();
        is_connected && now >= self.disconnected_until && now >= self.hung_until
    }

    /// Ends the worker's connection faults and hangs. A notice of the cloud stays in force.
    pub fn end_faults(&mut self, now: u64) {
        self.disconnected_until = self.disconnected_until.min(now);
        self.hung_until = self.hung_until.min(now);
        self.responses_to_lose = 0;
        self.receives_nothing = false;
        self.reports_lost = false;
        self.only_node = None;
    }

    /// Adds a task of this worker to the counts of its gang's attempt.
    pub fn add_to_gang(&self, task: &str, attempt: u64, gang: &mut GangState, now: u64) {
        if let Some(state) = self.tasks.get(&(task.to_string(), attempt)) {
            gang.present += 1;
            gang.waiting += u32::from(state.phase == TaskPhase::Waiting);
            gang.due += u32::from(state.phase == TaskPhase::Running && now >= state.next_phase_at);
        }
    }

    /// The current report, with the next sequence number.
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
                .reclaim_at
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

    /// Records that the report with the current sequence number is sent now.
    pub(crate) fn record_sent_report(&mut self, now: u64) {
        self.report_in_flight = Some((now, self.seq));
        self.recent_reports
            .retain(|_, sent| now <= *sent + REPORT_TIMEOUT_MS);
        self.recent_reports.insert(self.seq, now);
    }

    /// When the report with this sequence number was sent in the current session, unless that was long ago.
    pub(crate) fn report_sent_at(&self, seq: u64) -> Option<u64> {
        self.recent_reports.get(&seq).copied()
    }

    /// Attempts that have their image and have not ended.
    pub fn active_tasks(&self) -> impl Iterator<Item = (&String, u64)> {
        let is_live =
            |state: &FakeTask| !matches!(state.phase, TaskPhase::Ended | TaskPhase::Fetching);
        self.tasks
            .iter()
            .filter(move |(_, state)| is_live(state))
            .map(|((task, attempt), _)| (task, *attempt))
    }

    /// Updates the worker to the current time. Starts a new session without tasks if no report was answered for the
    /// duration of a lease, also while the worker hangs. After a hang, the tasks resume with their remaining time.
    pub fn update_clock(&mut self, now: u64, lease_ms: u64) {
        if now > self.lease_start + lease_ms {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_start = now;
            self.recent_reports.clear();
            self.report_in_flight = None;
        }
        if now < self.hung_until {
            return;
        }
        let hung_ms = self.hung_until.saturating_sub(self.active_at);
        self.active_at = now.max(self.hung_until);
        if hung_ms > 0 && self.hung_until > 0 {
            for task in self.tasks.values_mut() {
                task.next_phase_at = task.next_phase_at.saturating_add(hung_ms);
            }
        }
    }
}
